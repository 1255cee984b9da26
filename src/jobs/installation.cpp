#include "jobs/installation.hpp"

#include <poll.h>

#include <nlohmann/json.hpp>

#include "core/log.hpp"

namespace woadtide::jobs {

namespace {

constexpr double kInquiryTimeoutMs = 250;
constexpr int kStoreCheckIntervalMs = 5;  // between checks whether the listeners can be opened
// Descriptors of the store's files and its folder, of two listeners with their wake-ups, and of operators'
// links.
constexpr std::size_t kStoreDescriptors = 8, kMaxOperatorLinks = 4, kListenerDescriptors = 4;

Settings make_settings(const config::JobsSettings& config,
                       const std::function<void(Settings&)>& adjust_settings) {
  Settings settings;
  settings.store.folder = config.folder;
  settings.store.max_bytes = static_cast<std::uint64_t>(config.most_mb) * 1'000'000;
  settings.lease.lease_ms = static_cast<double>(config.lease_ms);
  settings.lease.inquiry_interval_ms = static_cast<double>(config.ask_every_ms);
  settings.deadline_margin_ms = static_cast<double>(config.early_ms);
  settings.retention_ms = static_cast<double>(config.keep_hours) * 3'600'000;
  settings.max_open_jobs = static_cast<std::size_t>(config.most_open);
  settings.answering_kinds.insert(config.answering_kinds.begin(), config.answering_kinds.end());
  if (adjust_settings) adjust_settings(settings);
  return settings;
}

lease::InquiryAnswer inquiry_answer_of(const std::string& state) {
  if (state == "finished") return lease::InquiryAnswer::finished;
  if (state == "failed") return lease::InquiryAnswer::failed;
  if (state == "begun" || state == "running") return lease::InquiryAnswer::running;
  if (state == "never") return lease::InquiryAnswer::never;
  return lease::InquiryAnswer::unknown;
}

}  // namespace

void validate_addresses(const config::JobsSettings& config) {
  net::Address(config.listen);
  if (!config.operators.empty()) net::Address(config.operators);
}

std::size_t required_descriptors(const config::JobsSettings& config) {
  return static_cast<std::size_t>(config.links) + kStoreDescriptors + kMaxOperatorLinks +
         kListenerDescriptors + net::JobStatusClient::kThreadCount;
}

JobsExtension::JobsExtension(const config::JobsSettings& config, const ExtensionContext& context,
                             const std::function<void(Settings&)>& adjust_settings)
    : config_(config),
      clock_(context.clock),
      endpoint_client_(context.endpoint_client),
      event_loop_(context.event_loop),
      job_service_(make_settings(config, adjust_settings), context.settings, context.class_names,
                   context.clock, context.inbox, context.server_links, *this),
      job_status_client_(
          context.endpoint_client, context.clock, kInquiryTimeoutMs,
          [this](const auto& question, const auto& answer) { handle_answer(question, answer); }),
      thread_pool_({.max_threads = static_cast<std::size_t>(config.links) + kMaxOperatorLinks}) {}

JobsExtension::~JobsExtension() { close(); }

void JobsExtension::open() {
  service_thread_ = park::Thread("jobs", [this] { job_service_.run(); });
  listener_thread_ = park::Thread("jobs-watch", [this] { open_listeners(); });
}

// Opens the listeners once this process holds the store. If the store fails later they stay open and answer
// 503.
void JobsExtension::open_listeners() {
  std::string last_logged;
  for (; !closing_; ::poll(nullptr, 0, kStoreCheckIntervalMs)) {
    if (client_frontend_ || !job_service_.is_serving()) continue;
    try {
      auto listener = net::Socket::listen_at(net::Address(config_.listen));
      if (!config_.operators.empty() && !operator_frontend_)
        operator_frontend_.emplace(net::Socket::listen_at(net::Address(config_.operators)), kMaxOperatorLinks,
                                   true, job_service_, clock_, event_loop_, thread_pool_);
      client_frontend_.emplace(std::move(listener), static_cast<std::size_t>(config_.links), false,
                               job_service_, clock_, event_loop_, thread_pool_);
      if (operator_frontend_) operators_port_ = operator_frontend_->port();
      port_ = client_frontend_->port();
      core::log_line("jobs: clients at " + config_.listen +
                     (config_.operators.empty() ? "" : ", operators at " + config_.operators));
    } catch (const std::exception& error) {
      if (last_logged != error.what()) core::log_line("jobs: " + config_.listen + ": " + error.what());
      last_logged = error.what();
    }
  }
}

void JobsExtension::close() {
  closing_ = true;
  listener_thread_.join();
  job_service_.stop();
  service_thread_.join();
  client_frontend_.reset();
  operator_frontend_.reset();
}

void JobsExtension::inquire(const std::string& worker, const std::string& key, std::uint64_t epoch) {
  job_status_client_.ask({worker, key, epoch});
}

std::string JobsExtension::worker_kind(const std::string& worker) const {
  const auto endpoint = endpoint_client_.find(worker);
  return endpoint ? endpoint->entry.kind : std::string();
}

// An answer that cannot be parsed counts as none: the worker will be asked again.
void JobsExtension::handle_answer(const net::JobStatusClient::Question& question,
                                  const net::JobStatusClient::Answer& answer) {
  InquiryReply reply{question.key, question.epoch, lease::InquiryAnswer::unreachable, {},
                     {},           question.worker};
  const auto object = nlohmann::json::parse(answer.received ? answer.body : "", nullptr, false);
  try {
    if (object.is_object()) {
      reply.ledger = object.value("ledger", "");
      const bool same_job = question.key.empty() || object.value("job", "") == question.key;
      if (same_job && object.contains("state")) reply.answer = inquiry_answer_of(object.at("state"));
      if (reply.answer == lease::InquiryAnswer::finished) reply.result = object.at("result");
    }
  } catch (const nlohmann::json::exception&) {
    reply.answer = lease::InquiryAnswer::unreachable;
  }
  job_service_.handle_inquiry_reply(std::move(reply));
}

}  // namespace woadtide::jobs
