// Compares three ways of fair queueing by tenant, and FIFO, on the same pre-generated arrivals; see
// docs/design/fair-door.md. One server works at a fixed rate; a query waits at most kMaxWaitSeconds, and each
// queueing discipline holds at most kMaxQueued queries.
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <chrono>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace {

constexpr double kSimulatedSeconds = 20, kMaxWaitSeconds = 0.5,
                 kWorkPerSecond = 400;  // work units per second; the mean work of a query is 1
constexpr std::size_t kMaxQueued = 256;

struct Query {
  double arrival_s = 0, work = 1;
  int tenant = 0;  // for the evaluation only; the disciplines see only the name
  std::string name;
};

// A queueing discipline. `enqueue` adds a query and returns the query that it refuses instead, if any;
// that may be another query.
class QueueDiscipline {
 public:
  virtual ~QueueDiscipline() = default;
  virtual std::optional<Query> enqueue(Query query) = 0;
  virtual std::optional<Query> dequeue() = 0;
  virtual std::size_t bytes() const = 0;
};

// Deficit round robin over queues that the derived class finds by name. When too many queries are queued, the
// queue with the most work loses its oldest query.
class RoundRobin : public QueueDiscipline {
 public:
  std::optional<Query> enqueue(Query query) override {
    std::deque<Query>& queue = queue_of(query.name);
    const std::size_t index = index_of(queue);
    if (queue.empty()) active_queues_.push_back(index);
    queue.push_back(std::move(query));
    if (++queued_count_ <= kMaxQueued) return std::nullopt;
    std::size_t longest = active_queues_.front();
    for (const std::size_t one : active_queues_)
      if (work_of(one) > work_of(longest)) longest = one;
    Query out = std::move(queues_[longest].front());
    queues_[longest].pop_front();
    queued_count_ -= 1;
    if (queues_[longest].empty()) {
      active_queues_.erase(std::find(active_queues_.begin(), active_queues_.end(), longest));
      on_queue_empty(longest);
    }
    return out;
  }
  std::optional<Query> dequeue() override {
    while (!active_queues_.empty()) {
      const std::size_t index = active_queues_.front();
      std::deque<Query>& queue = queues_[index];
      if (deficits_[index] < queue.front().work) {
        deficits_[index] += kQuantum;
        active_queues_.pop_front();
        active_queues_.push_back(index);
        continue;
      }
      deficits_[index] -= queue.front().work;
      Query out = std::move(queue.front());
      queue.pop_front();
      queued_count_ -= 1;
      if (queue.empty()) {
        deficits_[index] = 0;  // an idle queue accumulates no credit
        active_queues_.pop_front();
        on_queue_empty(index);
      }
      return out;
    }
    return std::nullopt;
  }

 protected:
  virtual std::size_t queue_for(const std::string& name) = 0;
  virtual void on_queue_empty(std::size_t) {}
  std::size_t queues() const { return queues_.size(); }
  std::size_t add() {
    queues_.emplace_back();
    deficits_.push_back(0);
    return queues_.size() - 1;
  }

 private:
  static constexpr double kQuantum = 1;
  std::deque<Query>& queue_of(const std::string& name) { return queues_[last_ = queue_for(name)]; }
  std::size_t index_of(const std::deque<Query>&) const { return last_; }
  double work_of(std::size_t index) const {
    return std::accumulate(queues_[index].begin(), queues_[index].end(), 0.0,
                           [](double sum, const Query& query) { return sum + query.work; });
  }
  std::deque<std::deque<Query>> queues_;
  std::vector<double> deficits_;
  std::deque<std::size_t> active_queues_;
  std::size_t queued_count_ = 0, last_ = 0;
};

class Fifo : public QueueDiscipline {
 public:
  std::optional<Query> enqueue(Query query) override {
    if (queue_.size() >= kMaxQueued) return query;
    queue_.push_back(std::move(query));
    return std::nullopt;
  }
  std::optional<Query> dequeue() override {
    if (queue_.empty()) return std::nullopt;
    Query out = std::move(queue_.front());
    queue_.pop_front();
    return out;
  }
  std::size_t bytes() const override { return kMaxQueued * sizeof(Query); }

 private:
  std::deque<Query> queue_;
};

// One queue per name while it is not empty: exact, with never more queues than queued queries.
class PerTenantQueues : public RoundRobin {
 public:
  std::size_t bytes() const override { return max_queues_ * (sizeof(std::deque<Query>) + 600 + 64 + 32); }

 private:
  std::size_t queue_for(const std::string& name) override {
    const auto [found, fresh] = queue_indexes_.try_emplace(name, 0);
    if (fresh) {
      found->second = free_.empty() ? add() : free_.back();
      if (!free_.empty()) free_.pop_back();
      names_.resize(std::max(names_.size(), found->second + 1));
      names_[found->second] = name;
      max_queues_ = std::max(max_queues_, queues());
    }
    return found->second;
  }
  void on_queue_empty(std::size_t index) override {
    queue_indexes_.erase(names_[index]);
    free_.push_back(index);
  }
  std::unordered_map<std::string, std::size_t> queue_indexes_;
  std::vector<std::string> names_;
  std::vector<std::size_t> free_;
  std::size_t max_queues_ = 0;
};

// Stochastic fair queueing: a fixed number of queues, selected by a salted hash of the name.
class HashedQueues : public RoundRobin {
 public:
  explicit HashedQueues(std::size_t count) : count_(count) {
    for (std::size_t i = 0; i < count; ++i) add();
  }
  std::size_t bytes() const override { return count_ * (sizeof(std::deque<Query>) + 600); }

 private:
  std::size_t queue_for(const std::string& name) override {
    return XXH3_64bits_withSeed(name.data(), name.size(), 0x5eed) % count_;
  }
  const std::size_t count_;
};

// Space-saving sketch: the few names with the highest recent query counts have a queue each, all others
// share hashed queues.
class HeavyHitterQueues : public RoundRobin {
 public:
  HeavyHitterQueues(std::size_t heavy, std::size_t light) : heavy_(heavy), light_(light) {
    for (std::size_t i = 0; i < heavy + light; ++i) add();
  }
  std::size_t bytes() const override {
    return (heavy_ + light_) * (sizeof(std::deque<Query>) + 600) + heavy_ * 120;
  }

 private:
  std::size_t queue_for(const std::string& name) override {
    const auto found = counts_.find(name);
    if (found != counts_.end()) {
      found->second.first += 1;
      return found->second.second;
    }
    if (counts_.size() < heavy_)
      return counts_.emplace(name, std::pair{1.0, counts_.size()}).first->second.second;
    if (++misses_ % heavy_ == 0)
      for (auto& [_, count] : counts_)
        count.first *= 0.9;  // decay, so that formerly heavy names are replaced
    const auto least = std::min_element(counts_.begin(), counts_.end(), [](const auto& a, const auto& b) {
      return a.second.first < b.second.first;
    });
    if (least->second.first < 2) {
      const std::pair<double, std::size_t> place{least->second.first + 1, least->second.second};
      counts_.erase(least);
      return counts_.emplace(name, place).first->second.second;
    }
    return heavy_ + XXH3_64bits_withSeed(name.data(), name.size(), 0x5eed) % light_;
  }
  const std::size_t heavy_, light_;
  std::unordered_map<std::string, std::pair<double, std::size_t>> counts_;
  std::size_t misses_ = 0;
};

// One offered load.
struct Scenario {
  const char* title;
  int tenants;
  double flood_factor;  // rate of tenant 0 as a multiple of the rate of each other tenant
  int names;            // number of names that tenant 0 uses
  double load_factor;   // offered work as a multiple of the server's capacity
};

std::vector<Query> arrivals(const Scenario& scenario) {
  pcg32 random(7);
  std::vector<Query> all;
  const double unit = kWorkPerSecond * scenario.load_factor / (scenario.tenants - 1 + scenario.flood_factor);
  for (int tenant = 0; tenant < scenario.tenants; ++tenant) {
    boost::random::exponential_distribution<double> gap(unit * (tenant == 0 ? scenario.flood_factor : 1));
    boost::random::uniform_real_distribution<double> work(0.5, 1.5);
    for (double at = gap(random); at < kSimulatedSeconds; at += gap(random)) {
      const int name = tenant == 0 ? static_cast<int>(random() % static_cast<unsigned>(scenario.names)) : 0;
      all.push_back({at, work(random), tenant, "t" + std::to_string(tenant) + '-' + std::to_string(name)});
    }
  }
  std::sort(all.begin(), all.end(), [](const Query& a, const Query& b) { return a.arrival_s < b.arrival_s; });
  return all;
}

void simulate(const Scenario& scenario, const char* name, QueueDiscipline& discipline) {
  const std::vector<Query> all = arrivals(scenario);
  std::vector<double> offered_work(static_cast<std::size_t>(scenario.tenants)), served_work(offered_work);
  double server_free_s = 0, discipline_ns = 0;
  const auto timed = [&](auto work) {
    const auto from = std::chrono::steady_clock::now();
    auto result = work();
    discipline_ns +=
        std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - from).count();
    return result;
  };
  const auto serve_until = [&](double now) {
    while (server_free_s < now) {
      const auto query = timed([&] { return discipline.dequeue(); });
      if (!query) {
        server_free_s = now;
        return;
      }
      if (server_free_s - query->arrival_s > kMaxWaitSeconds)
        continue;  // refused when its waiting time ran out
      server_free_s = std::max(server_free_s, query->arrival_s) + query->work / kWorkPerSecond;
      served_work[static_cast<std::size_t>(query->tenant)] += query->work;
    }
  };
  for (const Query& query : all) {
    serve_until(query.arrival_s);
    offered_work[static_cast<std::size_t>(query.tenant)] += query.work;
    timed([&] { return discipline.enqueue(query); });
  }
  serve_until(kSimulatedSeconds);
  // Max-min fair shares of the offered work, and Jain's fairness index of the service relative to them.
  double remaining_work = kWorkPerSecond * kSimulatedSeconds;
  std::vector<double> fair(offered_work.size()), order(offered_work);
  std::sort(order.begin(), order.end());
  double fair_share = 0;
  for (std::size_t i = 0; i < order.size(); ++i) {
    fair_share = remaining_work / static_cast<double>(order.size() - i);
    if (order[i] > fair_share) break;
    remaining_work -= order[i];
    fair_share = order[i];
  }
  double sum = 0, squares = 0, small_offered = 0, small_served = 0;
  for (std::size_t i = 0; i < offered_work.size(); ++i) {
    const double share = served_work[i] / std::max(1e-9, std::min(offered_work[i], fair_share));
    sum += share;
    squares += share * share;
    if (i > 0) small_offered += offered_work[i], small_served += served_work[i];
  }
  const double total = std::accumulate(served_work.begin(), served_work.end(), 0.0);
  std::printf(
      "%-34s %-8s Jain %.3f  small tenants served %.3f  flood served %.2f of its fair share  work %.3f  "
      "%5.0f ns a query  %4zu KB\n",
      scenario.title, name, sum * sum / (static_cast<double>(offered_work.size()) * squares),
      small_served / small_offered, served_work[0] / std::min(offered_work[0], fair_share),
      total / (kWorkPerSecond * kSimulatedSeconds), discipline_ns / static_cast<double>(all.size()),
      discipline.bytes() / 1'000);
}

}  // namespace

int main() {
  for (const Scenario& scenario : {Scenario{"50 tenants, one x20, 1.5 x load", 50, 20, 1, 1.5},
                                   Scenario{"50 tenants, one x20, 3 x load", 50, 20, 1, 3},
                                   Scenario{"the same over 1,000 names", 50, 20, 1'000, 3},
                                   Scenario{"10,000 tenants, one x200", 10'000, 200, 1, 2}}) {
    Fifo fifo;
    PerTenantQueues exact;
    HashedQueues buckets(128);
    HeavyHitterQueues sketch(32, 96);
    simulate(scenario, "fifo", fifo);
    simulate(scenario, "exact", exact);
    simulate(scenario, "buckets", buckets);
    simulate(scenario, "sketch", sketch);
  }
}
