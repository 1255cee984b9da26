#include "lab/history.hpp"

#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace woadtide::lab {

using nlohmann::json;

std::string Verdict::summary() const {
  std::string text = "jobs " + std::to_string(jobs) + ": finished " + std::to_string(finished) + ", failed " +
                     std::to_string(failed) + ", refused " + std::to_string(refused) + ", in doubt " +
                     std::to_string(in_doubt) + "; payouts run twice " + std::to_string(twice) +
                     ", unanswered " + std::to_string(unanswered) + ", changed answers " +
                     std::to_string(changed) + ", answers against the ledgers " +
                     std::to_string(contradictions);
  return text;
}

Verdict judge(const std::vector<Seen>& seen, const std::vector<Entry>& ledgers) {
  Verdict verdict;
  std::map<std::string, int> begun;
  std::map<std::string, std::set<std::string>> results;
  std::set<std::string> failed;
  for (const Entry& entry : ledgers) {
    if (entry.what == "begun") begun[entry.key] += 1;
    if (entry.what == "begun" && entry.once && begun[entry.key] == 2) {
      verdict.twice += 1;
      verdict.lines.push_back(entry.key + ": ran twice");
    }
    if (entry.what == "finished") results[entry.key].insert(entry.result);
    if (entry.what == "failed") failed.insert(entry.key);
  }
  std::map<std::string, bool> once;
  std::map<std::string, Seen> ends;
  for (const Seen& one : seen) {
    if (one.what == "asked") {
      once[one.key] = one.once;
      continue;
    }
    if (one.what == "gave-up") {
      verdict.unanswered += 1;
      verdict.lines.push_back(one.key + ": no final answer in time");
      continue;
    }
    const auto [end, fresh] = ends.emplace(one.key, one);
    if (fresh) continue;
    // A refusal says that a retry does no harm, so another answer may follow it.
    if (end->second.state == "refused") {
      end->second = one;
    } else if (end->second.status != one.status || end->second.state != one.state ||
               end->second.body != one.body) {
      verdict.changed += 1;
      verdict.lines.push_back(one.key + ": told " + end->second.state + ", then " + one.state);
    }
  }
  verdict.jobs = static_cast<int>(once.size());
  for (const auto& [key, end] : ends) {
    const auto against = [&, &name = key, &told = end](const std::string& why) {
      verdict.contradictions += 1;
      verdict.lines.push_back(name + ": told " + told.state + ", but " + why);
    };
    if (end.state == "finished") {
      verdict.finished += 1;
      if (!results[key].contains(end.body)) against("no ledger has that result");
    } else if (end.state == "refused") {
      verdict.refused += 1;
      if (once[key] && begun[key] > 0) against("it began");
    } else if (end.state == "in-doubt") {
      verdict.in_doubt += 1;
      if (!once[key]) against("it is of a class that may be repeated");
    } else {
      verdict.failed += 1;
      if (once[key] && !failed.contains(key)) against("no ledger has it as failed");
    }
  }
  for (const auto& [key, is_once] : once)
    if (!ends.contains(key)) verdict.lines.push_back(key + ": has no end");
  return verdict;
}

std::string line_of(const Seen& seen) {
  return json({{"key", seen.key},
               {"what", seen.what},
               {"once", seen.once},
               {"status", seen.status},
               {"state", seen.state},
               {"body", seen.body}})
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<Seen> read_history(const std::string& path) {
  std::vector<Seen> all;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    const json object = json::parse(line, nullptr, false);
    if (!object.is_object()) continue;
    all.push_back({object.at("key"), object.at("what"), object.at("once"), object.at("status"),
                   object.at("state"), object.at("body")});
  }
  return all;
}

std::string history_of(const std::string& folder) { return folder + "/history.jsonl"; }

Verdict judge_folder(const std::string& folder) {
  std::vector<Entry> entries;
  for (const auto& file : std::filesystem::directory_iterator(folder))
    if (file.path().extension() == ".ledger")
      for (Entry& entry : Ledger::read(file.path().string())) entries.push_back(std::move(entry));
  return judge(read_history(history_of(folder)), entries);
}

}  // namespace woadtide::lab
