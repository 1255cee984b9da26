// The current endpoint list. Applying an update returns the actual differences. The table does not check
// sequence numbers, which may go back when service discovery restarts: its owner decides which updates to
// apply.
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

// An endpoint that changed. The pointer is into the table, and valid until its next apply().
struct EndpointChange {
  Endpoint before;
  const Endpoint* after;
};
// Differences made by an update. The pointers are into the table, and valid until its next apply().
struct EndpointDelta {
  std::vector<const Endpoint*> added;
  std::deque<EndpointChange> changed;  // in any field, including its state and address
  EndpointSequence removed;

  bool empty() const { return added.empty() && changed.empty() && removed.empty(); }
};

// Endpoints by name.
class EndpointTable {
 private:
  struct TableEntry {
    Endpoint endpoint;
    std::uint64_t last_update_number = 0;  // number of the last apply() call whose update named it
  };
  using EntryMap = std::map<std::string, TableEntry, std::less<>>;

 public:
  // Iterates in order of name.
  class Iterator {
   public:
    explicit Iterator(EntryMap::const_iterator iterator) : iterator_(iterator) {}
    const Endpoint& operator*() const { return iterator_->second.endpoint; }
    Iterator& operator++() {
      ++iterator_;
      return *this;
    }
    bool operator==(const Iterator& other) const = default;

   private:
    EntryMap::const_iterator iterator_;
  };

  // Applies an update. The cost of a delta depends only on its own entries; a snapshot takes one pass over
  // its entries and one over the table. Throws std::invalid_argument if an update adds an endpoint and
  // removes it again; the reader rejects such updates, because it allows each name once.
  EndpointDelta apply(EndpointUpdate&& update);

  // Sequence number of the last update.
  std::int64_t sequence() const { return sequence_; }
  const Endpoint* find(std::string_view name) const;  // nullptr if it is not listed
  std::size_t size() const { return endpoints_.size(); }
  bool empty() const { return endpoints_.empty(); }
  Iterator begin() const { return Iterator(endpoints_.begin()); }
  Iterator end() const { return Iterator(endpoints_.end()); }

  // Total number of entries that apply() has looked up, inserted or skipped. For tests of its cost.
  std::uint64_t entries_visited() const { return entries_visited_; }

 private:
  void insert_or_update(Endpoint&& endpoint, EndpointDelta& delta);
  void remove(const std::string& name, EndpointDelta& delta);
  void remove_unnamed(EndpointDelta& delta);

  EntryMap endpoints_;
  std::int64_t sequence_ = 0;
  std::uint64_t updates_applied_ = 0;
  std::uint64_t entries_visited_ = 0;
};

}  // namespace woadtide::endpoints
