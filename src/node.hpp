// One complete dispatcher process: builds all components from the config and owns them until shutdown.
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

// How the descriptors and the memory that the platform allows are divided among links, buffers and the
// endpoint list of one process.
struct ResourceBudget {
  // `processes`: number of processes of this dispatcher that share the allowance (two during a hot restart).
  ResourceBudget(std::size_t descriptors, std::size_t memory_mb, std::size_t processes = 1);
  // Maximum number of links open at a time.
  std::size_t client_links, server_links;
  // Number of buffers in each pool. A client's query holds its buffers until it is over, a worker's answer
  // only while it is partly received. The pools are separate so that traffic from clients cannot keep an
  // answer from being read.
  std::size_t client_buffers, worker_buffers;
  endpoints::EndpointLimits list_limits;  // bounds of the endpoint list
};

// Throws std::invalid_argument if an address in `config` is not valid.
void validate_addresses(const core::Config& config);

// What a node hands to its extension. The components outlive the extension.
struct ExtensionContext {
  const woadtide::Settings& settings;           // valid only until the factory returns
  const std::vector<std::string>& class_names;  // valid only until the factory returns
  core::Clock& clock;
  core::Inbox& inbox;
  core::Executor& server_links;
  const net::EndpointListClient& endpoint_client;
  park::EventLoop& event_loop;
};
// An optional component, enabled by the operator's file, that sits between the decision loop and the server
// links (durable jobs, for example).
class NodeExtension {
 public:
  virtual ~NodeExtension() = default;
  // Receives the executions that the decision loop starts, instead of the server links.
  virtual core::Executor& executor() = 0;
  // Observer for the decision loop; may be null.
  virtual core::ExecutionObserver* observer() = 0;
  // Called once the decision loop is running.
  virtual void open() = 0;
  // False while clients are sent away (evacuation), true once they are accepted again.
  virtual void set_accepting_clients(bool taking) = 0;
  // Number of executions that a planned shutdown should wait for.
  virtual std::size_t active_executions() = 0;
  // Accepts no more work and releases what another process may need. Further calls have no effect.
  virtual void close() = 0;
};
// Creates the extension of a node.
using ExtensionFactory = std::function<std::unique_ptr<NodeExtension>(const ExtensionContext&)>;

// A running dispatcher.
class Node {
 public:
  // Listens and serves as soon as it is constructed. Throws std::system_error if it cannot.
  // `start`: replaces how the thread pool starts threads, for tests.
  Node(core::Config config, core::Clock& clock, const ExtensionFactory& extension_factory = {},
       park::ThreadPool::ThreadFactory start = {});
  ~Node();

  // Port of the clients' listener.
  int port() const { return port_; }
  // Port of the management listener, 0 if there is none.
  int management_port() const { return management_port_; }
  // Applies a new config, on SIGHUP. Only the address of service discovery is taken over: everything else was
  // fixed at construction. Throws std::invalid_argument, with nothing changed, if the address is not valid.
  void reload(const core::Config& config);
  // Whether another process of this dispatcher will take over the clients when this one ends.
  bool has_successor() { return hot_restart_.sibling_accepts_clients(); }
  // Planned shutdown after SIGTERM: answers every accepted query, then returns.
  void shut_down();

 private:
  std::string handle_management_call(std::string_view call, std::string_view argument);
  std::string request_from_decision_loop(core::OperatorCommand::Kind kind, std::string_view worker);
  std::string set_evacuated(bool evacuated);
  void begin_accepting_clients(const char* reason);
  bool accepts_clients() const { return accepting_ && !ending_ && !evacuated_; }
  void apply_budget(std::size_t processes);

  core::Clock& clock_;
  const double longest_deadline_ms_;  // longest deadline of any class
  const std::string version_line_;
  const std::size_t max_descriptors_, max_memory_mb_;
  const ResourceBudget budget_;     // while this is the only process of the dispatcher
  net::Socket listener_;            // opened first, so that a failure happens before any thread runs
  net::Socket listener_duplicate_;  // duplicate of listener_ for the control socket; empty if there is none
  net::Socket management_listener_;
  const int port_, management_port_;
  net::BufferPool client_pool_, worker_pool_;  // declared before everything that may hold a buffer
  core::Inbox inbox_;
  park::EventLoop event_loop_;
  park::ThreadPool thread_pool_;
  // Decides when the first clients are accepted: once service discovery has sent an endpoint list, because
  // the remembered one may name workers that drain by now, or after kMaxListWaitMs without a list.
  class Admission : park::EventHandler {
   public:
    Admission(Node& node, park::EventLoop& park) : node_(node), event_loop_(park) {}
    void start();
    void stop();
    void on_list();  // may be called before start()

   private:
    void on_ready(park::ReadinessEvents) override { node_.begin_accepting_clients("a list was told"); }
    void on_timeout() override { node_.begin_accepting_clients("no list was told in time"); }
    Node& node_;
    park::EventLoop& event_loop_;
    std::atomic<bool> list_received_{false};
    std::atomic<park::EventLoop::Token> token_{park::EventLoop::kNoToken};
  } admission_;
  net::EndpointListClient endpoint_client_;
  net::ServerLinks server_links_;
  net::HotRestart hot_restart_;
  std::unique_ptr<NodeExtension> extension_;  // may be null
  core::DecisionLoop decision_loop_;
  // Runs the decision loop on the event loop's thread, the only thread that may use the decision module, so
  // that a message is decided on the thread that reads it.
  struct DecisionLoopHandler : park::EventHandler {
    DecisionLoopHandler(core::DecisionLoop& decision_loop, core::Inbox& message_inbox,
                        park::EventLoop& events, const core::Clock& time_source);
    ~DecisionLoopHandler() override;
    void on_ready(park::ReadinessEvents) override { on_timeout(); }
    void on_timeout() override { event_loop.set_timeout(token, clock.now() + loop.step()); }
    core::DecisionLoop& loop;
    core::Inbox& inbox;
    park::EventLoop& event_loop;
    const core::Clock& clock;
    park::EventLoop::Token token;
  } decision_loop_handler_;
  front::http::HttpFrontend http_front_;
  net::ClientLinkContext client_side_;
  net::ClientLinks client_links_;
  std::mutex state_mutex_;
  bool ending_ = false, evacuated_ = false;
  bool accepting_ = false;  // see Admission
  // Stops the components that call back from their own threads before the members they use are destroyed,
  // also when the constructor throws.
  struct Shutdown {
    Node& node;
    ~Shutdown();
  } shutdown_;
  std::optional<net::ControlSocket> control_socket_;  // empty if there is none
  std::optional<net::ManagementServer> management_;   // declared last: its threads use all other members
};

}  // namespace woadtide
