// The supervisor process around supervise::SupervisorCore: it holds the socket where clients connect, starts
// and stops the children, answers controllers and operators at its control address, and stores its state.
#pragma once

#include <string>
#include <vector>

#include "supervise/supervise.hpp"

namespace woadtide::supervise {

struct SupervisorOptions {
  std::string name;                               // of the dispatcher
  std::string zone;                               // reported to controllers
  std::string config;                             // path of the platform's file for the children
  std::string listen;                             // address where clients connect
  std::string control;                            // address where controllers and operators connect
  std::vector<std::string> management_addresses;  // two, one for each child
  std::string folder;             // for the state, copies of versions, control sockets and logs
  std::string program, settings;  // paths for the first start; settings: empty for none
  Limits limits;
};

// Runs until SIGTERM has arrived and the children have ended; returns the exit code. Signals must be blocked
// by the caller. Throws std::runtime_error or std::system_error if it cannot start.
int run(const SupervisorOptions& options);

}  // namespace woadtide::supervise
