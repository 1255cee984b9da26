#include "net/server_links.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>

namespace woadtide::net {

using woadtide::Status;

namespace {

// The loop cancels at the deadline; this only keeps a thread from staying for ever if it did not.
constexpr double kBackstopMs = 2'000;
// How long the end of a body may come behind its last line before the link is not worth keeping.
constexpr double kTailMs = 200;
constexpr double kProbeMs = 1'000;
// A worker may take its time between two lines, but not in the midst of one: a link that fell quiet there
// will not bring the result, and a safe query can still be in time elsewhere.
constexpr double kRestMs = 1'500;
// The last byte of a query waits for two round trips, as the connect showed them, but no longer than this;
// and Limits::settle_ms for the worker to act.
constexpr double kMostRoundsMs = 25;

std::string head_for(const core::Execution& execution, const std::string& dial, double left_ms) {
  const core::Parcel& parcel = execution.parcel;
  std::string head;
  head.reserve(parcel.target.size() + parcel.fields.size() + 160);
  head.append(parcel.method).append(" ").append(parcel.target).append(" HTTP/1.1\r\nHost: ").append(dial);
  head.append("\r\n").append(parcel.fields);
  head.append("X-Budget: ").append(std::to_string(std::llround(std::max(left_ms, 0.0)))).append("m\r\n");
  std::size_t body_size = 0;
  for (const std::string_view piece : parcel.body) body_size += piece.size();
  head.append("Content-Length: ").append(std::to_string(body_size)).append("\r\n\r\n");
  return head;
}

}  // namespace

ServerLinks::ServerLinks(Limits limits, core::Clock& clock, core::Inbox& inbox, const HostGroup& hosts,
                         BufferPool& pool)
    : limits_(limits), clock_(clock), inbox_(inbox), hosts_(hosts), pool_(pool) {}

ServerLinks::~ServerLinks() {
  {
    const std::lock_guard lock(mutex_);
    for (Link& link : links_) {
      link.closing = link.cancelled = true;
      if (link.socket) link.socket.shut();
      link.wake.notify_one();
    }
  }
  for (Link& link : links_) link.thread.join();
}

// The loop's side ----------------------------------------------------------------------------------------

void ServerLinks::start(core::Execution execution) { assign(std::move(execution), false); }

void ServerLinks::probe(const std::string& worker) {
  core::Execution execution;
  execution.worker = worker;
  execution.parcel.method = "GET";
  execution.parcel.target = "/stats";
  execution.deadline = clock_.now() + kProbeMs;
  assign(std::move(execution), true);
}

void ServerLinks::exclude(const std::string& worker, bool excluded) {
  const std::lock_guard lock(mutex_);
  if (excluded)
    excluded_.insert(worker);
  else
    excluded_.erase(worker);
}

void ServerLinks::assign(core::Execution execution, bool probe) {
  const auto host = hosts_.find(execution.worker);
  Task task{std::move(execution), probe, host.value_or(HostGroup::Known{})};
  if (!host) return report(task, {Status::connect_failed});
  const std::lock_guard lock(mutex_);
  reap();
  Link* link = idle_link(task);
  if (!link) {
    // No room for a link: nothing was sent, and it says nothing about the worker.
    if (!make_room(limits_.most - 1)) {
      if (all_busy_.due(clock_.now()))
        core::log_line("server links: all " + std::to_string(limits_.most) + " are busy");
      return report(task, {Status::moot});
    }
    link = &links_.emplace_back();
    try {
      link->thread = Thread("server-link", [this, link] { serve(*link); });
    } catch (const std::exception& failed) {
      core::log_line(std::string("server links: ") + failed.what());
      links_.pop_back();
      return report(task, {Status::moot});
    }
    link->worker = task.execution.worker;
    link->dial = task.host.dial;
  }
  link->idle = link->cancelled = false;
  link->key = task.execution.key;
  link->task = std::move(task);
  link->wake.notify_one();
}

// Newest first: the others may grow old and be dropped. One that the worker has closed would end the
// execution in a reset, so it is looked at before it is used again.
ServerLinks::Link* ServerLinks::idle_link(const Task& task) {
  Link* newest = nullptr;
  for (Link& link : links_) {
    if (!link.idle || link.closing || link.worker != task.execution.worker) continue;
    if (link.dial != task.host.dial || !link.socket.quiet()) {
      link.closing = true;
      link.wake.notify_one();
    } else if (!newest || link.idle_since > newest->idle_since) {
      newest = &link;
    }
  }
  return newest;
}

// At the edge the links that stood idle longest go first. False where there is none left.
bool ServerLinks::make_room(std::size_t most) {
  for (;;) {
    std::size_t open = 0;
    Link* oldest = nullptr;
    for (Link& link : links_) {
      if (link.closing) continue;
      open += 1;
      if (link.idle && (!oldest || link.idle_since < oldest->idle_since)) oldest = &link;
    }
    if (open <= most) return true;
    if (!oldest) return false;
    oldest->closing = true;
    oldest->wake.notify_one();
  }
}

void ServerLinks::set_most(std::size_t most) {
  const std::lock_guard lock(mutex_);
  limits_.most = most;
  make_room(most);
}

void ServerLinks::reap() {
  std::erase_if(links_, [](const Link& link) { return link.over; });
}

void ServerLinks::cancel(const core::ExecutionKey& key) {
  const std::lock_guard lock(mutex_);
  for (Link& link : links_) {
    if (link.idle || link.over || link.key != key) continue;
    link.cancelled = true;
    if (link.socket) link.socket.shut();
  }
}

// The links' threads -------------------------------------------------------------------------------------

void ServerLinks::serve(Link& link) {
  std::unique_lock lock(mutex_);
  for (;;) {
    const std::chrono::duration<double, std::milli> idle(limits_.idle_ms);
    link.wake.wait_for(lock, idle, [&link] { return link.task || link.closing; });
    if (!link.task) break;  // idle for too long, or shed
    const Task task = std::move(*link.task);
    link.task.reset();
    lock.unlock();
    carry_out(link, task);
    lock.lock();
    if (link.closing && !link.task) break;
  }
  link.closing = true;
  link.idle = false;
  link.socket = Socket{};
  link.over = true;
}

void ServerLinks::carry_out(Link& link, const Task& task) {
  bool sent = false;
  try {
    Intake intake(link.socket, clock_, pool_);
    if (auto ending = hand_over(link, task)) {
      set_idle(link, false);
      return report(task, std::move(*ending));
    }
    sent = true;
    if (!task.probe) inbox_.put(core::ExecutionSent{task.execution.key});
    std::optional<LineReader> lines;
    Ending ending = await(link, task, intake, lines);
    // A rest that is malformed spoils the link, not the result that came before it.
    const auto rest_is_over = [&](double wait_ms) {
      try {
        return lines && (lines->skip() || lines->skip_all(clock_.now() + wait_ms));
      } catch (const BadMessage&) {
        lines.reset();
        return false;
      }
    };
    const bool kept = rest_is_over(0);
    // Free before the ending is told: the loop may have the next execution for this worker at once.
    if (kept || !lines) {
      set_idle(link, kept);
      return report(task, std::move(ending));
    }
    report(task, std::move(ending));
    set_idle(link, rest_is_over(kTailMs));
  } catch (const std::exception& failed) {
    // No descriptor or no memory, say. Once it was sent it may have run.
    core::log_line(std::string("server link: ") + failed.what());
    set_idle(link, false);
    report(task, {sent ? Status::reset : Status::connect_failed});
  }
}

// Connects if need be and sends the query. An ending, if it did not come to its last byte: then nothing ran.
// A link that was up and breaks before that says little of its worker, a kept one least of all: the execution
// goes on over a fresh link, once.
std::optional<ServerLinks::Ending> ServerLinks::hand_over(Link& link, const Task& task) {
  for (bool again = false;; again = true) {
    if (!link.socket)
      if (auto ending = connect(link, task)) return ending;
    auto ending = send(link, task);
    if (again || !ending || ending->status != Status::connect_failed) return ending;
    const std::lock_guard lock(mutex_);
    link.socket = Socket{};
  }
}

std::optional<ServerLinks::Ending> ServerLinks::connect(Link& link, const Task& task) {
  Socket fresh = Socket::make(task.host.address);
  {
    const std::lock_guard lock(mutex_);
    if (link.cancelled) return Ending{Status::cancelled};
    link.socket = std::move(fresh);
  }
  const double begun = clock_.now();
  const double within = std::min(limits_.connect_ms, task.execution.deadline - begun);
  if (!link.socket.connect(task.host.address, within)) return broken(link, Status::connect_failed);
  link.settle_ms = limits_.settle_ms + std::min(2 * (clock_.now() - begun), kMostRoundsMs);
  return std::nullopt;
}

// The border between what never ran and what may have is the last byte. A worker that closed the link, or
// resets it when a query comes, is noticed a round trip behind the first bytes: so the last one waits for
// that long, and a payout on a broken link can still go elsewhere.
std::optional<ServerLinks::Ending> ServerLinks::send(Link& link, const Task& task) {
  const core::Execution& execution = task.execution;
  // The connect may have outlived a drain notice, and nothing new may go to a worker that drains.
  const auto host = hosts_.find(execution.worker);
  if (!host || host->state != woadtide::WorkerState::ready) return broken(link, Status::connect_failed);
  // Nor to one that an operator has taken out meanwhile. It says nothing of the worker.
  if (is_excluded(execution.worker)) return Ending{Status::moot};
  const std::string head = head_for(execution, task.host.dial, execution.deadline - clock_.now());
  std::vector<std::string_view> parts{head};
  for (const std::string_view piece : execution.parcel.body)
    if (!piece.empty()) parts.push_back(piece);
  const std::string_view last = parts.back().substr(parts.back().size() - 1);
  parts.back().remove_suffix(1);
  const double until = execution.deadline + kBackstopMs;
  if (link.socket.send(parts, until, clock_) != Io::done || !link.socket.stays_open(link.settle_ms) ||
      link.socket.send({last}, until, clock_) != Io::done)
    return broken(link, Status::connect_failed);
  return std::nullopt;
}

// PROTOCOL's table, for an answer other than 200. Only one marked as turned away proves that nothing ran. A
// 4xx is about the query.
ServerLinks::Ending ServerLinks::ending_of(const Head& head) {
  const bool turned_away = head.find("X-Rejected") == "1" && (head.status == 503 || head.status == 504);
  return {turned_away ? Status::full : Status::error, {}, head.status >= 400 && head.status < 500};
}

// From the last byte on it may have run. `lines` is set where the link may serve again once the body is over.
ServerLinks::Ending ServerLinks::await(Link& link, const Task& task, Intake& intake,
                                       std::optional<LineReader>& lines) {
  const double until = task.execution.deadline + kBackstopMs;
  try {
    for (;;) {
      Io why = Io::done;
      const auto length = intake.head(until, why, kRestMs);
      if (!length) return broken(link, Status::reset);
      const Head head = read_answer_head(intake.view().substr(0, *length));
      const Framing framing = framing_of_answer(head);
      const int status = head.status;
      Ending ending = ending_of(head);
      intake.use(*length);
      if (status < 200) continue;
      LineReader reader(intake, framing);
      if (status == 200) ending = await_lines(link, task, reader);
      if (!framing.closes && ending.status != Status::reset) lines.emplace(reader);
      return ending;
    }
  } catch (const BadMessage&) {
    lines.reset();
    return broken(link, Status::error);  // the worker answered, and nobody can tell what
  }
}

ServerLinks::Ending ServerLinks::await_lines(Link& link, const Task& task, LineReader& lines) {
  const core::ExecutionKey& key = task.execution.key;
  std::string line;
  for (;;) {
    if (lines.next(line, task.execution.deadline + kBackstopMs, kRestMs) != LineReader::Got::line)
      return broken(link, Status::reset);
    if (line.empty()) continue;
    if (task.probe) return {Status::ok, std::move(line)};
    const nlohmann::json event = nlohmann::json::parse(line, nullptr, false);
    // Another query's result must not reach this client.
    if (!event.is_object() || event.value("id", nlohmann::json()) != key.query)
      throw BadMessage(400, "not an event of this execution");
    const nlohmann::json state = event.value("state", nlohmann::json());
    if (state == "started") inbox_.put_hint(core::ExecutionStarted{key});
    if (state == "running") inbox_.put_hint(core::ExecutionProgress{key});
    if (state == "failed") return {Status::error, {}, false, true};
    if (state == "returned") return {Status::full};
    if (state == "lost") return {Status::reset};
    if (state != "done") continue;
    const nlohmann::json result = event.value("result", nlohmann::json());
    if (!result.is_string()) throw BadMessage(400, "a result is not text");
    return {Status::ok, result.get<std::string>()};
  }
}

// What it means that a link broke: our own doing, where it was cancelled.
ServerLinks::Ending ServerLinks::broken(Link& link, Status otherwise) {
  return {is_cancelled(link) ? Status::cancelled : otherwise};
}

bool ServerLinks::is_cancelled(Link& link) {
  const std::lock_guard lock(mutex_);
  return link.cancelled;
}

bool ServerLinks::is_excluded(const std::string& worker) {
  const std::lock_guard lock(mutex_);
  return excluded_.contains(worker);
}

void ServerLinks::set_idle(Link& link, bool reusable) {
  const std::lock_guard lock(mutex_);
  if (link.cancelled || !reusable) link.closing = true;
  link.idle = !link.closing;
  link.idle_since = clock_.now();
}

void ServerLinks::report(const Task& task, Ending ending) {
  if (task.probe)
    inbox_.put(core::ProbeEnded{task.execution.worker, ending.status, std::move(ending.result)});
  else
    inbox_.put(core::ExecutionEnded{task.execution.key, ending.status, std::move(ending.result),
                                    ending.bad_query, ending.failed});
}

}  // namespace woadtide::net
