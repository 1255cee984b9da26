// One whole dispatcher: the parts put together, from its config to its end.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "core/config.hpp"
#include "core/decision_loop.hpp"
#include "front/http/front.hpp"
#include "net/client_links.hpp"
#include "net/host_group.hpp"
#include "net/management.hpp"
#include "net/server_links.hpp"
#include "net/succession.hpp"
#include "net/tether.hpp"
#include "park/park.hpp"

namespace woadtide {

// How the descriptors and the memory that the platform allows are shared out.
struct Budget {
  // `processes`: of this dispatcher, which share it.
  Budget(std::size_t descriptors, std::size_t memory_mb, std::size_t processes = 1);
  std::size_t client_links, server_links;
  // Clients' queries hold theirs until they are over, workers' answers only while a part of one has come:
  // apart, so that what clients send cannot keep an answer from being read.
  std::size_t client_buffers, worker_buffers;
  endpoints::EndpointLimits list;
};

// Throws std::invalid_argument where an address in it cannot be one.
void check_addresses(const core::Config& config);

// What an operator's file can add to a node: it stands between the loop and the links to workers. The node
// gives it `Parts`, which outlive it.
struct Parts {
  const woadtide::Settings& settings;           // until the adder returns
  const std::vector<std::string>& class_names;  // the same
  core::Clock& clock;
  core::Inbox& inbox;
  core::Executor& links;
  const net::HostGroup& hosts;
  park::Park& park;
};
class Addition {
 public:
  virtual ~Addition() = default;
  virtual core::Executor& executor() = 0;
  virtual core::Witness* witness() = 0;
  virtual void open() = 0;                   // the loop runs
  virtual void set_taking(bool taking) = 0;  // clients are sent away, or taken again
  virtual std::size_t busy() = 0;            // executions that a planned end should wait for
  virtual void close() = 0;  // takes no more, and lets go of what another process may need. Again: nothing
};
using Adder = std::function<std::unique_ptr<Addition>(const Parts&)>;

class Node {
 public:
  // Listens and serves from here on. Throws std::system_error where it cannot.
  // `start`: how threads of the crew are started, for tests.
  Node(core::Config config, core::Clock& clock, const Adder& adder = {}, park::Crew::Start start = {});
  ~Node();

  int port() const { return port_; }
  int management_port() const { return management_port_; }
  // A new config, on SIGHUP. Only discovery's address is taken over: all else was built upon at the start.
  // Throws std::invalid_argument, with nothing changed, where it cannot be an address.
  void reload(const core::Config& config);
  // Whether another process of this dispatcher takes the clients when this one ends.
  bool hands_over() { return kin_.other_ready(); }
  // The planned end, from SIGTERM on: answers all that was taken, then returns.
  void finish();

 private:
  std::string answer_call(std::string_view call, std::string_view argument);
  std::string ask_loop(core::OperatorCall::Kind kind, std::string_view worker);
  std::string set_evacuated(bool evacuated);
  void admit(const char* why);
  bool takes_clients() const { return admitted_ && !ending_ && !evacuated_; }
  void share_out(std::size_t processes);

  core::Clock& clock_;
  const double longest_ms_;    // longest deadline of a class
  const std::string version_;  // what it says of itself
  const std::size_t sockets_, memory_mb_;
  const Budget budget_;   // of a process that is alone
  net::Socket listener_;  // opened first: what goes wrong there goes wrong before any thread runs
  net::Socket passed_;    // the same once more, for the tether; empty where there is none
  net::Socket management_listener_;
  const int port_, management_port_;
  net::BufferPool client_pool_, worker_pool_;  // before whatever may hold a buffer
  core::Inbox inbox_;
  park::Park park_;
  park::Crew crew_;
  // Says when clients are taken in: once a list has been told, for the remembered one may name workers that
  // drain, or after kMostAdmissionMs without one.
  class Admission : park::Guest {
   public:
    Admission(Node& node, park::Park& park) : node_(node), park_(park) {}
    void start();
    void stop();
    void on_list();  // may come before start()

   private:
    void ready(park::Signs) override { node_.admit("a list was told"); }
    void late() override { node_.admit("no list was told in time"); }
    Node& node_;
    park::Park& park_;
    std::atomic<bool> list_told_{false};
    std::atomic<park::Park::Token> place_{park::Park::kNone};
  } admission_;
  net::HostGroup hosts_;
  net::ServerLinks servers_;
  net::Succession kin_;
  std::unique_ptr<Addition> addition_;  // may be none
  core::DecisionLoop loop_;
  // The one thread that owns the module is the park's: what comes over a link is decided on where it is read.
  struct Decider : park::Guest {
    Decider(core::DecisionLoop& to_run, core::Inbox& from, park::Park& in, const core::Clock& on);
    ~Decider() override;
    void ready(park::Signs) override { late(); }
    void late() override { park.wake_at(place, clock.now() + loop.step()); }
    core::DecisionLoop& loop;
    core::Inbox& inbox;
    park::Park& park;
    const core::Clock& clock;
    park::Park::Token place;
  } decider_;
  front::http::Front front_;
  net::ClientSide side_;
  net::ClientLinks clients_;
  std::mutex state_mutex_;
  bool ending_ = false, evacuated_ = false;
  bool admitted_ = false;  // see Admission
  // Who calls back from threads of its own ends before all that it touches, also where the constructor
  // throws.
  struct Leaving {
    Node& node;
    ~Leaving();
  } leaving_;
  std::optional<net::Tether> tether_;          // may be none
  std::optional<net::Management> management_;  // last: its threads use all the others
};

}  // namespace woadtide
