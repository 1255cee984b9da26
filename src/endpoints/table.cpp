#include "endpoints/table.hpp"

#include <stdexcept>
#include <utility>

namespace woadtide::endpoints {

using woadtide::WorkerState;

EndpointDelta EndpointTable::apply(EndpointUpdate&& update) {
  EndpointDelta delta;
  sequence_ = update.sequence;
  updates_applied_ += 1;
  // Each entry is freed as soon as it is moved, so that the list is never in memory twice.
  for (EndpointSequence& entries = update.endpoints; !entries.empty(); entries.pop_front()) {
    Endpoint& endpoint = entries.front();
    if (endpoint.entry.state != WorkerState::gone)
      insert_or_update(std::move(endpoint), delta);
    else if (!update.is_snapshot)
      remove(endpoint.name(), delta);
  }
  if (update.is_snapshot) remove_unnamed(delta);
  return delta;
}

const Endpoint* EndpointTable::find(std::string_view name) const {
  const auto found = endpoints_.find(name);
  return found == endpoints_.end() ? nullptr : &found->second.endpoint;
}

void EndpointTable::insert_or_update(Endpoint&& endpoint, EndpointDelta& delta) {
  entries_visited_ += 1;
  const auto [at, is_new] = endpoints_.try_emplace(endpoint.name());
  TableEntry& entry_in_table = at->second;
  entry_in_table.last_update_number = updates_applied_;
  if (is_new) {
    entry_in_table.endpoint = std::move(endpoint);
    delta.added.push_back(&entry_in_table.endpoint);
  } else if (!(entry_in_table.endpoint == endpoint)) {
    Endpoint before = std::exchange(entry_in_table.endpoint, std::move(endpoint));
    delta.changed.push_back({std::move(before), &entry_in_table.endpoint});
  }
}

void EndpointTable::remove(const std::string& name, EndpointDelta& delta) {
  entries_visited_ += 1;
  const auto found = endpoints_.find(name);
  if (found == endpoints_.end()) return;
  if (found->second.last_update_number == updates_applied_)
    throw std::invalid_argument("endpoint table: '" + name + "' appears twice in one update");
  delta.removed.push_back(std::move(found->second.endpoint));
  endpoints_.erase(found);
}

// Removes the endpoints that a snapshot did not name.
void EndpointTable::remove_unnamed(EndpointDelta& delta) {
  for (auto at = endpoints_.begin(); at != endpoints_.end();) {
    entries_visited_ += 1;
    if (at->second.last_update_number == updates_applied_) {
      ++at;
      continue;
    }
    delta.removed.push_back(std::move(at->second.endpoint));
    at = endpoints_.erase(at);
  }
}

}  // namespace woadtide::endpoints
