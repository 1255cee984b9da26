// The list of workers that a service discovery holds, with a bounded history of its changes, written in the
// form that dispatchers read. Knows no sockets and no time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "core/host_list.hpp"

namespace woadtide::lab::hollow {

// One JSON line of the list, without its line end.
struct ListLine {
  std::int64_t version = 0;
  std::size_t entries = 0;
  bool whole = false;
  std::string text;
};

class VersionedList {
 public:
  // A client that is behind by more than `kept_versions` changes is sent the whole list.
  explicit VersionedList(std::size_t kept_versions) : kept_versions_(kept_versions) {}

  // Adds the worker, or replaces its entry; WorkerState::gone takes it off the list. Returns the new version.
  std::int64_t set(const core::Host& host);
  std::int64_t version() const { return version_; }
  std::size_t size() const { return listed_; }

  // Whether the history reaches back to this version: what has changed since can be told apart.
  bool covers(std::int64_t version) const;
  // How many entries line_since() writes.
  std::size_t entries_since(std::int64_t version) const;
  // What has changed since `version`, the newest state of each worker in the order of changes; the whole list
  // where the history does not reach back that far, or `version` is ahead of this list.
  ListLine line_since(std::int64_t version) const;
  // The whole list as it stands, as a dispatcher remembers it.
  core::HostList snapshot() const;

 private:
  struct Entry {
    core::Host host;
    std::string text;
    std::int64_t changed_at = 0;  // the version that wrote it
  };
  struct Change {
    std::int64_t version = 0;
    std::string worker;
  };
  void forget_oldest_change();

  const std::size_t kept_versions_;
  std::int64_t version_ = 0;
  std::size_t listed_ = 0;
  std::map<std::string, Entry> entries_;  // workers that are gone too, while the history names them
  std::deque<Change> history_;            // by version, without gaps
};

}  // namespace woadtide::lab::hollow
