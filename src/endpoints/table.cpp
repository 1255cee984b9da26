#include "endpoints/table.hpp"

#include <stdexcept>
#include <utility>

namespace woadtide::endpoints {

using woadtide::WorkerState;

EndpointDelta EndpointTable::apply(EndpointUpdate&& update) {
  EndpointDelta delta;
  sequence_ = update.sequence;
  updates_applied_ += 1;
  // Each entry is freed as it is taken over, so that a list is not there twice.
  for (EndpointSequence& entries = update.endpoints; !entries.empty(); entries.pop_front()) {
    Endpoint& endpoint = entries.front();
    if (endpoint.entry.state != WorkerState::gone)
      put(std::move(endpoint), delta);
    else if (!update.whole)
      remove(endpoint.name(), delta);
  }
  if (update.whole) remove_unnamed(delta);
  return delta;
}

const Endpoint* EndpointTable::find(std::string_view name) const {
  const auto found = endpoints_.find(name);
  return found == endpoints_.end() ? nullptr : &found->second.endpoint;
}

void EndpointTable::put(Endpoint&& endpoint, EndpointDelta& delta) {
  entries_visited_ += 1;
  const auto [at, is_new] = endpoints_.try_emplace(endpoint.name());
  Held& held = at->second;
  held.named_by = updates_applied_;
  if (is_new) {
    held.endpoint = std::move(endpoint);
    delta.added.push_back(&held.endpoint);
  } else if (!(held.endpoint == endpoint)) {
    Endpoint before = std::exchange(held.endpoint, std::move(endpoint));
    delta.changed.push_back({std::move(before), &held.endpoint});
  }
}

void EndpointTable::remove(const std::string& name, EndpointDelta& delta) {
  entries_visited_ += 1;
  const auto found = endpoints_.find(name);
  if (found == endpoints_.end()) return;
  if (found->second.named_by == updates_applied_)
    throw std::invalid_argument("endpoint table: '" + name + "' is twice in one update");
  delta.removed.push_back(std::move(found->second.endpoint));
  endpoints_.erase(found);
}

// Those that a snapshot has not named.
void EndpointTable::remove_unnamed(EndpointDelta& delta) {
  for (auto at = endpoints_.begin(); at != endpoints_.end();) {
    entries_visited_ += 1;
    if (at->second.named_by == updates_applied_) {
      ++at;
      continue;
    }
    delta.removed.push_back(std::move(at->second.endpoint));
    at = endpoints_.erase(at);
  }
}

}  // namespace woadtide::endpoints
