#include "lab/cluster/judge.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace woadtide::lab::cluster {

namespace {

constexpr double kSlackMs = 50;    // of PROTOCOL, on every time limit
constexpr double kNoticeMs = 100;  // for the machine of a run, where some tens of processes share a few cores
constexpr double kUpMs = 800;      // from a start, or a SIGCONT, until all that was held up has gone on

class Judge {
 public:
  Judge(const Plan& plan, const Books& books) : plan_(plan), books_(books) {}

  Findings run() {
    for (const auto& [worker, entries] : books_.ledgers)
      for (const Entry& entry : entries) {
        if (entry.what == "begun") begun_[entry.key] += 1;
        if (entry.what == "begun" && entry.once && begun_[entry.key] == 2)
          say(found_.twice, entry.key + ": a payout began twice");
        if (entry.what == "finished") results_[entry.key].insert(entry.result);
      }
    for (const Asked& asked : books_.asked) look_at(asked);
    for (const auto& [worker, entries] : books_.ledgers)
      for (const Entry& entry : entries)
        if (entry.what == "begun") look_at(worker, entry);
    return std::move(found_);
  }

 private:
  void say(int& count, const std::string& line) {
    count += 1;
    found_.lines.push_back(line);
  }
  // Whether a fault that `counts` was in force in this time, or so little before that it still shows.
  template <class Counts>
  bool faulted(double from, double to, const Counts& counts) const {
    return std::any_of(plan_.faults.begin(), plan_.faults.end(), [&](const Fault& fault) {
      return fault.from_ms <= to + kNoticeMs && from <= fault.to_ms + kUpMs && counts(fault);
    });
  }

  void look_at(const Asked& asked) {
    found_.queries += 1;
    const double from = asked.asked_ms, to = asked.ended_ms;
    const bool front = faulted(from, to, [&](const Fault& fault) {
      if (fault.kind == Kind::kill || fault.kind == Kind::stop) return fault.at == asked.to;
      return is_of_link(fault.kind) && fault.at == "clients" && fault.to == asked.to;
    });
    const bool garbled = faulted(from, to, [&](const Fault& fault) {
      return fault.kind == Kind::corrupt && (fault.at == asked.to || fault.to == asked.to);
    });
    if (asked.end != Asked::End::answer) {
      if (front) return void(found_.excused += 1);
      return say(found_.lost, asked.id + ": " +
                                  (asked.end == Asked::End::none     ? "no answer in time"
                                   : asked.end == Asked::End::broken ? "its link ended without an answer"
                                                                     : "was not taken"));
    }
    if (to - from > plan_.scenario.budget_ms + kSlackMs + kNoticeMs && !front)
      say(found_.late, asked.id + ": answered " + std::to_string(to - from) + " ms after it was asked");
    const auto begun = begun_.find(asked.id);
    if (asked.status == 200) {
      found_.served += 1;
      const auto result = results_.find(asked.id);
      if (!garbled && (result == results_.end() || !result->second.contains(asked.body)))
        say(found_.untrue, asked.id + ": served with what no worker made for it");
    } else if (asked.status == 503 || asked.status == 429) {
      found_.refused += 1;
      if (asked.once && begun != begun_.end())
        say(found_.untrue, asked.id + ": a payout was refused, and had begun");
    } else {
      found_.failed += 1;
      if (asked.status < 500 && !garbled)
        say(found_.untrue, asked.id + ": a good query was answered " + std::to_string(asked.status));
    }
  }

  // Who sent it shows in the address that the worker was called by.
  void look_at(const std::string& worker, const Entry& entry) {
    const auto sender = std::find_if(plan_.workers.begin(), plan_.workers.end(), [&](const auto& one) {
      return one.second.contains(worker) && one.second.at(worker) == entry.via;
    });
    if (sender == plan_.workers.end()) return;
    const std::string& node = sender->first;
    const double at = entry.at_ms - plan_.start_ms;
    double since = -1;
    for (const Told& told : books_.told)
      if (told.to == node && told.worker == worker && told.at_ms <= at)
        since = !told.drains ? -1 : since < 0 ? told.at_ms : since;
    if (since < 0) return;
    // The rule counts from a send's first byte: a link that held it back, a list that was held back, and a
    // process that stood still between its decision and its write are no late sends of the dispatcher's.
    if (at <= since + plan_.scenario.grace_ms + kSlackMs + kNoticeMs) return;
    if (faulted(since, at, [&](const Fault& fault) {
          if (fault.kind == Kind::stop || fault.kind == Kind::kill) return fault.at == node;
          return is_of_link(fault.kind) && fault.at == node &&
                 (fault.to == worker || fault.to == "discovery");
        }))
      return;
    say(found_.late_sends, entry.key + ": began at " + worker + " " + std::to_string(at - since) +
                               " ms after " + node + " was told of its drain");
  }

  const Plan& plan_;
  const Books& books_;
  std::map<std::string, int> begun_;
  std::map<std::string, std::set<std::string>> results_;
  Findings found_;
};

}  // namespace

std::string Findings::summary() const {
  return "queries " + std::to_string(queries) + ": served " + std::to_string(served) + ", refused " +
         std::to_string(refused) + ", failed " + std::to_string(failed) + ", without an answer by a fault " +
         std::to_string(excused) + "; lost " + std::to_string(lost) + ", late " + std::to_string(late) +
         ", payouts begun twice " + std::to_string(twice) + ", answers against the ledgers " +
         std::to_string(untrue) + ", late sends " + std::to_string(late_sends) + ", crashes " +
         std::to_string(crashes);
}

Findings judge(const Plan& plan, const Books& books) { return Judge(plan, books).run(); }

Books read_books(const Plan& plan, const std::string& folder) {
  Books books;
  for (int i = 0; i < plan.scenario.dispatchers; ++i) {
    const auto some = read_asked(folder + "/asked-n" + std::to_string(i) + ".jsonl");
    books.asked.insert(books.asked.end(), some.begin(), some.end());
  }
  books.told = read_told(folder + "/told.jsonl");
  for (int i = 0; i < plan.scenario.workers; ++i) {
    const std::string worker = "w" + std::to_string(i);
    books.ledgers[worker] = Ledger::read(folder + '/' + worker + ".ledger");
  }
  return books;
}

}  // namespace woadtide::lab::cluster
