#include "lab/crash.hpp"

#include <poll.h>
#include <sys/wait.h>

#include <atomic>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <list>
#include <mutex>
#include <pcg_random.hpp>
#include <thread>

#include "lab/config_json.hpp"
#include "lab/discovery.hpp"
#include "lab/job_client.hpp"
#include "lab/process.hpp"

namespace woadtide::lab {

namespace {

namespace fs = std::filesystem;

constexpr int kStepMs = 10;
constexpr const char* kHang = ":8";  // ms that the disk hangs before an end, and at each sync

constexpr double kWorkerDownMs = 80;
constexpr int kMostOperation = 80, kMostPoints = 200;

struct Box {
  std::string name;
  int port = 0, life = 0;
  Process process;
  double up_at = 0;  // when it is started again
};

class Arena {
 public:
  Arena(const CrashSettings& settings, std::string self)
      : settings_(settings),
        self_(std::move(self)),
        random_(settings.seed),
        ports_(free_ports(static_cast<std::size_t>(settings.workers) + 3)) {
    fs::create_directories(settings_.folder);
    for (int i = 0; i < settings_.workers; ++i) {
      Box& box = boxes_.emplace_back();
      box.name = "w" + std::to_string(i);
      box.port = ports_[static_cast<std::size_t>(i) + 3];
      discovery_.set(box.name, "127.0.0.1:" + std::to_string(box.port));
      start_box(box);
    }
    write_files();
  }

  CrashReport run() {
    start_dispatcher();
    std::list<std::thread> clients;
    for (int i = 0; i < settings_.clients; ++i) clients.emplace_back([this, i] { bring_jobs(i); });
    for (int done = 0; done < settings_.kills; done = kills()) {
      const double until =
          clock_.now() + boost::random::exponential_distribution<double>(1 / settings_.gap_ms)(random_);
      while (clock_.now() < until) look_after();
      strike();
      if (kills() / 50 != done / 50)
        std::fprintf(stderr, "%d of %d kills, %d jobs\n", kills(), settings_.kills, jobs_.load());
    }
    over_ = true;
    // What is under way comes to its end with everybody alive.
    calm_ = true;
    std::thread caretaker([this] {
      while (!ended_) look_after();
    });
    for (auto& client : clients) client.join();
    ask_again();
    ended_ = true;
    caretaker.join();
    dispatcher_.end();
    for (Box& box : boxes_) box.process.kill();
    judge_all();
    return report_;
  }

  PointsReport run_points(const std::string& kind) {
    PointsReport report;
    start_dispatcher();
    bring("first", false);  // the store's own start is not the matter here
    for (int nth = 1; report.runs < kMostPoints; ++nth) {
      dispatcher_.end();
      start_dispatcher({{"WOADTIDE_FAULT", kind + ':' + std::to_string(nth) + kHang},
                        {"WOADTIDE_FAULT_COUNT", count_path()}});
      bool died = false;
      std::atomic<bool> over = false;
      std::thread caretaker([&] {
        while (!over) {
          ::poll(nullptr, 0, 2);
          if (!dispatcher_.ended()) continue;
          died = true;
          start_dispatcher();
        }
      });
      const std::string name = kind + std::to_string(nth);
      bring(name + "-once", true);
      bring(name + "-safe", false);
      over = true;
      caretaker.join();
      report.runs += 1;
      report.ended += died ? 1 : 0;
      dispatcher_.kill();
      int count = 0;
      std::ifstream(count_path(), std::ios::binary).read(reinterpret_cast<char*>(&count), sizeof count);
      start_dispatcher();
      if (!died && count < nth) break;
    }
    ask_again();
    dispatcher_.kill();
    for (Box& box : boxes_) box.process.kill();
    judge_all();
    report.verdict = report_.verdict;
    if (report.runs == kMostPoints) report.verdict.lines.push_back("no run passed untouched");
    return report;
  }

 private:
  std::string count_path() const { return settings_.folder + "/operations"; }
  void bring(const std::string& key, bool once) {
    JobClient client(ports_[1]);
    note({key, "asked", once, 0, {}, {}});
    note(client.bring(key, once, "body of " + key, settings_.budget_ms));
  }
  int kills() const {
    return report_.dispatcher_kills + report_.store_kills + report_.worker_kills + report_.both_kills;
  }
  int dice(int most) { return boost::random::uniform_int_distribution<int>(0, most - 1)(random_); }

  void write_files() {
    const std::string jobs = std::to_string(ports_[1]);
    // Plain clients' addresses differ, as nobody passes a socket here; that of jobs is the same.
    for (const int which : {0, 1})
      std::ofstream(config_path(which))
          << config_json(discovery_.list(), discovery_.dial(), ports_[which == 0 ? 0 : 2]).dump(2) << '\n';
    std::ofstream(settings_.folder + "/operator.toml")
        << "[jobs]\nenabled = true\nlisten = \"127.0.0.1:" << jobs << "\"\nfolder = \"" << settings_.folder
        << "/store\"\nlease_ms = 600\nask_every_ms = 30\nanswering_kinds = ["
        << (settings_.answers ? "\"lab\"" : "") << "]\n";
  }

  void start_dispatcher(std::map<std::string, std::string> environment = {}) {
    // Some of its lives end within the store.
    if (settings_.faults && !calm_ && dice(2) == 0)
      environment["WOADTIDE_FAULT"] = "kill:" + std::to_string(1 + dice(kMostOperation)) + kHang;
    dispatcher_ = Process({settings_.dispatcher, "serve", "--config", config_path(current_), "--operator",
                           settings_.folder + "/operator.toml"},
                          environment, settings_.folder + "/dispatcher.log");
  }
  std::string config_path(int which) const {
    return settings_.folder + "/config-" + std::to_string(which) + ".json";
  }
  // The next process starts beside the running one, which then ends in order and lets go of the store.
  void upgrade() {
    if (leaving_.alive()) return;
    leaving_ = std::move(dispatcher_);
    current_ = 1 - current_;
    start_dispatcher();
    ::kill(leaving_.pid(), SIGTERM);
    report_.upgrades += 1;
  }
  std::string ledger_of(const Box& box) const {
    return settings_.folder + '/' + box.name + '-' + std::to_string(box.life) + ".ledger";
  }
  void start_box(Box& box) {
    std::vector<std::string> words = {self_,      "worker",      "--port", std::to_string(box.port),
                                      "--ledger", ledger_of(box)};
    if (settings_.answers) words.push_back("--answers");
    box.process = Process(words, {}, settings_.folder + "/workers.log");
  }

  // Starts again what has ended.
  void look_after() {
    ::poll(nullptr, 0, kStepMs);
    if (const auto status = dispatcher_.ended()) {
      if (WIFSIGNALED(*status) && WTERMSIG(*status) == SIGKILL) {
        report_.store_kills += 1;
      } else {
        report_.crashes += 1;
        std::fprintf(stderr, "the dispatcher ended by itself, status %d\n", *status);
      }
    }
    if (const auto status = leaving_.ended(); status && *status != 0 && !WIFSIGNALED(*status))
      report_.crashes += 1;
    if (!dispatcher_.alive()) start_dispatcher();
    for (Box& box : boxes_)
      if (!box.process.alive() && clock_.now() >= box.up_at) start_box(box);
  }
  void strike() {
    const int what = dice(10);
    if (settings_.upgrades && dice(8) == 0) upgrade();
    if (what < 6) {
      dispatcher_.kill();
      report_.dispatcher_kills += 1;
      return;
    }
    Box& box = boxes_[static_cast<std::size_t>(dice(settings_.workers))];
    box.process.kill();
    if (what == 9) dispatcher_.kill();
    (what == 9 ? report_.both_kills : report_.worker_kills) += 1;
    box.up_at = clock_.now() + kWorkerDownMs;
    if (dice(5) == 0) {  // it comes back with nothing
      box.life += 1;
      report_.emptied += 1;
    }
  }

  void bring_jobs(int number) {
    pcg32 random(settings_.seed, static_cast<std::uint64_t>(number) + 1);
    JobClient client(ports_[1]);
    for (int i = 0; !over_; ++i) {
      const std::string key = "c" + std::to_string(number) + '-' + std::to_string(i);
      const bool once = random() % 5 < 3;
      note({key, "asked", once, 0, {}, {}});
      jobs_ += 1;
      note(client.bring(key, once, "body of " + key + std::string(random() % 2'000, 'x'),
                        settings_.budget_ms));
      ::poll(nullptr, 0, static_cast<int>(random() % 20));
    }
  }
  void note(const Seen& seen) {
    const std::lock_guard lock(mutex_);
    seen_.push_back(seen);
  }
  // Each end is told again, the same.
  void ask_again() {
    JobClient client(ports_[1]);
    for (const Seen& one : std::vector<Seen>(seen_)) {
      if (one.what != "told" || one.state == "refused") continue;
      std::optional<Heard> heard;
      for (int i = 0; i < 300 && (!heard || (heard->status == 503 && heard->state.empty())); ++i) {
        if (i > 0) ::poll(nullptr, 0, kStepMs);
        heard = client.get(one.key, 0, client.now() + 1'000);
      }
      if (heard) note({one.key, "told", one.once, heard->status, heard->state, heard->body});
    }
  }
  void judge_all() {
    {
      std::ofstream history(history_of(settings_.folder));
      for (const Seen& one : seen_) history << line_of(one) << '\n';
    }
    report_.verdict = judge_folder(settings_.folder);
  }

  const CrashSettings settings_;
  const std::string self_;
  core::Clock clock_;
  pcg32 random_;
  const std::vector<int> ports_;
  Discovery discovery_;
  std::vector<Box> boxes_;
  Process dispatcher_, leaving_;
  int current_ = 0;  // whose config the running one has
  std::mutex mutex_;
  std::vector<Seen> seen_;
  std::atomic<int> jobs_{0};
  std::atomic<bool> over_{false}, calm_{false}, ended_{false};
  CrashReport report_;
};

}  // namespace

PointsReport run_points(const CrashSettings& settings, const std::string& kind, const std::string& self) {
  CrashSettings calm = settings;
  calm.workers = 1;
  calm.faults = false;
  return Arena(calm, self).run_points(kind);
}

CrashReport run_crash(const CrashSettings& settings, const std::string& self) {
  return Arena(settings, self).run();
}

}  // namespace woadtide::lab
