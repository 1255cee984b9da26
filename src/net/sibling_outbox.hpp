// What waits to be sent to one sibling process. A container without I/O or threads; it must not know sockets.
//
// Invariant: it holds what the sibling needs, not all that was added: the newest list, the newest command for
// each worker, the newest readiness, and as many of the newest query ids as the sibling remembers. So its
// size does not depend on how long the sibling does not read, and nothing that is left out would have had an
// effect.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "core/kin.hpp"

namespace woadtide::net {

class SiblingOutbox {
 public:
  // Adds the version of the protocol between sibling processes, which goes first.
  void add_version(int version);
  // Adds a message, in place of earlier ones that it makes void.
  void add(const core::SiblingMessage& message);
  // Whether nothing waits.
  bool is_empty() const;
  // Removes and returns all that waits, as lines: readiness, list, commands for workers, ids, and `told`
  // last.
  std::string take_lines();

 private:
  using Kind = core::SiblingMessage::Kind;

  std::optional<int> version_;
  std::optional<Kind> readiness_;
  std::optional<std::string> list_;
  std::map<std::string, Kind> worker_commands_;  // by worker
  std::deque<std::string> query_ids_;            // oldest first
  bool told_ = false;
};

}  // namespace woadtide::net
