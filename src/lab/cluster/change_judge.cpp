#include "lab/cluster/change_judge.hpp"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

namespace woadtide::lab::cluster {

using nlohmann::json;

namespace {

template <class Visitor>
void for_each_line(const std::string& path, const Visitor& visit) {
  std::ifstream file(path);
  for (std::string line_text; std::getline(file, line_text);) {
    const json line = json::parse(line_text, nullptr, false);  // a line torn by a kill does not parse
    if (line.is_object()) visit(line);
  }
}

}  // namespace

std::string ChangeFindings::summary() const {
  std::string summary_text = "change: " + outcome + (reason.empty() ? "" : " (" + reason + ")") +
                             ", most on the new version " + std::to_string(max_on_new) + ", for " +
                             std::to_string(static_cast<int>(new_ms)) + " ms; pauses " +
                             std::to_string(pauses.size()) + ", starts beyond the stage " +
                             std::to_string(stage_overruns) + ", members on the wrong version " +
                             std::to_string(wrong_versions) + ", unfinished " + std::to_string(unfinished);
  return summary_text;
}

ChangeFindings check_change(const ChangeRecords& records) {
  ChangeFindings findings;
  std::vector<SupervisorEvent> events = records.events;
  std::stable_sort(events.begin(), events.end(),
                   [](const SupervisorEvent& a, const SupervisorEvent& b) { return a.at_ms < b.at_ms; });
  // A member counts as on the new version while at least one of its processes runs it.
  std::map<std::string, std::map<int, std::string>> processes_by_member;
  double first_new_ms = 0, last_new_ms = 0;
  for (const SupervisorEvent& event : events) {
    auto& processes = processes_by_member[event.member];
    if (event.event == "start") processes[event.pid] = event.version;
    if (event.event == "gone") processes.erase(event.pid);
    int on_new = 0;
    for (const auto& [member, all] : processes_by_member)
      on_new += std::any_of(all.begin(), all.end(),
                            [&](const auto& process) { return process.second != records.old_version; });
    if (on_new > 0 && first_new_ms == 0) first_new_ms = event.at_ms;
    if (on_new > 0) last_new_ms = 0;
    if (on_new == 0 && first_new_ms > 0 && last_new_ms == 0) last_new_ms = event.at_ms;
    findings.max_on_new = std::max(findings.max_on_new, on_new);
    if (event.event != "start" || event.version == records.old_version) continue;
    int allowed = 0;
    for (const ChangeState& state : records.states)
      if (state.at_ms <= event.at_ms) allowed = state.allowed;
    if (on_new <= allowed) continue;
    findings.stage_overruns += 1;
    findings.lines.push_back(event.member + ": number " + std::to_string(on_new) +
                             " on the new version, but " + std::to_string(allowed) + " were allowed");
  }
  for (const ChangeState& state : records.states)
    if (!state.paused.empty() && (findings.pauses.empty() || findings.pauses.back() != state.paused))
      findings.pauses.push_back(state.paused);
  const ChangeState final_state = records.states.empty() ? ChangeState{} : records.states.back();
  findings.outcome = final_state.phase;
  findings.reason = final_state.reason;
  if (first_new_ms > 0) findings.new_ms = (last_new_ms > 0 ? last_new_ms : final_state.at_ms) - first_new_ms;
  if (final_state.phase != "complete" && final_state.phase != "back") {
    findings.unfinished += 1;
    findings.lines.push_back(
        "the change has no outcome: " + (final_state.phase.empty() ? "it never started" : final_state.phase) +
        (final_state.paused.empty() ? "" : ", paused: " + final_state.paused));
    return findings;
  }
  for (const auto& [member, version] : records.final_versions) {
    const auto place_entry = final_state.places.find(member);
    if (place_entry != final_state.places.end() && place_entry->second == "left")
      continue;  // reported as not rolled back
    const bool runs_old = version == records.old_version;
    if (!version.empty() && runs_old == (final_state.phase == "back")) continue;
    findings.wrong_versions += 1;
    findings.lines.push_back(member + ": the change is " + final_state.phase + ", but it runs " +
                             (version.empty() ? "nothing"
                              : runs_old      ? "the old version"
                                              : "the new version"));
  }
  return findings;
}

ChangeRecords read_change_records(const std::map<std::string, std::string>& histories,
                                  const std::string& controller) {
  ChangeRecords records;
  double first_start_ms = 0;
  for (const auto& [member, path] : histories)
    for_each_line(path, [&](const json& line) {
      const std::string what = line.value("what", "");
      if (what != "start" && what != "gone" && what != "serves") return;
      const SupervisorEvent event{member,
                                  what,
                                  line.value("version", ""),
                                  line.value("at_ms", 0.0),
                                  line.value("pid", 0),
                                  line.value("unordered", false)};
      if (what == "start" && (first_start_ms == 0 || event.at_ms < first_start_ms)) {
        first_start_ms = event.at_ms;
        records.old_version = event.version;  // the version of the first process started
      }
      records.events.push_back(event);
    });
  for_each_line(controller, [&](const json& line) {
    if (line.value("what", "") != "state") return;
    ChangeState state{line.value("at_ms", 0.0), line.value("phase", ""),  line.value("paused", ""),
                      line.value("reason", ""), line.value("allowed", 0), {}};
    line.at("places").get_to(state.places);
    records.states.push_back(std::move(state));
  });
  return records;
}

}  // namespace woadtide::lab::cluster
