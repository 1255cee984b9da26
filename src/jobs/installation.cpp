#include "jobs/installation.hpp"

#include <poll.h>

#include <nlohmann/json.hpp>

#include "core/log.hpp"

namespace woadtide::jobs {

namespace {

constexpr double kAskMs = 250;
constexpr int kWatchMs = 5;
// The store's files and its folder, two listeners with their wake-ups, and operators' links.
constexpr std::size_t kFiles = 8, kOperatorLinks = 4, kListeners = 4;

Settings settings_of(const config::JobsPart& part, const std::function<void(Settings&)>& tweak) {
  Settings settings;
  settings.store.folder = part.folder;
  settings.store.most_bytes = static_cast<std::uint64_t>(part.most_mb) * 1'000'000;
  settings.lease.lease_ms = static_cast<double>(part.lease_ms);
  settings.lease.ask_every_ms = static_cast<double>(part.ask_every_ms);
  settings.early_ms = static_cast<double>(part.early_ms);
  settings.keep_ms = static_cast<double>(part.keep_hours) * 3'600'000;
  settings.most_open = static_cast<std::size_t>(part.most_open);
  settings.answering.insert(part.answering.begin(), part.answering.end());
  if (tweak) tweak(settings);
  return settings;
}

lease::Says says_of(const std::string& state) {
  if (state == "finished") return lease::Says::finished;
  if (state == "failed") return lease::Says::failed;
  if (state == "begun" || state == "running") return lease::Says::running;
  if (state == "never") return lease::Says::never;
  return lease::Says::unknown;
}

}  // namespace

void check_addresses(const config::JobsPart& part) {
  net::Address(part.listen);
  if (!part.operators.empty()) net::Address(part.operators);
}

std::size_t descriptors(const config::JobsPart& part) {
  return static_cast<std::size_t>(part.links) + kFiles + kOperatorLinks + kListeners +
         net::WorkerAsks::kThreads;
}

Installation::Installation(const config::JobsPart& part, const Parts& parts,
                           const std::function<void(Settings&)>& tweak)
    : part_(part),
      clock_(parts.clock),
      hosts_(parts.hosts),
      park_(parts.park),
      keeper_(settings_of(part, tweak), parts.settings, parts.class_names, parts.clock, parts.inbox,
              parts.links, *this),
      asks_(parts.hosts, parts.clock, kAskMs,
            [this](const auto& question, const auto& answer) { told(question, answer); }),
      crew_({.most = static_cast<std::size_t>(part.links) + kOperatorLinks}) {}

Installation::~Installation() { close(); }

void Installation::open() {
  keeper_thread_ = park::Thread("jobs", [this] { keeper_.run(); });
  watch_thread_ = park::Thread("jobs-watch", [this] { watch(); });
}

// Opens the listeners once the store is ours. While it has failed they stay and answer 503.
void Installation::watch() {
  std::string said;
  for (; !closing_; ::poll(nullptr, 0, kWatchMs)) {
    if (clients_ || !keeper_.serves()) continue;
    try {
      auto listener = net::Socket::listen_at(net::Address(part_.listen));
      if (!part_.operators.empty() && !operators_)
        operators_.emplace(net::Socket::listen_at(net::Address(part_.operators)), kOperatorLinks, true,
                           keeper_, clock_, park_, crew_);
      clients_.emplace(std::move(listener), static_cast<std::size_t>(part_.links), false, keeper_, clock_,
                       park_, crew_);
      if (operators_) operators_port_ = operators_->port();
      port_ = clients_->port();
      core::log_line("jobs: clients at " + part_.listen +
                     (part_.operators.empty() ? "" : ", operators at " + part_.operators));
    } catch (const std::exception& failed) {
      if (said != failed.what()) core::log_line("jobs: " + part_.listen + ": " + failed.what());
      said = failed.what();
    }
  }
}

void Installation::close() {
  closing_ = true;
  watch_thread_.join();
  keeper_.stop();
  keeper_thread_.join();
  clients_.reset();
  operators_.reset();
}

void Installation::ask(const std::string& worker, const std::string& key, std::uint64_t epoch) {
  asks_.ask({worker, key, epoch});
}

std::string Installation::kind_of(const std::string& worker) const {
  const auto host = hosts_.find(worker);
  return host ? host->entry.kind : std::string();
}

// What cannot be read is no answer: the worker will be asked again.
void Installation::told(const net::WorkerAsks::Question& question, const net::WorkerAsks::Answer& answer) {
  Word word{question.key, question.epoch, lease::Says::unreachable, {}, {}, question.worker};
  const auto object = nlohmann::json::parse(answer.came ? answer.body : "", nullptr, false);
  try {
    if (object.is_object()) {
      word.ledger = object.value("ledger", "");
      const bool same = question.key.empty() || object.value("job", "") == question.key;
      if (same && object.contains("state")) word.says = says_of(object.at("state"));
      if (word.says == lease::Says::finished) word.result = object.at("result");
    }
  } catch (const nlohmann::json::exception&) {
    word.says = lease::Says::unreachable;
  }
  keeper_.hear(std::move(word));
}

}  // namespace woadtide::jobs
