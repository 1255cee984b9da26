// A copy of the dispatcher for tests of a rolling change. A line at the end of its own file,
// "flaw:KIND@WHERE", says what it does wrong, and where: at the dispatcher of that name or in that zone, or
// everywhere without it. Whoever copies the program and adds such a line has a new version of it; without one
// it is the program itself.
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

struct Flaw {
  std::string kind, where;
};

Flaw flaw_of_this_file() {
  std::ifstream file("/proc/self/exe", std::ios::binary | std::ios::ate);
  std::array<char, 80> end{};
  file.seekg(-static_cast<std::streamoff>(end.size()), std::ios::end);
  file.read(end.data(), end.size());
  const std::string text(end.data(), end.size());
  const std::size_t at = text.rfind("\nflaw:");
  if (at == std::string::npos) return {};
  const std::string line = text.substr(at + 6, text.find('\n', at + 6) - at - 6);
  const std::size_t split = std::min(line.find('@'), line.size());
  return {line.substr(0, split), line.substr(std::min(split + 1, line.size()))};
}

constexpr int kUnderLoad = 150;      // executions until it crashes
constexpr int kLeakBytes = 120'000;  // an execution
constexpr int kSlowMs = 25;          // one execution in kSlowEvery holds the loop up so long
constexpr unsigned kSlowEvery = 12, kPayoutEvery = 12;

// Stands between the loop and the links to workers.
class Flawed : public Addition, private core::Executor {
 public:
  Flawed(const Parts& parts, std::string kind)
      : links_(parts.links), inbox_(parts.inbox), kind_(std::move(kind)) {}
  core::Executor& executor() override { return *this; }
  core::Witness* witness() override { return nullptr; }
  void open() override {}
  void set_taking(bool) override {}
  std::size_t busy() override { return 0; }
  void close() override {}

 private:
  void start(core::Execution execution) override {
    count_ += 1;
    const bool payout = execution.parcel.fields.find("refund-payout") != std::string_view::npos;
    if (kind_ == "load" && count_ > kUnderLoad) std::abort();
    if (kind_ == "slow" && count_ % kSlowEvery == 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(kSlowMs));
    if (kind_ == "leak") leaked_.emplace_back(kLeakBytes, 'x');
    if ((kind_ == "payouts" && payout && ++payouts_ % kPayoutEvery == 0) || (kind_ == "class" && payout)) {
      core::ExecutionEnded ended;
      ended.key = execution.key;
      ended.status = Status::error;
      return inbox_.put(std::move(ended));
    }
    links_.start(std::move(execution));
  }
  void cancel(const core::ExecutionKey& key) override { links_.cancel(key); }
  void withdraw(const core::ExecutionKey& key) override { links_.withdraw(key); }
  void probe(const std::string& worker) override { links_.probe(worker); }
  void exclude(const std::string& worker, bool excluded) override { links_.exclude(worker, excluded); }

  core::Executor& links_;
  core::Inbox& inbox_;
  const std::string kind_;
  int count_ = 0;
  unsigned payouts_ = 0;
  std::vector<std::string> leaked_;
};

// The config's name and zone: what its supervisor passes behind --config.
bool is_here(const Flaw& flaw, int argc, char** argv) {
  if (flaw.where.empty()) return true;
  for (int i = 1; i + 1 < argc; ++i) {
    if (std::string(argv[i]) != "--config") continue;
    std::ifstream file(argv[i + 1]);
    const auto config = nlohmann::json::parse(file, nullptr, false);
    return config.is_object() &&
           (config.value("name", "") == flaw.where || config["settings"].value("MyZone", "") == flaw.where);
  }
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  Flaw flaw = flaw_of_this_file();
  const bool serves = argc > 1 && std::string(argv[1]) == "serve";
  if (serves && !is_here(flaw, argc, argv)) flaw = {};
  if (serves && flaw.kind == "start") {
    std::cerr << "flawed: ends at its start" << std::endl;
    return 1;
  }
  if (serves && flaw.kind == "never") {
    std::signal(SIGTERM, SIG_DFL);
    for (;;) ::pause();
  }
  if (flaw.kind.empty() || flaw.kind == "none") return run_program(argc, argv);
  if (flaw.kind == "check" && argc > 1 && std::string(argv[1]) == "check-config") {
    std::cerr << "flawed: cannot take this config" << std::endl;
    return 2;
  }
  return run_program(argc, argv,
                     [&](const Parts& parts) { return std::make_unique<Flawed>(parts, flaw.kind); });
}
