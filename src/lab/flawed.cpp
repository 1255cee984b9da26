// Fault-injecting dispatcher for tests of a rolling change. A line "flaw:KIND@WHERE" at the end of its own
// executable selects the defect, and the dispatcher name or zone in which it applies (everywhere without
// @WHERE). A copy of the program with such a line added is a new, defective version of it; without a line it
// is the normal program.
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "program.hpp"

namespace {

using namespace woadtide;

// Defect of this program. `kind`: start, never, load, payouts, class, slow, leak, check or none; `target`:
// the dispatcher name or zone in which it applies, empty for everywhere.
struct Flaw {
  std::string kind, target;
};

// Reads the flaw from the last bytes of the running executable.
Flaw read_own_flaw() {
  std::ifstream file("/proc/self/exe", std::ios::binary | std::ios::ate);
  std::array<char, 80> tail{};
  file.seekg(-static_cast<std::streamoff>(tail.size()), std::ios::end);
  file.read(tail.data(), tail.size());
  const std::string text(tail.data(), tail.size());
  const std::size_t marker = text.rfind("\nflaw:");
  if (marker == std::string::npos) return {};
  const std::string line = text.substr(marker + 6, text.find('\n', marker + 6) - marker - 6);
  const std::size_t separator = std::min(line.find('@'), line.size());
  return {line.substr(0, separator), line.substr(std::min(separator + 1, line.size()))};
}

constexpr int kCrashAfterExecutions = 150;
constexpr int kLeakBytesPerExecution = 120'000;
constexpr int kStallMs = 25;  // every kStallEveryNth-th execution blocks the event loop so long
constexpr unsigned kStallEveryNth = 12, kFailEveryNthPayout = 12;

// Intercepts executions between the event loop and the server links.
class FaultInjectingExtension : public NodeExtension, private core::Executor {
 public:
  FaultInjectingExtension(const ExtensionContext& parts, std::string kind)
      : links_(parts.server_links), inbox_(parts.inbox), kind_(std::move(kind)) {}
  core::Executor& executor() override { return *this; }
  core::ExecutionObserver* observer() override { return nullptr; }
  void open() override {}
  void set_accepting_clients(bool) override {}
  std::size_t active_executions() override { return 0; }
  void close() override {}

 private:
  void start(core::Execution execution) override {
    execution_count_ += 1;
    const bool payout = execution.payload.header_fields.find("refund-payout") != std::string_view::npos;
    if (kind_ == "load" && execution_count_ > kCrashAfterExecutions) std::abort();
    if (kind_ == "slow" && execution_count_ % kStallEveryNth == 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(kStallMs));
    if (kind_ == "leak") leaked_.emplace_back(kLeakBytesPerExecution, 'x');
    if ((kind_ == "payouts" && payout && ++payout_count_ % kFailEveryNthPayout == 0) ||
        (kind_ == "class" && payout)) {
      core::ExecutionEnded failure;
      failure.key = execution.key;
      failure.status = Status::error;
      inbox_.push(std::move(failure));
      return;
    }
    links_.start(std::move(execution));
  }
  void cancel(const core::ExecutionKey& key) override { links_.cancel(key); }
  void withdraw(const core::ExecutionKey& key) override { links_.withdraw(key); }
  void probe(const std::string& worker) override { links_.probe(worker); }
  void set_excluded(const std::string& worker, bool excluded) override {
    links_.set_excluded(worker, excluded);
  }

  core::Executor& links_;
  core::Inbox& inbox_;
  const std::string kind_;
  int execution_count_ = 0;
  unsigned payout_count_ = 0;
  std::vector<std::string> leaked_;
};

// Whether the configuration that the supervisor passes with --config has the name or zone of the flaw.
bool applies_here(const Flaw& flaw, int argc, char** argv) {
  if (flaw.target.empty()) return true;
  for (int i = 1; i + 1 < argc; ++i) {
    if (std::string(argv[i]) != "--config") continue;
    std::ifstream file(argv[i + 1]);
    const auto config = nlohmann::json::parse(file, nullptr, false);
    return config.is_object() &&
           (config.value("name", "") == flaw.target || config["settings"].value("MyZone", "") == flaw.target);
  }
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  Flaw flaw = read_own_flaw();
  const bool is_serve_command = argc > 1 && std::string(argv[1]) == "serve";
  if (is_serve_command && !applies_here(flaw, argc, argv)) flaw = {};
  if (is_serve_command && flaw.kind == "start") {
    std::cerr << "flawed: exits at startup" << std::endl;
    return 1;
  }
  if (is_serve_command && flaw.kind == "never") {
    std::signal(SIGTERM, SIG_DFL);
    for (;;) ::pause();
  }
  if (flaw.kind.empty() || flaw.kind == "none") return run_program(argc, argv);
  if (flaw.kind == "check" && argc > 1 && std::string(argv[1]) == "check-config") {
    std::cerr << "flawed: rejects this configuration" << std::endl;
    return 2;
  }
  return run_program(argc, argv, [&](const ExtensionContext& parts) {
    return std::make_unique<FaultInjectingExtension>(parts, flaw.kind);
  });
}
