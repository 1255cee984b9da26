// The endpoint list of a service discovery with a bounded history of changes, serialised in the form that
// dispatchers read. Uses no sockets and no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "core/host_list.hpp"

namespace woadtide::lab::hollow {

// One JSON line of the list, without the line terminator.
struct ListLine {
  std::int64_t version = 0;
  std::size_t entries = 0;
  bool complete = false;
  std::string text;
};

// Workers by name, with the version of their last change.
class VersionedList {
 public:
  // A client that is behind by more than `history_limit` changes is sent the complete list.
  explicit VersionedList(std::size_t history_limit) : history_limit_(history_limit) {}

  // Adds or replaces the worker's entry; WorkerState::gone removes it. Returns the new version.
  std::int64_t set(const core::Endpoint& endpoint);
  std::int64_t version() const { return version_; }
  // Number of listed workers.
  std::size_t size() const { return listed_count_; }

  // Whether the history reaches back to `version`, so that the changes since then are known.
  bool covers(std::int64_t version) const;
  // Number of entries that line_since() writes.
  std::size_t entries_since(std::int64_t version) const;
  // The changes since `version`: the newest state of each worker, in order of change. The complete list if
  // the history does not reach back that far, or `version` is newer than this list.
  ListLine line_since(std::int64_t version) const;
  // The current complete list, in the form in which a dispatcher remembers it.
  core::EndpointList snapshot() const;

 private:
  struct Entry {
    core::Endpoint endpoint;
    std::string text;
    std::int64_t changed_at = 0;  // version of its last change
  };
  struct Change {
    std::int64_t version = 0;
    std::string worker;
  };
  void discard_oldest_change();

  const std::size_t history_limit_;
  std::int64_t version_ = 0;
  std::size_t listed_count_ = 0;
  std::map<std::string, Entry> entries_;  // includes removed workers for as long as the history names them
  std::deque<Change> history_;            // ordered by version, without gaps
};

}  // namespace woadtide::lab::hollow
