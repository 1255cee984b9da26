#include "net/host_group.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "core/log.hpp"
#include "net/http.hpp"

namespace woadtide::net {

using woadtide::ListKind;
using woadtide::WorkerState;

HostGroup::HostGroup(const std::string& discovery, const core::HostList& remembered, core::Clock& clock,
                     core::Inbox& inbox, BufferPool& pool, double silence_ms)
    : clock_(clock),
      inbox_(inbox),
      pool_(pool),
      silence_ms_(silence_ms),
      discovery_(discovery),
      address_(discovery) {
  apply(remembered, ListKind::remembered);
  thread_ = Thread("host-group", [this] { run(); });
}

HostGroup::~HostGroup() {
  const std::lock_guard lock(mutex_);
  stopping_ = true;
  if (socket_) socket_.shut();
  wanted_changed_.notify_one();
}

void HostGroup::watch() {
  const std::lock_guard lock(mutex_);
  if (!following_) wanted_ = true;
  wanted_changed_.notify_one();
}

void HostGroup::move(const std::string& discovery) {
  const Address address(discovery);  // throws before anything is changed
  const std::lock_guard lock(mutex_);
  if (discovery == discovery_) return;
  discovery_ = discovery;
  address_ = address;
  // One thread follows: what it has open is shut, and it goes on at the new address.
  moved_ = following_;
  wanted_ = true;
  if (socket_) socket_.shut();
  wanted_changed_.notify_one();
}

std::optional<HostGroup::Known> HostGroup::find(const std::string& worker) const {
  const std::lock_guard lock(mutex_);
  const auto found = hosts_.find(worker);
  if (found == hosts_.end()) return std::nullopt;
  return found->second;
}

void HostGroup::run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    wanted_changed_.wait(lock, [this] { return wanted_ || stopping_; });
    if (stopping_) return;
    following_ = true;
    lock.unlock();
    std::string why;
    try {
      follow();
    } catch (const std::exception& failed) {
      why = failed.what();
    }
    lock.lock();
    // Closed here only, by its owner. Before the module hears of the failure, so that it can ask again.
    socket_ = Socket{};
    following_ = wanted_ = false;
    if (stopping_) return;
    if (std::exchange(moved_, false)) {
      wanted_ = true;
      continue;
    }
    core::log_line("watch: failed: " + why);
    inbox_.put(core::ListTold{{ListKind::failed, {}}});
  }
}

// Ends by an exception only: a watch lasts until something breaks it.
void HostGroup::follow() {
  Address address;
  std::string query;
  {
    const std::lock_guard lock(mutex_);
    if (stopping_ || moved_) return;
    address = address_;
    socket_ = Socket::make(address);
    query = "GET /registry/instances?follow=1&since=" + std::to_string(seq_) +
            " HTTP/1.1\r\nHost: " + discovery_ + "\r\n\r\n";
  }
  if (!socket_.connect(address, kConnectMs)) throw std::runtime_error("could not connect");
  if (socket_.send({query}, clock_.now() + silence_ms_, clock_) != Io::done)
    throw std::runtime_error("broke while it was opened");
  Intake intake(socket_, clock_, pool_);
  Io why = Io::done;
  const auto length = intake.head(clock_.now() + silence_ms_, why);
  if (!length) throw std::runtime_error(why == Io::late ? "no answer" : "ended before an answer");
  const Head head = read_answer_head(intake.view().substr(0, *length));
  if (head.status != 200) throw std::runtime_error("discovery answered " + std::to_string(head.status));
  const Framing framing = framing_of_answer(head);
  intake.use(*length);
  LineReader lines(intake, framing);
  std::string line;
  for (bool first = true;; first = false) {
    switch (lines.next(line, clock_.now() + silence_ms_)) {
      case LineReader::Got::line:
        break;
      case LineReader::Got::late:
        throw std::runtime_error("silent");
      case LineReader::Got::end:
      case LineReader::Got::broken:
        throw std::runtime_error("the link ended");
    }
    if (line.empty()) continue;
    const nlohmann::json object = nlohmann::json::parse(line, nullptr, false);
    if (object.is_discarded()) throw std::runtime_error("a line is not JSON");
    const core::HostList list = core::read_host_list(object);
    if (first) core::log_line("watch: open at seq " + std::to_string(list.seq));
    apply(list, list.whole ? ListKind::full : ListKind::changes);
  }
}

void HostGroup::apply(const core::HostList& list, ListKind kind) {
  std::map<std::string, Known> told;
  core::ListTold message{{kind, {}}};
  for (const core::Host& host : list.hosts) {
    told.insert_or_assign(host.entry.worker,
                          Known{Address(host.dial), host.dial, host.entry.state, host.entry.kind});
    message.update.entries.push_back(host.entry);
  }
  const std::lock_guard lock(mutex_);
  seq_ = list.seq;
  std::map<std::string, Known> before = hosts_;
  if (kind != ListKind::changes) hosts_.clear();
  for (auto& [worker, known] : told) {
    const auto was = before.find(worker);
    const bool news = was == before.end() || was->second.state != known.state;
    if (news && kind != ListKind::remembered) {
      const char* word = known.state == WorkerState::ready      ? " is ready at "
                         : known.state == WorkerState::draining ? " drains at "
                                                                : " is gone from ";
      core::log_line("host group: " + worker + word + known.dial);
    }
    if (known.state == WorkerState::gone)
      hosts_.erase(worker);
    else
      hosts_.insert_or_assign(worker, std::move(known));
  }
  inbox_.put(std::move(message));
}

}  // namespace woadtide::net
