#include "lab/hollow/lateness.hpp"

#include <algorithm>
#include <cmath>

namespace woadtide::lab::hollow {

namespace {

// The smallest value that is not under a share `quantile` of all; `sorted` is not empty.
double quantile_of(const std::vector<float>& sorted, double quantile) {
  const auto rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(sorted.size())));
  return static_cast<double>(sorted[std::max<std::size_t>(rank, 1) - 1]);
}

}  // namespace

void LatenessRecorder::begin_client(std::size_t client, std::int64_t known_version, double at) {
  if (clients_.size() <= client) clients_.resize(client + 1);
  clients_[client] = {true, known_version, at};
}

void LatenessRecorder::end_client(std::size_t client) {
  if (client < clients_.size()) clients_[client].runs = false;
}

void LatenessRecorder::add_told(std::size_t client, std::int64_t version, double at) {
  if (client >= clients_.size() || !clients_[client].runs) return;
  Client& told = clients_[client];
  const std::int64_t newest = std::min(version, static_cast<std::int64_t>(due_.size()));
  for (; told.told_version < newest; ++told.told_version) {
    const double due = std::max(due_[static_cast<std::size_t>(told.told_version)], told.began);
    lateness_.push_back(static_cast<float>(std::max(0.0, at - due)));
  }
}

LatenessSummary LatenessRecorder::summary() const {
  LatenessSummary summary;
  summary.told = lateness_.size();
  for (const Client& client : clients_)
    if (client.runs)
      summary.untold += due_.size() - std::min(due_.size(), static_cast<std::size_t>(client.told_version));
  if (lateness_.empty()) return summary;
  std::vector<float> sorted = lateness_;
  std::sort(sorted.begin(), sorted.end());
  summary.p50_ms = quantile_of(sorted, 0.5);
  summary.p99_ms = quantile_of(sorted, 0.99);
  summary.max_ms = static_cast<double>(sorted.back());
  return summary;
}

}  // namespace woadtide::lab::hollow
