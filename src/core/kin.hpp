// Messages between sibling processes: two processes of one dispatcher that run at the same time, as in a hot
// restart.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace woadtide::core {

// Version of the protocol between sibling processes. Processes whose versions differ by one are compatible: a
// message of an unknown kind is ignored. Version 1 did not send its version.
constexpr int kSiblingProtocolVersion = 2;

// Ids of finished or foreign queries that a process remembers, the newest ones: several minutes of peak
// traffic, about 1 MB.
constexpr std::size_t kMaxRememberedIds = 8192;

// A message between sibling processes.
struct SiblingMessage {
  // The value is the index of the kind's name on the wire.
  enum class Kind {
    exclude,  // an operator excluded this worker
    include,  // an operator included this worker again
    query,    // a query with this id is sent to a worker: it must not run at the other process too
    told,     // the initial state has been sent completely
    ready,    // the sender accepts clients
    unready,  // the sender accepts no clients
    // The sender's endpoint list, in the format of service discovery, since a drain that one process received
    // holds at both.
    list,
  };
  Kind kind = Kind::told;
  std::string content = {};  // worker, query id or list, depending on the kind
};

// Names of the kinds of messages on the wire, in the order of SiblingMessage::Kind.
constexpr std::array<std::string_view, 7> kSiblingMessageNames = {"exclude", "include", "query", "told",
                                                                  "ready",   "unready", "list"};
constexpr std::string_view kSiblingVersionName = "version";
constexpr std::string_view wire_name(SiblingMessage::Kind kind) {
  return kSiblingMessageNames[static_cast<std::size_t>(kind)];
}

// Connection to the sibling processes.
class SiblingProcess {
 public:
  virtual ~SiblingProcess() = default;
  // Sends a message to all sibling processes. Must not block.
  virtual void send(const SiblingMessage& message) = 0;
  // Returns whether there is no sibling process.
  virtual bool has_no_sibling() const = 0;
};

}  // namespace woadtide::core
