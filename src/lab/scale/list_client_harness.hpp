// The dispatcher's endpoint list client, connected to a scripted service discovery on a loopback socket of
// this process.
#pragma once

#include <string>

#include "core/clock.hpp"
#include "core/host_list.hpp"
#include "core/inbox.hpp"
#include "net/buffer_pool.hpp"
#include "net/host_group.hpp"
#include "net/socket.hpp"
#include "park/park.hpp"

namespace woadtide::lab::scale {

// A complete list of this many workers.
core::EndpointList endpoint_list(int workers);
// A change of one worker, `number`, to this state.
core::EndpointList endpoint_change(int number, std::int64_t sequence, woadtide::WorkerState state);

// Sends lists to the client and waits until the client has reported them.
class ListClientHarness {
 public:
  // Opens the client's watch. Throws std::runtime_error if the client does not connect.
  ListClientHarness();

  // Sends one list as one line. Returns whether the client reported exactly this list; false if the client
  // failed on it.
  bool deliver(const core::EndpointList& list);

 private:
  void accept_watch_connection();
  bool client_reported(woadtide::ListKind kind, std::size_t entries);

  core::Clock clock_;
  core::Inbox inbox_;
  net::BufferPool pool_;
  net::Socket listener_;
  park::EventLoop event_loop_;
  park::ThreadPool thread_pool_;
  net::EndpointListClient client_;
  net::Socket watch_connection_;
};

}  // namespace woadtide::lab::scale
