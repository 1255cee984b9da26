// Benchmark of accepting durable jobs and of the start of the program; see docs/measured/jobs.md.
//
//   jobs_bench takes FOLDER
//       accepting jobs, compared with a bare write and fdatasync of the same bytes, with the same HTTP front
//       end without syncs, and with one commit per job on a slow disk
//   jobs_bench start FOLDER PROGRAM
//       start of the program with 1,000,000 finished and 10,000 open jobs
#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "jobs/installation.hpp"
#include "lab/config_json.hpp"
#include "lab/discovery.hpp"
#include "lab/fault_vfs.hpp"
#include "lab/job_client.hpp"
#include "lab/process.hpp"
#include "lab/worker.hpp"
#include "node.hpp"
#include "store/store.hpp"

namespace {

using namespace woadtide;
namespace fs = std::filesystem;
using nlohmann::json;

constexpr int kWorkerCount = 16;

double now_us() { return core::Clock().now() * 1'000; }

double median(std::vector<double> all) {
  const auto middle = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
  std::nth_element(all.begin(), middle, all.end());
  return *middle;
}

double timed_us(const std::function<void()>& work) {
  const auto from = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - from).count();
}

json config_of(lab::TestDiscovery& discovery, int port) {
  return lab::config_json(discovery.serialized_list(), discovery.address(), port, 1'024, 2'000);
}

// A dispatcher in this process and its workers.
struct BenchDispatcher {
  BenchDispatcher(const fs::path& folder, const std::function<void(jobs::Settings&)>& adjust_settings) {
    for (int i = 0; i < kWorkerCount; ++i) {
      workers.push_back(std::make_unique<lab::TestWorker>(
          0, "", false, [](const lab::ExecutionRequest&) { return lab::ExecutionPlan{0}; }));
      discovery.set_worker("w" + std::to_string(i), workers.back()->address());
    }
    config::JobsSettings job_settings;
    job_settings.listen = "127.0.0.1:0";
    job_settings.folder = folder.string();
    job_settings.most_mb = 4'096;
    job_settings.links = 128;
    node.emplace(core::read_config(config_of(discovery, 0)), clock, [&](const ExtensionContext& context) {
      auto created = std::make_unique<jobs::JobsExtension>(job_settings, context, adjust_settings);
      jobs_extension = created.get();
      return created;
    });
    while (jobs_extension->port() == 0) ::usleep(1'000);
  }
  core::Clock clock;
  lab::TestDiscovery discovery;
  std::vector<std::unique_ptr<lab::TestWorker>> workers;
  jobs::JobsExtension* jobs_extension = nullptr;
  std::optional<Node> node;
};

// Jobs accepted and refused per second, and the median time of an accepted request.
struct DriveResult {
  double accepted_per_s = 0, refused_per_s = 0, p50_us = 0;
};

DriveResult drive_clients(const fs::path& folder, int clients, double seconds, std::size_t body_size,
                          const std::function<void(jobs::Settings&)>& adjust_settings) {
  fs::remove_all(folder);
  BenchDispatcher dispatcher(folder, adjust_settings);
  const std::string body(body_size, 'x');
  std::atomic<bool> is_measuring{false}, stop{false};
  std::atomic<int> accepted{0}, refused{0};
  std::vector<std::vector<double>> times(static_cast<std::size_t>(clients));
  std::vector<std::thread> threads;
  for (int number = 0; number < clients; ++number)
    threads.emplace_back([&, number] {
      lab::JobClient client(dispatcher.jobs_extension->port());
      for (int i = 0; !stop; ++i) {
        const std::string key = "b" + std::to_string(number) + '-' + std::to_string(i);
        std::optional<lab::JobResponse> response;
        const double us =
            timed_us([&] { response = client.submit(key, false, body, 5'000, client.now() + 5'000); });
        const bool good = response && (response->status == 202 || response->status == 200);
        if (!good) ::usleep(300);
        if (!is_measuring) continue;
        (good ? accepted : refused) += 1;
        if (good) times[static_cast<std::size_t>(number)].push_back(us);
      }
    });
  ::usleep(1'500'000);  // until the concurrency limits have grown
  is_measuring = true;
  ::usleep(static_cast<useconds_t>(seconds * 1e6));
  is_measuring = false;
  stop = true;
  for (auto& thread : threads) thread.join();
  std::vector<double> all;
  for (const auto& client_times : times) all.insert(all.end(), client_times.begin(), client_times.end());
  return {accepted / seconds, refused / seconds, all.empty() ? 0 : median(std::move(all))};
}

// Alternates between the two, so that both run under the same disk conditions.
void compare_with_bare_write(const fs::path& folder, std::size_t body_size) {
  fs::remove_all(folder);
  store::Store store({(folder / "store").string(), 4ULL << 30, true});
  const int fd = ::open((folder / "bare").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
  const std::string body(body_size, 'x'), meta(420, 'm');
  std::vector<double> bare, durable;
  for (int i = 0; i < 3'000; ++i) {
    const std::string key = "k" + std::to_string(i);
    bare.push_back(timed_us([&] {
      const std::string all = key + meta + body;
      if (::write(fd, all.data(), all.size()) < 0 || ::fdatasync(fd) != 0) std::perror("bare");
    }));
    durable.push_back(timed_us([&] { store.append({{key, meta, store::RecordState::open, 1, body, {}}}); }));
  }
  ::close(fd);
  const double bare_us = median(bare), durable_us = median(durable);
  std::printf("store, 1 client, %zu B: bare p50 %.1f us, durable take p50 %.1f us, ratio %.2f\n", body_size,
              bare_us, durable_us, durable_us / bare_us);
}

int run_takes(const fs::path& folder) {
  lab::install_fault_vfs();
  lab::set_fault(lab::StoreFault::none, 0);
  for (const std::size_t body : {1'000, 60'000}) compare_with_bare_write(folder, body);
  const auto synced = [](jobs::Settings&) {};
  const auto unsynced = [](jobs::Settings& settings) { settings.store.sync_commits = false; };
  const auto single_commits = [](jobs::Settings& settings) { settings.max_messages_per_commit = 1; };
  const DriveResult single_client = drive_clients(folder, 1, 3, 1'000, synced),
                    single_client_unsynced = drive_clients(folder, 1, 3, 1'000, unsynced);
  std::printf("front, 1 client, 1000 B: PUT p50 %.1f us, with syncs off %.1f us\n", single_client.p50_us,
              single_client_unsynced.p50_us);
  std::vector<double> ratios;
  for (int round = 0; round < 3; ++round) {
    const DriveResult on = drive_clients(folder, 64, 3, 1'000, synced),
                      off = drive_clients(folder, 64, 3, 1'000, unsynced);
    ratios.push_back(on.accepted_per_s / off.accepted_per_s);
    std::printf(
        "front, 64 clients: %.0f takes/s, syncs off %.0f, ratio %.2f (refused %.0f and %.0f a second)\n",
        on.accepted_per_s, off.accepted_per_s, ratios.back(), on.refused_per_s, off.refused_per_s);
  }
  std::printf("front, 64 clients: median ratio %.2f\n", median(ratios));
  lab::set_fault(lab::StoreFault::none, 0, 5);
  const DriveResult grouped = drive_clients(folder, 64, 4, 1'000, synced),
                    single = drive_clients(folder, 64, 4, 1'000, single_commits);
  std::printf("front, 64 clients, 5 ms on each sync: %.0f takes/s, one commit each %.0f, ratio %.1f\n",
              grouped.accepted_per_s, single.accepted_per_s, grouped.accepted_per_s / single.accepted_per_s);
  lab::set_fault(lab::StoreFault::none, 0);
  fs::remove_all(folder);
  return 0;
}

int run_start(const fs::path& folder, const std::string& program) {
  fs::remove_all(folder);
  fs::create_directories(folder);
  const double now = core::Clock().now();
  {
    store::Store store({(folder / "store").string(), 4ULL << 30, false});
    const auto meta = [&](const std::string& key, const char* state) {
      return json({{"key", key},
                   {"state", state},
                   {"once", false},
                   {"class", "receipt-check"},
                   {"deadline", now + 3'600'000},
                   {"epoch", 1},
                   {"worker", "w0"},
                   {"ledger", ""},
                   {"answers", false},
                   {"changed", now},
                   {"why", ""},
                   {"digest", "0123456789abcdef0123456789abcdef"},
                   {"target", "/jobs/" + key},
                   {"fields", "X-Call-Class: receipt-check\r\n"},
                   {"slots", 1.0},
                   {"retry", 0.0}})
          .dump();
    };
    std::vector<store::Record> records;
    const auto add = [&](const std::string& key, bool open) {
      records.push_back({key,
                         meta(key, open ? "leased" : "finished"),
                         open ? store::RecordState::open : store::RecordState::closed,
                         now,
                         std::string(200, 'b'),
                         {}});
      if (!open) records.back().result = std::string(60, 'r');
      if (records.size() == 5'000) store.append(std::exchange(records, {}));
    };
    for (int i = 0; i < 1'000'000; ++i) add("f" + std::to_string(i), false);
    for (int i = 0; i < 10'000; ++i) add("o" + std::to_string(i), true);
    store.append(records);
    std::printf("store: %.0f MB\n", static_cast<double>(store.bytes_used()) / 1e6);
  }
  lab::TestDiscovery discovery;
  const std::vector<int> ports = lab::free_ports(2);
  std::ofstream(folder / "config.json") << config_of(discovery, ports[0]).dump();
  std::ofstream(folder / "operator.toml")
      << "[jobs]\nenabled = true\nmost_mb = 8000\nmost_open = 20000\nlisten = \"127.0.0.1:" << ports[1]
      << "\"\nfolder = \"" << (folder / "store").string() << "\"\n";
  for (int round = 0; round < 3; ++round) {
    const double from = now_us();
    lab::ChildProcess process({program, "serve", "--config", (folder / "config.json").string(), "--operator",
                               (folder / "operator.toml").string()},
                              {}, (folder / "log").string());
    lab::JobClient client(ports[1]);
    for (;;) {
      const auto response = client.send_request("GET /health/ready HTTP/1.1\r\n\r\n", client.now() + 1'000);
      if (response && response->status == 200) break;
      ::usleep(500);
    }
    const double ms = (now_us() - from) / 1'000;
    std::ifstream status("/proc/" + std::to_string(process.pid()) + "/status");
    std::string line, peak;
    while (std::getline(status, line))
      if (line.starts_with("VmHWM")) peak = line.substr(6);
    std::printf("start: %.0f ms to first service, peak memory%s\n", ms, peak.c_str());
  }
  fs::remove_all(folder);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::string what = argc > 1 ? argv[1] : "";
  if (what == "takes" && argc == 3) return run_takes(argv[2]);
  if (what == "start" && argc == 4) return run_start(argv[2], argv[3]);
  std::fprintf(stderr, "jobs_bench takes FOLDER | jobs_bench start FOLDER PROGRAM\n");
  return 2;
}
