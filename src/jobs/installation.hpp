// Durable jobs as an extension of a node: connects the job service, its frontends and the client for
// inquiries to workers, as configured in the operator's file.
#pragma once

#include <memory>
#include <optional>

#include "config/operator_file.hpp"
#include "front/jobs/front.hpp"
#include "jobs/keeper.hpp"
#include "net/worker_asks.hpp"
#include "node.hpp"

namespace woadtide::jobs {

// Throws std::invalid_argument if one of the configured addresses is invalid.
void validate_addresses(const config::JobsSettings& config);

// The number of file descriptors that the extension needs, to be deducted from the budget of the node.
std::size_t required_descriptors(const config::JobsSettings& config);

// Runs the job service and opens its listeners while this process holds the store.
class JobsExtension : public NodeExtension, private WorkerInquirer {
 public:
  // `adjust_settings`: for measurements, changes settings that the operator's file does not offer.
  JobsExtension(const config::JobsSettings& config, const ExtensionContext& context,
                const std::function<void(Settings&)>& adjust_settings = {});
  ~JobsExtension() override;

  core::Executor& executor() override { return job_service_; }
  core::ExecutionObserver* observer() override { return &job_service_; }
  void open() override;
  void set_accepting_clients(bool accepting) override { job_service_.set_accepting_jobs(accepting); }
  std::size_t active_executions() override { return job_service_.active_executions(); }
  void close() override;

  // The ports for clients and for operators, 0 while the listeners are not open.
  int port() const { return port_; }
  int operator_port() const { return operators_port_; }

 private:
  void inquire(const std::string& worker, const std::string& key, std::uint64_t epoch) override;
  std::string worker_kind(const std::string& worker) const override;
  void handle_answer(const net::JobStatusClient::Question& question,
                     const net::JobStatusClient::Answer& answer);
  void open_listeners();

  const config::JobsSettings config_;
  core::Clock& clock_;
  const net::EndpointListClient& endpoint_client_;
  park::EventLoop& event_loop_;
  DurableJobService job_service_;
  net::JobStatusClient job_status_client_;
  park::ThreadPool thread_pool_;  // for calls that block until the job service answers
  std::atomic<bool> closing_{false};
  std::atomic<int> port_{0}, operators_port_{0};
  // Opened by the listener thread once the job service holds the store: the process that holds it has the
  // listeners too.
  std::optional<front::jobs::JobsFrontend> client_frontend_, operator_frontend_;
  park::Thread service_thread_, listener_thread_;
};

}  // namespace woadtide::jobs
