#include "lab/hollow/versioned_list.hpp"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "core/clock.hpp"

namespace woadtide::lab::hollow {

using woadtide::WorkerState;

namespace {

const char* health_name(WorkerState state) {
  switch (state) {
    case WorkerState::ready:
      return "Ready";
    case WorkerState::draining:
      return "Terminating";
    case WorkerState::gone:
      break;
  }
  return "Gone";
}

std::string entry_json(const core::Endpoint& endpoint) {
  const woadtide::ListEntry& entry = endpoint.entry;
  nlohmann::ordered_json object;
  object["host"] = entry.worker;
  object["dial"] = endpoint.address;
  object["site"] = entry.zone;
  object["class"] = entry.kind;
  object["block"] = entry.cell;
  object["health"] = health_name(entry.state);
  object["share"] = entry.weight;
  object["born_ms"] = entry.started ? static_cast<std::int64_t>(core::to_ms(*entry.started)) : 0;
  return object.dump();
}

}  // namespace

std::int64_t VersionedList::set(const core::Endpoint& endpoint) {
  const std::string& worker = endpoint.entry.worker;
  const auto previous = entries_.find(worker);
  const bool was_listed =
      previous != entries_.end() && previous->second.endpoint.entry.state != WorkerState::gone;
  const bool is_listed = endpoint.entry.state != WorkerState::gone;
  if (is_listed && !was_listed) listed_count_ += 1;
  if (was_listed && !is_listed) listed_count_ -= 1;
  version_ += 1;
  entries_.insert_or_assign(worker, Entry{endpoint, entry_json(endpoint), version_});
  history_.push_back({version_, worker});
  while (history_.size() > history_limit_) discard_oldest_change();
  return version_;
}

void VersionedList::discard_oldest_change() {
  const Change oldest = std::move(history_.front());
  history_.pop_front();
  const auto found = entries_.find(oldest.worker);
  if (found == entries_.end() || found->second.changed_at != oldest.version) return;
  if (found->second.endpoint.entry.state == WorkerState::gone) entries_.erase(found);
}

bool VersionedList::covers(std::int64_t version) const {
  const std::int64_t oldest = version_ - static_cast<std::int64_t>(history_.size());
  return version >= oldest && version <= version_;
}

std::size_t VersionedList::entries_since(std::int64_t version) const {
  if (!covers(version)) return listed_count_;
  std::size_t entries = 0;
  const auto missed = static_cast<std::size_t>(version_ - version);
  for (std::size_t i = history_.size() - missed; i < history_.size(); ++i)
    if (entries_.at(history_[i].worker).changed_at == history_[i].version) entries += 1;
  return entries;
}

ListLine VersionedList::line_since(std::int64_t version) const {
  const bool complete = !covers(version);
  ListLine line{version_, 0, complete, {}};
  line.text =
      "{\"seq\":" + std::to_string(version_) + ",\"whole\":" + (complete ? "true" : "false") + ",\"hosts\":[";
  const auto add = [&line](const Entry& entry) {
    if (line.entries > 0) line.text += ',';
    line.text += entry.text;
    line.entries += 1;
  };
  if (complete) {
    for (const auto& [worker, entry] : entries_)
      if (entry.endpoint.entry.state != WorkerState::gone) add(entry);
  } else {
    const auto missed = static_cast<std::size_t>(version_ - version);
    for (std::size_t i = history_.size() - missed; i < history_.size(); ++i) {
      const Entry& entry = entries_.at(history_[i].worker);
      if (entry.changed_at == history_[i].version) add(entry);
    }
  }
  line.text += "]}";
  return line;
}

core::EndpointList VersionedList::snapshot() const {
  core::EndpointList list{version_, true, {}};
  for (const auto& [worker, entry] : entries_)
    if (entry.endpoint.entry.state != WorkerState::gone) list.endpoints.push_back(entry.endpoint);
  return list;
}

}  // namespace woadtide::lab::hollow
