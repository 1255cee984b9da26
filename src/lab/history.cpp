#include "lab/history.hpp"

#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace woadtide::lab {

using nlohmann::json;

std::string HistoryFindings::summary() const {
  std::string text = "jobs " + std::to_string(jobs) + ": finished " + std::to_string(finished) + ", failed " +
                     std::to_string(failed) + ", refused " + std::to_string(refused) + ", in doubt " +
                     std::to_string(in_doubt) + "; payouts started twice " +
                     std::to_string(duplicate_payouts) + ", unanswered " + std::to_string(unanswered) +
                     ", changed answers " + std::to_string(changed_answers) +
                     ", answers that contradict the ledgers " + std::to_string(contradictions);
  return text;
}

HistoryFindings check_history(const std::vector<ClientObservation>& observations,
                              const std::vector<LedgerEntry>& ledgers) {
  HistoryFindings verdict;
  std::map<std::string, int> start_counts;
  std::map<std::string, std::set<std::string>> results;
  std::set<std::string> failed;
  for (const LedgerEntry& entry : ledgers) {
    if (entry.what == "begun") start_counts[entry.key] += 1;
    if (entry.what == "begun" && entry.at_most_once && start_counts[entry.key] == 2) {
      verdict.duplicate_payouts += 1;
      verdict.lines.push_back(entry.key + ": started twice");
    }
    if (entry.what == "finished") results[entry.key].insert(entry.result);
    if (entry.what == "failed") failed.insert(entry.key);
  }
  std::map<std::string, bool> at_most_once_keys;
  std::map<std::string, ClientObservation> ends;
  for (const ClientObservation& observation : observations) {
    if (observation.what == "asked") {
      at_most_once_keys[observation.key] = observation.once;
      continue;
    }
    if (observation.what == "gave-up") {
      verdict.unanswered += 1;
      verdict.lines.push_back(observation.key + ": no final answer in time");
      continue;
    }
    const auto [end, inserted] = ends.emplace(observation.key, observation);
    if (inserted) continue;
    // A refusal means that a retry is safe, so a different answer may follow it.
    if (end->second.state == "refused") {
      end->second = observation;
    } else if (end->second.status != observation.status || end->second.state != observation.state ||
               end->second.body != observation.body) {
      verdict.changed_answers += 1;
      verdict.lines.push_back(observation.key + ": told " + end->second.state + ", then " +
                              observation.state);
    }
  }
  verdict.jobs = static_cast<int>(at_most_once_keys.size());
  for (const auto& [key, end] : ends) {
    const auto add_contradiction = [&, &name = key, &told = end](const std::string& reason) {
      verdict.contradictions += 1;
      verdict.lines.push_back(name + ": told " + told.state + ", but " + reason);
    };
    if (end.state == "finished") {
      verdict.finished += 1;
      if (!results[key].contains(end.body)) add_contradiction("no ledger has that result");
    } else if (end.state == "refused") {
      verdict.refused += 1;
      if (at_most_once_keys[key] && start_counts[key] > 0) add_contradiction("it had started");
    } else if (end.state == "in-doubt") {
      verdict.in_doubt += 1;
      if (!at_most_once_keys[key]) add_contradiction("its class is idempotent");
    } else {
      verdict.failed += 1;
      if (at_most_once_keys[key] && !failed.contains(key))
        add_contradiction("no ledger has recorded it as failed");
    }
  }
  for (const auto& [key, at_most_once] : at_most_once_keys)
    if (!ends.contains(key)) verdict.lines.push_back(key + ": has no final answer");
  return verdict;
}

std::string to_json_line(const ClientObservation& observation) {
  return json({{"key", observation.key},
               {"what", observation.what},
               {"once", observation.once},
               {"status", observation.status},
               {"state", observation.state},
               {"body", observation.body}})
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<ClientObservation> read_history(const std::string& path) {
  std::vector<ClientObservation> all;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    const json object = json::parse(line, nullptr, false);
    if (!object.is_object()) continue;
    all.push_back({object.at("key"), object.at("what"), object.at("once"), object.at("status"),
                   object.at("state"), object.at("body")});
  }
  return all;
}

std::string history_path(const std::string& folder) { return folder + "/history.jsonl"; }

HistoryFindings check_folder(const std::string& folder) {
  std::vector<LedgerEntry> entries;
  for (const auto& file : std::filesystem::directory_iterator(folder))
    if (file.path().extension() == ".ledger")
      for (LedgerEntry& entry : Ledger::read(file.path().string())) entries.push_back(std::move(entry));
  return check_history(read_history(history_path(folder)), entries);
}

}  // namespace woadtide::lab
