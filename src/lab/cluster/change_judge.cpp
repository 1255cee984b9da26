#include "lab/cluster/change_judge.hpp"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

namespace woadtide::lab::cluster {

using nlohmann::json;

namespace {

template <class Use>
void each_line(const std::string& path, const Use& use) {
  std::ifstream file(path);
  for (std::string text; std::getline(file, text);) {
    const json line = json::parse(text, nullptr, false);  // a line that a kill tore is none
    if (line.is_object()) use(line);
  }
}

}  // namespace

std::string ChangeFindings::summary() const {
  std::string text = "change: " + outcome + (reason.empty() ? "" : " (" + reason + ")") +
                     ", most on the new version " + std::to_string(most_on_new) + ", for " +
                     std::to_string(static_cast<int>(new_ms)) + " ms; pauses " +
                     std::to_string(pauses.size()) + ", over its stage " + std::to_string(over_stage) +
                     ", untrue ends " + std::to_string(untrue) + ", without an end " + std::to_string(no_end);
  return text;
}

ChangeFindings judge_change(const ChangeBooks& books) {
  ChangeFindings found;
  std::vector<Life> lives = books.lives;
  std::stable_sort(lives.begin(), lives.end(),
                   [](const Life& a, const Life& b) { return a.at_ms < b.at_ms; });
  // A member counts from the start of a process of the new version until none of it is there.
  std::map<std::string, std::map<int, std::string>> running;
  double first = 0, last = 0;
  for (const Life& life : lives) {
    auto& processes = running[life.member];
    if (life.what == "start") processes[life.pid] = life.version;
    if (life.what == "gone") processes.erase(life.pid);
    int on_new = 0;
    for (const auto& [member, all] : running)
      on_new += std::any_of(all.begin(), all.end(),
                            [&](const auto& one) { return one.second != books.old_version; });
    if (on_new > 0 && first == 0) first = life.at_ms;
    if (on_new > 0) last = 0;
    if (on_new == 0 && first > 0 && last == 0) last = life.at_ms;
    found.most_on_new = std::max(found.most_on_new, on_new);
    if (life.what != "start" || life.version == books.old_version) continue;
    int allowed = 0;
    for (const Stood& stood : books.stood)
      if (stood.at_ms <= life.at_ms) allowed = stood.allowed;
    if (on_new <= allowed) continue;
    found.over_stage += 1;
    found.lines.push_back(life.member + ": number " + std::to_string(on_new) + " on the new version, and " +
                          std::to_string(allowed) + " were allowed");
  }
  for (const Stood& stood : books.stood)
    if (!stood.paused.empty() && (found.pauses.empty() || found.pauses.back() != stood.paused))
      found.pauses.push_back(stood.paused);
  const Stood end = books.stood.empty() ? Stood{} : books.stood.back();
  found.outcome = end.phase;
  found.reason = end.reason;
  if (first > 0) found.new_ms = (last > 0 ? last : end.at_ms) - first;
  if (end.phase != "complete" && end.phase != "back") {
    found.no_end += 1;
    found.lines.push_back("the change has no end: " + (end.phase.empty() ? "it never began" : end.phase) +
                          (end.paused.empty() ? "" : ", paused: " + end.paused));
    return found;
  }
  for (const auto& [member, version] : books.runs) {
    const auto place = end.places.find(member);
    if (place != end.places.end() && place->second == "left") continue;  // named as such
    const bool is_old = version == books.old_version;
    if (!version.empty() && is_old == (end.phase == "back")) continue;
    found.untrue += 1;
    found.lines.push_back(member + ": the change is " + end.phase + ", and it runs " +
                          (version.empty() ? "nothing"
                           : is_old        ? "the old version"
                                           : "the new version"));
  }
  return found;
}

ChangeBooks read_change(const std::map<std::string, std::string>& histories, const std::string& controller) {
  ChangeBooks books;
  double first = 0;
  for (const auto& [member, path] : histories)
    each_line(path, [&](const json& line) {
      const std::string what = line.value("what", "");
      if (what != "start" && what != "gone" && what != "serves") return;
      const Life life{member,
                      what,
                      line.value("version", ""),
                      line.value("at_ms", 0.0),
                      line.value("pid", 0),
                      line.value("unordered", false)};
      if (what == "start" && (first == 0 || life.at_ms < first)) {
        first = life.at_ms;
        books.old_version = life.version;  // the first one that anybody started
      }
      books.lives.push_back(life);
    });
  each_line(controller, [&](const json& line) {
    if (line.value("what", "") != "state") return;
    Stood stood{line.value("at_ms", 0.0), line.value("phase", ""),  line.value("paused", ""),
                line.value("reason", ""), line.value("allowed", 0), {}};
    line.at("places").get_to(stood.places);
    books.stood.push_back(std::move(stood));
  });
  return books;
}

}  // namespace woadtide::lab::cluster
