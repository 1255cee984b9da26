// Messages between sibling processes: two processes of one dispatcher that run at the same time, as in a hot
// restart.
#pragma once

#include <string>

namespace woadtide::core {

// Version of the protocol between sibling processes. Processes whose versions differ by one are compatible: a
// message of an unknown kind is ignored. Version 1 did not send its version.
constexpr int kSiblingProtocolVersion = 2;

// A message between sibling processes.
struct SiblingMessage {
  // The value is the index of the kind's name on the wire.
  enum class Kind {
    exclude,  // an operator excluded this worker
    include,  // an operator included this worker again
    query,    // a query with this id was accepted: it must not run at the other process too
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
