// The endpoint list as it is held: updates in, what really differs out. It does not judge sequence numbers,
// which may go back where discovery begins anew: its owner decides which updates to apply.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "endpoints/update.hpp"

namespace woadtide::endpoints {

// The pointers are into the table, and hold until its next apply().
struct EndpointChange {
  Endpoint before;
  const Endpoint* now;
};
struct EndpointDelta {
  std::vector<const Endpoint*> added;
  std::deque<EndpointChange> changed;  // in any field; also one that drains, or has another address
  EndpointSequence removed;

  bool empty() const { return added.empty() && changed.empty() && removed.empty(); }
};

class EndpointTable {
 private:
  struct Held {
    Endpoint endpoint;
    std::uint64_t named_by = 0;  // the last update that named it, by number of apply() calls
  };
  using Map = std::map<std::string, Held, std::less<>>;

 public:
  // In order of name.
  class Iterator {
   public:
    explicit Iterator(Map::const_iterator at) : at_(at) {}
    const Endpoint& operator*() const { return at_->second.endpoint; }
    Iterator& operator++() {
      ++at_;
      return *this;
    }
    bool operator==(const Iterator& other) const = default;

   private:
    Map::const_iterator at_;
  };

  // A delta costs by its own entries, a snapshot one pass over its entries and one over the table. Throws
  // std::invalid_argument where an update adds an endpoint and removes it again; the reader lets no endpoint
  // come twice.
  EndpointDelta apply(EndpointUpdate&& update);

  std::int64_t sequence() const { return sequence_; }
  const Endpoint* find(std::string_view name) const;  // nullptr where it is not listed
  std::size_t size() const { return endpoints_.size(); }
  bool empty() const { return endpoints_.empty(); }
  Iterator begin() const { return Iterator(endpoints_.begin()); }
  Iterator end() const { return Iterator(endpoints_.end()); }

  // Held entries that apply() has looked up, put in or passed over, in all. For tests of its cost.
  std::uint64_t entries_visited() const { return entries_visited_; }

 private:
  void put(Endpoint&& endpoint, EndpointDelta& delta);
  void remove(const std::string& name, EndpointDelta& delta);
  void remove_unnamed(EndpointDelta& delta);

  Map endpoints_;
  std::int64_t sequence_ = 0;
  std::uint64_t updates_applied_ = 0;
  std::uint64_t entries_visited_ = 0;
};

}  // namespace woadtide::endpoints
