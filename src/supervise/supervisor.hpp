// The process around supervise::Core: it holds the socket where clients connect, starts and ends the
// children, answers controllers and operators at its control address, and keeps its state on the disk.
#pragma once

#include <string>
#include <vector>

#include "supervise/supervise.hpp"

namespace woadtide::supervise {

struct Setup {
  std::string name;                     // the dispatcher's
  std::string zone;                     // for controllers
  std::string config;                   // the platform's file for its children
  std::string listen;                   // where clients connect
  std::string control;                  // where controllers and operators call
  std::vector<std::string> management;  // two second addresses, one for each child
  std::string folder;                   // for state, copies of versions, tethers and logs
  std::string program, settings;        // of the first start; settings: empty for none
  Limits limits;
};

// Runs until SIGTERM and the children's end; the exit code. Signals must be blocked. Throws
// std::runtime_error, or std::system_error, where it cannot begin.
int run(const Setup& setup);

}  // namespace woadtide::supervise
