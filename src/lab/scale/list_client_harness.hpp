// The dispatcher's client of the endpoint list, against a scripted source on a loopback socket of this
// process.
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

core::HostList endpoint_list(int workers);
// Worker `number`, draining or ready.
core::HostList endpoint_change(int number, std::int64_t sequence, woadtide::WorkerState state);

class ListClientHarness {
 public:
  ListClientHarness();

  // Sends one list as one line. Whether the client told it on, and did not fail over it.
  bool deliver(const core::HostList& list);

 private:
  void accept_watch();
  bool client_told(woadtide::ListKind kind, std::size_t entries);

  core::Clock clock_;
  core::Inbox inbox_;
  net::BufferPool pool_;
  net::Socket listener_;
  park::Park park_;
  park::Crew crew_;
  net::HostGroup client_;
  net::Socket watch_;
};

}  // namespace woadtide::lab::scale
