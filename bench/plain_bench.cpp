// What plain service takes, for docs/measured/threads.md: several programs in turn in one run, against
// stand-in workers that answer at once.
//
//   plain_bench cost FOLDER LINKS PROGRAM...          closed loop over so many client links: CPU and switches
//                                                     for each query, latency
//   plain_bench stand FOLDER WORK SILENT BODY PROGRAM...   so many queries of so many bytes, as far as they
//   are
//                                                     taken at workers that do not answer, and so many silent
//                                                     links: threads, memory, descriptors
//
// With PLAIN_BENCH_CORE=N in the environment the programs run on that core alone, and all else on the others.
#include <sched.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <numeric>
#include <string>
#include <thread>
#include <vector>

#include "bench/proc.hpp"
#include "lab/config_json.hpp"
#include "lab/discovery.hpp"
#include "lab/job_client.hpp"
#include "lab/process.hpp"
#include "lab/worker.hpp"

namespace {

using namespace woadtide;
namespace fs = std::filesystem;

constexpr int kWorkers = 16, kRounds = 5;
constexpr double kWarmMs = 1'000, kMs = 3'000;

double quantile(std::vector<double> all, double part) {
  if (all.empty()) return 0;
  const auto place = all.begin() + static_cast<std::ptrdiff_t>(part * static_cast<double>(all.size() - 1));
  std::nth_element(all.begin(), place, all.end());
  return *place;
}

struct Rig {
  explicit Rig(double run_ms) {
    for (int i = 0; i < kWorkers; ++i) {
      workers.push_back(std::make_unique<lab::Worker>(
          0, "", false, [run_ms](const lab::Begun&) { return lab::Plan{run_ms}; }));
      discovery.set("w" + std::to_string(i), workers.back()->dial());
    }
  }
  lab::Process start(const fs::path& folder, const std::string& program, int port) {
    auto config = lab::config_json(discovery.list(), discovery.dial(), port, 1'024, 2'000);
    config["limits"]["memory_mb"] = 192;
    std::ofstream(folder / "config.json") << config.dump();
    std::vector<std::string> words;
    if (const char* core = std::getenv("PLAIN_BENCH_CORE")) words = {"/usr/bin/taskset", "-c", core};
    words.insert(words.end(), {program, "serve", "--config", (folder / "config.json").string()});
    lab::Process process(words, {}, (folder / "log").string());
    ::usleep(300'000);
    return process;
  }
  lab::Discovery discovery;
  std::vector<std::unique_ptr<lab::Worker>> workers;
};

// Of a process: CPU in microseconds, and how often its threads gave up their core, of those that live.
struct Spent {
  double cpu_us = 0, switches = 0;
};
Spent spent(pid_t pid) {
  Spent sum;
  const std::string proc = "/proc/" + std::to_string(pid);
  sum.cpu_us = bench::cpu_us(pid);
  std::string line;
  for (const auto& task : fs::directory_iterator(proc + "/task")) {
    std::ifstream status(task.path() / "status");
    while (std::getline(status, line))
      if (const auto at = line.find("ctxt_switches:"); at != std::string::npos)
        sum.switches += std::stod(line.substr(at + 14));
  }
  return sum;
}

std::string query(const std::string& id, int budget_ms, std::size_t body) {
  return "POST /api HTTP/1.1\r\nX-Call-Id: " + id +
         "\r\nX-Call-Class: receipt-check\r\nX-Budget: " + std::to_string(budget_ms) +
         "m\r\nContent-Length: " + std::to_string(body) + "\r\n\r\n" + std::string(body, 'x');
}

struct Cost {
  double cpu_us = 0, switches = 0, p50_ms = 0, p99_ms = 0;
};

Cost drive(pid_t pid, int port, int links) {
  std::atomic<bool> counts{false}, over{false};
  std::vector<std::vector<double>> times(static_cast<std::size_t>(links));
  std::vector<std::thread> threads;
  for (int link = 0; link < links; ++link)
    threads.emplace_back([&, link] {
      lab::JobClient client(port);
      for (int i = 0; !over; ++i) {
        const double from = client.now();
        const auto heard = client.call(
            query("q" + std::to_string(link) + '-' + std::to_string(i), 3'000, 200), from + 3'000);
        const bool good = heard && heard->status == 200;
        if (good && counts) times[static_cast<std::size_t>(link)].push_back(client.now() - from);
        if (!good) ::usleep(500);
      }
    });
  ::usleep(static_cast<useconds_t>(kWarmMs * 1e3));
  const Spent before = spent(pid);
  counts = true;
  ::usleep(static_cast<useconds_t>(kMs * 1e3));
  counts = false;
  const Spent after = spent(pid);
  over = true;
  for (auto& thread : threads) thread.join();
  std::vector<double> all;
  for (const auto& some : times) all.insert(all.end(), some.begin(), some.end());
  const double served = std::max<double>(1, static_cast<double>(all.size()));
  return {(after.cpu_us - before.cpu_us) / served, (after.switches - before.switches) / served,
          quantile(all, 0.5), quantile(all, 0.99)};
}

int cost(const fs::path& folder, int links, const std::vector<std::string>& programs) {
  Rig rig(0);
  std::vector<std::vector<Cost>> costs(programs.size());
  for (int round = 0; round < kRounds; ++round)
    for (std::size_t which = 0; which < programs.size(); ++which) {
      const int port = lab::free_ports(1)[0];
      const lab::Process process = rig.start(folder, programs[which], port);
      costs[which].push_back(drive(process.pid(), port, links));
    }
  const auto middle = [&](std::size_t which, double Cost::*part) {
    std::vector<double> all;
    for (const Cost& one : costs[which]) all.push_back(one.*part);
    return quantile(all, 0.5);
  };
  for (std::size_t which = 0; which < programs.size(); ++which) {
    std::vector<double> ratios;
    for (int round = 0; round < kRounds; ++round) {
      const auto place = static_cast<std::size_t>(round);
      ratios.push_back(costs[which][place].cpu_us / costs[0][place].cpu_us);
    }
    std::printf(
        "%s, %d link(s): %.0f us of CPU a query (pair by pair %.2f, %.2f to %.2f, of the first), "
        "%.1f switches, p50 %.3f ms, p99 %.3f ms\n",
        programs[which].c_str(), links, middle(which, &Cost::cpu_us), quantile(ratios, 0.5),
        quantile(ratios, 0), quantile(ratios, 1), middle(which, &Cost::switches),
        middle(which, &Cost::p50_ms), middle(which, &Cost::p99_ms));
  }
  return 0;
}

int stand(const fs::path& folder, int work, int silent, std::size_t body,
          const std::vector<std::string>& programs) {
  Rig rig(600'000);
  for (const std::string& program : programs) {
    const int port = lab::free_ports(1)[0];
    const lab::Process process = rig.start(folder, program, port);
    const net::Address address("127.0.0.1:" + std::to_string(port));
    std::vector<net::Socket> links;
    const core::Clock clock;
    for (int i = 0; i < work + silent; ++i) {
      links.push_back(net::Socket::make(address));
      if (!links.back().connect(address, 1'000)) std::perror("connect");
      if (i < work)
        links.back().send({query("s" + std::to_string(i), 60'000, body)}, clock.now() + 1'000, clock);
      ::usleep(2'000);
    }
    ::usleep(3'000'000);
    int at_work = 0;
    for (const auto& link : links) at_work += link.quiet() ? 1 : 0;
    const auto files = fs::directory_iterator("/proc/" + std::to_string(process.pid()) + "/fd");
    std::printf(
        "%s, %d queries and %d silent links: %d of them not answered, %s threads, resident %s, %td "
        "descriptors\n",
        program.c_str(), work, silent, at_work, bench::status_line(process.pid(), "Threads").c_str(),
        bench::status_line(process.pid(), "VmRSS").c_str(), std::distance(begin(files), end(files)));
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::string what = argc > 2 ? argv[1] : "";
  if (const char* core = std::getenv("PLAIN_BENCH_CORE")) {
    cpu_set_t others;
    CPU_ZERO(&others);
    for (int i = 0; i < static_cast<int>(std::thread::hardware_concurrency()); ++i)
      if (i != std::atoi(core)) CPU_SET(i, &others);
    if (::sched_setaffinity(0, sizeof others, &others) != 0) std::perror("sched_setaffinity");
  }
  if (argc > 2) fs::create_directories(argv[2]);
  if (what == "cost" && argc > 4) return cost(argv[2], std::atoi(argv[3]), {argv + 4, argv + argc});
  if (what == "stand" && argc > 6)
    return stand(argv[2], std::atoi(argv[3]), std::atoi(argv[4]),
                 static_cast<std::size_t>(std::atoi(argv[5])), {argv + 6, argv + argc});
  std::fprintf(
      stderr,
      "plain_bench cost FOLDER LINKS PROGRAM... | plain_bench stand FOLDER WORK SILENT BODY PROGRAM...\n");
  return 2;
}
