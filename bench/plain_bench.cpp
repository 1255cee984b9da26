// Benchmark of the resources that plain queries cost; see docs/measured/threads.md. Alternates between
// several programs in one run, against test workers that answer at once.
//
//   plain_bench cost FOLDER LINKS PROGRAM...
//       closed loop over LINKS client links: CPU and context switches per query, latency
//   plain_bench stand FOLDER WORK SILENT BODY PROGRAM...
//       WORK queries with bodies of BODY bytes, as far as they are accepted, at workers that do not answer,
//       and SILENT idle client links: threads, memory, descriptors
//
// With PLAIN_BENCH_CORE=N in the environment, the programs run on core N only and everything else on the
// others.
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

constexpr int kWorkerCount = 16, kRoundCount = 5;
constexpr double kWarmUpMs = 1'000, kMeasuredMs = 3'000;

double quantile(std::vector<double> all, double fraction) {
  if (all.empty()) return 0;
  const auto position =
      all.begin() + static_cast<std::ptrdiff_t>(fraction * static_cast<double>(all.size() - 1));
  std::nth_element(all.begin(), position, all.end());
  return *position;
}

// The workers and the service discovery that the programs under test use.
struct TestWorkers {
  explicit TestWorkers(double run_ms) {
    for (int i = 0; i < kWorkerCount; ++i) {
      workers.push_back(std::make_unique<lab::TestWorker>(
          0, "", false, [run_ms](const lab::ExecutionRequest&) { return lab::ExecutionPlan{run_ms}; }));
      discovery.set_worker("w" + std::to_string(i), workers.back()->address());
    }
  }
  lab::ChildProcess start(const fs::path& folder, const std::string& program, int port) {
    auto config = lab::config_json(discovery.serialized_list(), discovery.address(), port, 1'024, 2'000);
    config["limits"]["memory_mb"] = 192;
    std::ofstream(folder / "config.json") << config.dump();
    std::vector<std::string> command;
    if (const char* core = std::getenv("PLAIN_BENCH_CORE")) command = {"/usr/bin/taskset", "-c", core};
    command.insert(command.end(), {program, "serve", "--config", (folder / "config.json").string()});
    lab::ChildProcess process(command, {}, (folder / "log").string());
    ::usleep(300'000);
    return process;
  }
  lab::TestDiscovery discovery;
  std::vector<std::unique_ptr<lab::TestWorker>> workers;
};

// Of a process: CPU time in microseconds, and the context switches of the threads that are still alive.
struct CpuUsage {
  double cpu_us = 0, switches = 0;
};
CpuUsage cpu_usage(pid_t pid) {
  CpuUsage usage;
  const std::string proc = "/proc/" + std::to_string(pid);
  usage.cpu_us = bench::cpu_us(pid);
  std::string line;
  for (const auto& task : fs::directory_iterator(proc + "/task")) {
    std::ifstream status(task.path() / "status");
    while (std::getline(status, line))
      if (const auto at = line.find("ctxt_switches:"); at != std::string::npos)
        usage.switches += std::stod(line.substr(at + 14));
  }
  return usage;
}

std::string query_text(const std::string& id, int budget_ms, std::size_t body) {
  return "POST /api HTTP/1.1\r\nX-Call-Id: " + id +
         "\r\nX-Call-Class: receipt-check\r\nX-Budget: " + std::to_string(budget_ms) +
         "m\r\nContent-Length: " + std::to_string(body) + "\r\n\r\n" + std::string(body, 'x');
}

// Per query.
struct Cost {
  double cpu_us = 0, switches = 0, p50_ms = 0, p99_ms = 0;
};

Cost drive_clients(pid_t pid, int port, int links) {
  std::atomic<bool> is_measuring{false}, stop{false};
  std::vector<std::vector<double>> times(static_cast<std::size_t>(links));
  std::vector<std::thread> threads;
  for (int link = 0; link < links; ++link)
    threads.emplace_back([&, link] {
      lab::JobClient client(port);
      for (int i = 0; !stop; ++i) {
        const double from = client.now();
        const auto response = client.send_request(
            query_text("q" + std::to_string(link) + '-' + std::to_string(i), 3'000, 200), from + 3'000);
        const bool good = response && response->status == 200;
        if (good && is_measuring) times[static_cast<std::size_t>(link)].push_back(client.now() - from);
        if (!good) ::usleep(500);
      }
    });
  ::usleep(static_cast<useconds_t>(kWarmUpMs * 1e3));
  const CpuUsage before = cpu_usage(pid);
  is_measuring = true;
  ::usleep(static_cast<useconds_t>(kMeasuredMs * 1e3));
  is_measuring = false;
  const CpuUsage after = cpu_usage(pid);
  stop = true;
  for (auto& thread : threads) thread.join();
  std::vector<double> all;
  for (const auto& client_times : times) all.insert(all.end(), client_times.begin(), client_times.end());
  const double query_count = std::max<double>(1, static_cast<double>(all.size()));
  return {(after.cpu_us - before.cpu_us) / query_count, (after.switches - before.switches) / query_count,
          quantile(all, 0.5), quantile(all, 0.99)};
}

int run_cost(const fs::path& folder, int links, const std::vector<std::string>& programs) {
  TestWorkers test_workers(0);
  std::vector<std::vector<Cost>> costs(programs.size());
  for (int round = 0; round < kRoundCount; ++round)
    for (std::size_t program_index = 0; program_index < programs.size(); ++program_index) {
      const int port = lab::free_ports(1)[0];
      const lab::ChildProcess process = test_workers.start(folder, programs[program_index], port);
      costs[program_index].push_back(drive_clients(process.pid(), port, links));
    }
  const auto median_of = [&](std::size_t program_index, double Cost::*field) {
    std::vector<double> all;
    for (const Cost& program_cost : costs[program_index]) all.push_back(program_cost.*field);
    return quantile(all, 0.5);
  };
  for (std::size_t program_index = 0; program_index < programs.size(); ++program_index) {
    std::vector<double> ratios;
    for (int round = 0; round < kRoundCount; ++round) {
      const auto position = static_cast<std::size_t>(round);
      ratios.push_back(costs[program_index][position].cpu_us / costs[0][position].cpu_us);
    }
    std::printf(
        "%s, %d link(s): %.0f us of CPU a query (pair by pair %.2f, %.2f to %.2f, of the first), "
        "%.1f switches, p50 %.3f ms, p99 %.3f ms\n",
        programs[program_index].c_str(), links, median_of(program_index, &Cost::cpu_us),
        quantile(ratios, 0.5), quantile(ratios, 0), quantile(ratios, 1),
        median_of(program_index, &Cost::switches), median_of(program_index, &Cost::p50_ms),
        median_of(program_index, &Cost::p99_ms));
  }
  return 0;
}

int run_stand(const fs::path& folder, int queries, int silent_links, std::size_t body,
              const std::vector<std::string>& programs) {
  TestWorkers test_workers(600'000);
  for (const std::string& program : programs) {
    const int port = lab::free_ports(1)[0];
    const lab::ChildProcess process = test_workers.start(folder, program, port);
    const net::Address address("127.0.0.1:" + std::to_string(port));
    std::vector<net::Socket> links;
    const core::Clock clock;
    for (int i = 0; i < queries + silent_links; ++i) {
      links.push_back(net::Socket::create(address));
      if (!links.back().connect(address, 1'000)) std::perror("connect");
      if (i < queries)
        links.back().send({query_text("s" + std::to_string(i), 60'000, body)}, clock.now() + 1'000, clock);
      ::usleep(2'000);
    }
    ::usleep(3'000'000);
    int unanswered = 0;
    for (const auto& link : links) unanswered += link.is_idle() ? 1 : 0;
    const auto files = fs::directory_iterator("/proc/" + std::to_string(process.pid()) + "/fd");
    std::printf(
        "%s, %d queries and %d silent links: %d of them not answered, %s threads, resident %s, %td "
        "descriptors\n",
        program.c_str(), queries, silent_links, unanswered,
        bench::status_line(process.pid(), "Threads").c_str(),
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
  if (what == "cost" && argc > 4) return run_cost(argv[2], std::atoi(argv[3]), {argv + 4, argv + argc});
  if (what == "stand" && argc > 6)
    return run_stand(argv[2], std::atoi(argv[3]), std::atoi(argv[4]),
                     static_cast<std::size_t>(std::atoi(argv[5])), {argv + 6, argv + argc});
  std::fprintf(
      stderr,
      "plain_bench cost FOLDER LINKS PROGRAM... | plain_bench stand FOLDER WORK SILENT BODY PROGRAM...\n");
  return 2;
}
