// Tests of a real dispatcher process whose system calls fail in ways that Linux documents, checked from what
// its clients and workers observe. A few soak seeds add signals, drains and discovery failures.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>

#include "lab/soak/run.hpp"

namespace woadtide::lab::soak {
namespace {

// Faults may delay a request by at most 0.1 s, apart from its own retries. A worker takes up to 22 ms for a
// request; the rest is slack for a busy machine.
constexpr double kMaxLatencyMs = 250;
constexpr double kShortLoadMs = 2'500;
constexpr std::size_t kMaxLogLines = 40;
// Share of all requests. Concurrency limits are still adapting in a run this short: even without faults one
// or two of about 700 requests are refused.
constexpr double kMaxRefusedShare = 0.005;

struct Folder {
  Folder() : path(std::filesystem::temp_directory_path() / ("woadtide-soak-" + std::to_string(::getpid()))) {
    std::signal(SIGPIPE, SIG_IGN);
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::filesystem::path path;
};

RunResult run_plan(const SoakPlan& plan) {
  const Folder folder;
  return run_soak(plan, {WOADTIDE_PROGRAM, WOADTIDE_SHIM, folder.path.string()});
}

void run_with_faults(const std::string& faults) {
  SoakPlan plan = make_fault_plan(faults);
  plan.load_ms = kShortLoadMs;
  const RunResult result = run_plan(plan);
  INFO(faults << ": " << result.verdict.summary());
  for (const std::string& violation : result.verdict.violations) FAIL_CHECK(violation);
  CHECK(result.verdict.served > 300);
  CHECK(result.verdict.slowest_ms < kMaxLatencyMs);
  CHECK(result.verdict.refused <= kMaxRefusedShare * result.verdict.requests);
  CHECK(result.backed_off_lines == 0);
  CHECK(result.log_lines < kMaxLogLines);
}

TEST_CASE("faults: without faults every request is served") { run_with_faults("seed=1"); }

TEST_CASE("faults: short or interrupted reads delay no request") {
  for (const char* faults : {"seed=1,read=0.05", "seed=1,read=0.2", "seed=2,read=0.5"})
    run_with_faults(faults);
}

TEST_CASE("faults: interrupted waits and short writes delay no request") {
  for (const char* faults : {"seed=1,wait=0.3", "seed=1,write=0.2"}) run_with_faults(faults);
}

TEST_CASE("faults: transient accept failures delay no request") { run_with_faults("seed=1,accept=0.3"); }

TEST_CASE("faults: transient socket and connect failures do not count against a worker") {
  for (const char* faults : {"seed=1,socket=0.3", "seed=1,connect=0.3",
                             "seed=1,accept=0.3,socket=0.3,connect=0.3,write=0.3,read=0.2,wait=0.2"})
    run_with_faults(faults);
}

TEST_CASE("faults: a wall clock that steps by an hour while the process runs has no effect") {
  for (const char* faults : {"seed=1,wall=800:3600000", "seed=1,wall=800:-3600000"}) run_with_faults(faults);
}

void run_seeds(std::uint64_t first, std::uint64_t last) {
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const SoakPlan plan = draw_plan(seed);
    const RunResult result = run_plan(plan);
    MESSAGE("seed " << seed << ": " << result.verdict.summary());
    for (const std::string& violation : result.verdict.violations)
      FAIL_CHECK("woadtide-lab soak --seed " << seed << ": " << violation << "; " << describe(plan));
  }
}

TEST_CASE("soak: seeds 1 to 4") { run_seeds(1, 4); }
TEST_CASE("soak: seeds 5 to 8") { run_seeds(5, 8); }

}  // namespace
}  // namespace woadtide::lab::soak
