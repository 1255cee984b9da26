// Bad clients send the same request again as soon as it is turned away, at full speed.
#include <sched.h>

#include <fstream>

#include "../standin.hpp"

using namespace review;

namespace {

constexpr int kMemoryMb = 32;  // the least that LATER.md names
constexpr int kBadClients = 64;
constexpr double kFloodMs = 20'000;

// The dispatcher's own memory in bytes: anonymous pages only, without the program's and the libraries' files.
double memory_of(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string word; status >> word;)
    if (double kilobytes = 0; word == "RssAnon:" && status >> kilobytes) return kilobytes * 1024;
  return 0;
}

// All threads of the process on one core, as the platform runs a dispatcher.
void put_on_one_core(pid_t pid) {
  cpu_set_t allowed, one;
  CPU_ZERO(&one);
  if (::sched_getaffinity(0, sizeof allowed, &allowed) != 0) return;
  for (int core = CPU_SETSIZE - 1; core >= 0; --core)
    if (CPU_ISSET(core, &allowed)) {
      CPU_SET(core, &one);
      break;
    }
  ::sched_setaffinity(pid, sizeof one, &one);
}

}  // namespace

int main(int, char** arguments) {
  prepare(arguments[1]);
  const bool trouble = trouble_wanted();
  Discovery discovery;
  discovery.start();
  std::vector<std::unique_ptr<Worker>> workers;
  for (const char* name : {"s-a1", "s-b2", "s-c3", "s-d4"}) {
    workers.push_back(std::make_unique<Worker>(name, 300));
    workers.back()->start();
    discovery.add(*workers.back());
  }
  Dispatcher dispatcher;
  dispatcher.listen_port = free_port();
  dispatcher.management_port = free_port();
  dispatcher.tmpdir = work_folder() + "/tmp";
  std::filesystem::create_directory(dispatcher.tmpdir);
  dispatcher.config_path = work_folder() + "/config.json";
  Deployment deployment;
  deployment.memory_mb = kMemoryMb;
  deployment.sockets = 256;
  write_file(dispatcher.config_path, config_text(dispatcher, deployment, discovery.port(), discovery.list()));
  start(dispatcher, "dispatcher.log");
  put_on_one_core(dispatcher.pid);  // before it has started a thread
  if (!wait_until_ready(dispatcher, 10'000)) cannot_run("the dispatcher does not get ready");

  Load load(dispatcher.listen_port, 4, 250, 300);
  sleep_ms(3'000);
  record.line("platform: the dispatcher takes %.1f MB of %d", memory_of(dispatcher.pid) / 1e6, kMemoryMb);

  std::atomic<bool> stop{false};
  std::atomic<long> sent{0}, turned_away{0}, served{0};
  std::vector<std::thread> bad_clients;
  for (int i = 0; trouble && i < kBadClients; ++i)
    bad_clients.emplace_back([&] {
      Client client(dispatcher.listen_port);
      for (std::string id = new_id(); !stop;) {
        const Answer answer = client.call(id, "receipt-check", 8'000, 300);
        sent += 1;
        if (answer.status >= 400) turned_away += 1;
        if (answer.status == 200) served += 1, id = new_id();
        if (answer.status == 0) sleep_ms(10);
      }
    });

  bool killed = false;
  double most = 0, reported = 0;
  for (const double until = now_ms() + kFloodMs; now_ms() < until && !killed; sleep_ms(20)) {
    if (has_ended(dispatcher.pid)) {
      record.line("platform: the dispatcher has ended by itself");
      killed = true;
      break;
    }
    const double memory = memory_of(dispatcher.pid);
    if (memory > reported + 5e6 || memory > kMemoryMb * 1e6) {
      reported = memory;
      record.line(
          "platform: the dispatcher takes %.1f MB of %d; bad clients sent %ld, turned away %ld, served %ld",
          memory / 1e6, kMemoryMb, sent.load(), turned_away.load(), served.load());
    }
    most = std::max(most, memory);
    if (memory <= kMemoryMb * 1e6) continue;
    record.line("platform: over its memory limit: the dispatcher is killed");
    ::kill(dispatcher.pid, SIGKILL);
    killed = true;
  }
  stop = true;
  for (std::thread& client : bad_clients) client.join();
  load.end();
  load.summary();
  record.line("%s; most memory %.1f MB of %d",
              killed ? "rule broken: the dispatcher has crashed" : "no crash", most / 1e6, kMemoryMb);
  std::printf("trouble %d: %s, most memory %.1f MB of %d\n", trouble,
              killed ? "killed for its memory" : "no crash", most / 1e6, kMemoryMb);
  finish(killed ? 1 : 0);
}
