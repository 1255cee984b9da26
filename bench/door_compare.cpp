// Three ways to queue fairly by tenant, on the same arrivals drawn ahead: what docs/design/fair-door.md
// compares. One server takes work at a fixed rate; a query waits kPatience at most, and each way holds kHeld
// queries at most.
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

constexpr double kSeconds = 20, kPatience = 0.5,
                 kRate = 400;  // work a second; a query's work is 1 in the mean
constexpr std::size_t kHeld = 256;

struct Query {
  double at = 0, work = 1;
  int tenant = 0;  // for the judge; the ways see the name only
  std::string name;
};

// A way to queue. `take` holds a query or returns the one that it turns away instead (maybe another one).
class Way {
 public:
  virtual ~Way() = default;
  virtual std::optional<Query> take(Query query) = 0;
  virtual std::optional<Query> next() = 0;
  virtual std::size_t bytes() const = 0;
};

// Deficit round robin over queues that the derived way finds by name. At the bound the longest queue loses
// its last.
class RoundRobin : public Way {
 public:
  std::optional<Query> take(Query query) override {
    std::deque<Query>& queue = queue_of(query.name);
    const std::size_t index = index_of(queue);
    if (queue.empty()) ring_.push_back(index);
    queue.push_back(std::move(query));
    if (++held_ <= kHeld) return std::nullopt;
    std::size_t longest = ring_.front();
    for (const std::size_t one : ring_)
      if (work_of(one) > work_of(longest)) longest = one;
    Query out = std::move(queues_[longest].front());
    queues_[longest].pop_front();
    held_ -= 1;
    if (queues_[longest].empty()) {
      ring_.erase(std::find(ring_.begin(), ring_.end(), longest));
      gone(longest);
    }
    return out;
  }
  std::optional<Query> next() override {
    while (!ring_.empty()) {
      const std::size_t index = ring_.front();
      std::deque<Query>& queue = queues_[index];
      if (credit_[index] < queue.front().work) {
        credit_[index] += kQuantum;
        ring_.pop_front();
        ring_.push_back(index);
        continue;
      }
      credit_[index] -= queue.front().work;
      Query out = std::move(queue.front());
      queue.pop_front();
      held_ -= 1;
      if (queue.empty()) {
        credit_[index] = 0;  // nobody saves up while idle
        ring_.pop_front();
        gone(index);
      }
      return out;
    }
    return std::nullopt;
  }

 protected:
  virtual std::size_t place_of(const std::string& name) = 0;
  virtual void gone(std::size_t) {}
  std::size_t queues() const { return queues_.size(); }
  std::size_t add() {
    queues_.emplace_back();
    credit_.push_back(0);
    return queues_.size() - 1;
  }

 private:
  static constexpr double kQuantum = 1;
  std::deque<Query>& queue_of(const std::string& name) { return queues_[last_ = place_of(name)]; }
  std::size_t index_of(const std::deque<Query>&) const { return last_; }
  double work_of(std::size_t index) const {
    return std::accumulate(queues_[index].begin(), queues_[index].end(), 0.0,
                           [](double sum, const Query& query) { return sum + query.work; });
  }
  std::deque<std::deque<Query>> queues_;
  std::vector<double> credit_;
  std::deque<std::size_t> ring_;
  std::size_t held_ = 0, last_ = 0;
};

class Fifo : public Way {
 public:
  std::optional<Query> take(Query query) override {
    if (queue_.size() >= kHeld) return query;
    queue_.push_back(std::move(query));
    return std::nullopt;
  }
  std::optional<Query> next() override {
    if (queue_.empty()) return std::nullopt;
    Query out = std::move(queue_.front());
    queue_.pop_front();
    return out;
  }
  std::size_t bytes() const override { return kHeld * sizeof(Query); }

 private:
  std::deque<Query> queue_;
};

// A queue for every name while it holds anything: exact, and no more queues than queries are held.
class Exact : public RoundRobin {
 public:
  std::size_t bytes() const override { return most_ * (sizeof(std::deque<Query>) + 600 + 64 + 32); }

 private:
  std::size_t place_of(const std::string& name) override {
    const auto [found, fresh] = places_.try_emplace(name, 0);
    if (fresh) {
      found->second = free_.empty() ? add() : free_.back();
      if (!free_.empty()) free_.pop_back();
      names_.resize(std::max(names_.size(), found->second + 1));
      names_[found->second] = name;
      most_ = std::max(most_, queues());
    }
    return found->second;
  }
  void gone(std::size_t index) override {
    places_.erase(names_[index]);
    free_.push_back(index);
  }
  std::unordered_map<std::string, std::size_t> places_;
  std::vector<std::string> names_;
  std::vector<std::size_t> free_;
  std::size_t most_ = 0;
};

// Stochastic: a fixed number of queues, a name's by a salted hash.
class Buckets : public RoundRobin {
 public:
  explicit Buckets(std::size_t count) : count_(count) {
    for (std::size_t i = 0; i < count; ++i) add();
  }
  std::size_t bytes() const override { return count_ * (sizeof(std::deque<Query>) + 600); }

 private:
  std::size_t place_of(const std::string& name) override {
    return XXH3_64bits_withSeed(name.data(), name.size(), 0x5eed) % count_;
  }
  const std::size_t count_;
};

// Space-saving sketch: the few heaviest names by recent work have a queue each, all others share buckets.
class Sketch : public RoundRobin {
 public:
  Sketch(std::size_t heavy, std::size_t light) : heavy_(heavy), light_(light) {
    for (std::size_t i = 0; i < heavy + light; ++i) add();
  }
  std::size_t bytes() const override {
    return (heavy_ + light_) * (sizeof(std::deque<Query>) + 600) + heavy_ * 120;
  }

 private:
  std::size_t place_of(const std::string& name) override {
    const auto found = counts_.find(name);
    if (found != counts_.end()) {
      found->second.first += 1;
      return found->second.second;
    }
    if (counts_.size() < heavy_)
      return counts_.emplace(name, std::pair{1.0, counts_.size()}).first->second.second;
    if (++misses_ % heavy_ == 0)
      for (auto& [_, count] : counts_) count.first *= 0.9;  // what was heavy long ago is not
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

struct Case {
  const char* what;
  int tenants;
  double flood;  // how many times another's rate tenant 0 sends
  int names;     // that tenant 0 spreads over
  double load;   // of what the server takes
};

std::vector<Query> arrivals(const Case& one) {
  pcg32 random(7);
  std::vector<Query> all;
  const double unit = kRate * one.load / (one.tenants - 1 + one.flood);
  for (int tenant = 0; tenant < one.tenants; ++tenant) {
    boost::random::exponential_distribution<double> gap(unit * (tenant == 0 ? one.flood : 1));
    boost::random::uniform_real_distribution<double> work(0.5, 1.5);
    for (double at = gap(random); at < kSeconds; at += gap(random)) {
      const int name = tenant == 0 ? static_cast<int>(random() % static_cast<unsigned>(one.names)) : 0;
      all.push_back({at, work(random), tenant, "t" + std::to_string(tenant) + '-' + std::to_string(name)});
    }
  }
  std::sort(all.begin(), all.end(), [](const Query& a, const Query& b) { return a.at < b.at; });
  return all;
}

void play(const Case& one, const char* name, Way& way) {
  const std::vector<Query> all = arrivals(one);
  std::vector<double> asked(static_cast<std::size_t>(one.tenants)), served(asked);
  double free_at = 0, spent_ns = 0;
  const auto timed = [&](auto work) {
    const auto from = std::chrono::steady_clock::now();
    auto result = work();
    spent_ns += std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - from).count();
    return result;
  };
  const auto serve_until = [&](double now) {
    while (free_at < now) {
      const auto query = timed([&] { return way.next(); });
      if (!query) {
        free_at = now;
        return;
      }
      if (free_at - query->at > kPatience) continue;  // it was refused when its time ran out
      free_at = std::max(free_at, query->at) + query->work / kRate;
      served[static_cast<std::size_t>(query->tenant)] += query->work;
    }
  };
  for (const Query& query : all) {
    serve_until(query.at);
    asked[static_cast<std::size_t>(query.tenant)] += query.work;
    timed([&] { return way.take(query); });
  }
  serve_until(kSeconds);
  // Max-min fair shares of what was asked, and Jain's index of service over them.
  double left = kRate * kSeconds;
  std::vector<double> fair(asked.size()), order(asked);
  std::sort(order.begin(), order.end());
  double level = 0;
  for (std::size_t i = 0; i < order.size(); ++i) {
    level = left / static_cast<double>(order.size() - i);
    if (order[i] > level) break;
    left -= order[i];
    level = order[i];
  }
  double sum = 0, squares = 0, small_asked = 0, small_served = 0;
  for (std::size_t i = 0; i < asked.size(); ++i) {
    const double share = served[i] / std::max(1e-9, std::min(asked[i], level));
    sum += share;
    squares += share * share;
    if (i > 0) small_asked += asked[i], small_served += served[i];
  }
  const double total = std::accumulate(served.begin(), served.end(), 0.0);
  std::printf(
      "%-34s %-8s Jain %.3f  small tenants served %.3f  flood served %.2f of its fair share  work %.3f  "
      "%5.0f ns a query  %4zu KB\n",
      one.what, name, sum * sum / (static_cast<double>(asked.size()) * squares), small_served / small_asked,
      served[0] / std::min(asked[0], level), total / (kRate * kSeconds),
      spent_ns / static_cast<double>(all.size()), way.bytes() / 1'000);
}

}  // namespace

int main() {
  for (const Case& one : {Case{"50 tenants, one x20, 1.5 x load", 50, 20, 1, 1.5},
                          Case{"50 tenants, one x20, 3 x load", 50, 20, 1, 3},
                          Case{"the same over 1,000 names", 50, 20, 1'000, 3},
                          Case{"10,000 tenants, one x200", 10'000, 200, 1, 2}}) {
    Fifo fifo;
    Exact exact;
    Buckets buckets(128);
    Sketch sketch(32, 96);
    play(one, "fifo", fifo);
    play(one, "exact", exact);
    play(one, "buckets", buckets);
    play(one, "sketch", sketch);
  }
}
