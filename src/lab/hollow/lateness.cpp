#include "lab/hollow/lateness.hpp"

#include <algorithm>
#include <cmath>

namespace woadtide::lab::hollow {

namespace {

// Nearest-rank quantile; `sorted` must not be empty.
double quantile_of(const std::vector<float>& sorted, double quantile) {
  const auto rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(sorted.size())));
  return static_cast<double>(sorted[std::max<std::size_t>(rank, 1) - 1]);
}

}  // namespace

void LatenessRecorder::start_client(std::size_t client, std::int64_t known_version, double at_ms) {
  if (clients_.size() <= client) clients_.resize(client + 1);
  clients_[client] = {true, known_version, at_ms};
}

void LatenessRecorder::stop_client(std::size_t client) {
  if (client < clients_.size()) clients_[client].is_running = false;
}

void LatenessRecorder::add_delivery(std::size_t client, std::int64_t version, double at_ms) {
  if (client >= clients_.size() || !clients_[client].is_running) return;
  Client& recipient = clients_[client];
  const std::int64_t newest = std::min(version, static_cast<std::int64_t>(due_ms_.size()));
  for (; recipient.delivered_version < newest; ++recipient.delivered_version) {
    const double due_ms =
        std::max(due_ms_[static_cast<std::size_t>(recipient.delivered_version)], recipient.started_at_ms);
    lateness_ms_.push_back(static_cast<float>(std::max(0.0, at_ms - due_ms)));
  }
}

LatenessSummary LatenessRecorder::summary() const {
  LatenessSummary summary;
  summary.delivered = lateness_ms_.size();
  for (const Client& client : clients_)
    if (client.is_running)
      summary.undelivered +=
          due_ms_.size() - std::min(due_ms_.size(), static_cast<std::size_t>(client.delivered_version));
  if (lateness_ms_.empty()) return summary;
  std::vector<float> sorted = lateness_ms_;
  std::sort(sorted.begin(), sorted.end());
  summary.p50_ms = quantile_of(sorted, 0.5);
  summary.p99_ms = quantile_of(sorted, 0.99);
  summary.max_ms = static_cast<double>(sorted.back());
  return summary;
}

}  // namespace woadtide::lab::hollow
