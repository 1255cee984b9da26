// Stand-ins for the platform, discovery, workers and clients of one small deployment, on loopback addresses.
// They follow the protocol page; each case adds only the disruption that its claim names.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace review {

// Unix time in milliseconds.
inline double now_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// The record of one run, in the order of the events; times are ms since the start of the run.
class Record {
 public:
  void open(const std::string& path) {
    file_ = std::fopen(path.c_str(), "w");
    start_ = now_ms();
  }
  double since_start(double at) const { return at - start_; }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    if (!file_) return;
    std::fprintf(file_, "%9.1f ", now_ms() - start_);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
  double start_ = 0;
};
inline Record record;

// The case could not run: exit code 2.
[[noreturn]] inline void cannot_run(const std::string& why);

// Sockets ------------------------------------------------------------------------------------------------

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline int port_of(int fd) {
  sockaddr_in address{};
  socklen_t length = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}
inline int listen_on(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in address = loopback(port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 1024) != 0)
    cannot_run("no port to listen on");
  return fd;
}
// A port that is free now, below those that the system gives to connections.
inline int free_port() {
  static std::random_device device;
  for (;;) {
    const int port = 10'000 + static_cast<int>(device() % 20'000);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    const bool is_free = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    if (is_free) return port;
  }
}
inline std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }
inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  const sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
  ::close(fd);
  return -1;
}
inline bool send_all(int fd, const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}
// Appends what comes until `timeout_ms` are over: 1 bytes came, 0 the end, -1 nothing in time or an error.
inline int receive_some(int fd, std::string& bytes, double timeout_ms) {
  pollfd watched{fd, POLLIN, 0};
  if (::poll(&watched, 1, static_cast<int>(std::max(timeout_ms, 0.0))) <= 0) return -1;
  char buffer[8192];
  const ssize_t count = ::recv(fd, buffer, sizeof buffer, 0);
  if (count == 0) return 0;
  if (count < 0) return errno == EINTR ? 1 : -1;
  bytes.append(buffer, static_cast<std::size_t>(count));
  return 1;
}
inline std::string field_of(const std::string& head, const std::string& name) {
  for (std::size_t at = head.find("\r\n"); at != std::string::npos; at = head.find("\r\n", at)) {
    at += 2;
    if (::strncasecmp(head.c_str() + at, (name + ":").c_str(), name.size() + 1) != 0) continue;
    std::size_t from = at + name.size() + 1;
    while (from < head.size() && head[from] == ' ') ++from;
    return head.substr(from, head.find("\r\n", from) - from);
  }
  return {};
}

// One HTTP request, as a server reads it.
struct Incoming {
  std::string head, body;
  double first_byte_at = 0, last_byte_at = 0;
};
// Reads one request with a Content-Length body. False at the end of the connection.
inline bool read_request(int fd, std::string& buffer, Incoming& request, const std::atomic<bool>& stopping) {
  request = {};
  request.first_byte_at = buffer.empty() ? 0 : now_ms();
  for (;;) {
    const std::size_t end = buffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      request.head = buffer.substr(0, end + 4);
      const std::string length_text = field_of(request.head, "Content-Length");
      const std::size_t length = length_text.empty() ? 0 : std::strtoul(length_text.c_str(), nullptr, 10);
      if (buffer.size() >= end + 4 + length) {
        request.body = buffer.substr(end + 4, length);
        buffer.erase(0, end + 4 + length);
        request.last_byte_at = now_ms();
        return true;
      }
    }
    const int got = receive_some(fd, buffer, 100);
    if (got == 0 || stopping) return false;
    if (got < 0) {
      int error = 0;
      socklen_t size = sizeof error;
      ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0) return false;
      continue;
    }
    if (request.first_byte_at == 0) request.first_byte_at = now_ms();
  }
}

// Accepts connections and serves each on a thread of its own.
class Server {
 public:
  virtual ~Server() = default;
  int port() const { return port_; }
  void start() {
    listener_ = listen_on(0);
    port_ = port_of(listener_);
    std::thread([this, listener = listener_, port = port_] {
      for (;;) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0 && errno == EINVAL) return;  // shut down
        if (fd < 0) continue;
        const int one = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        std::thread([this, fd, port] { serve(fd, port); }).detach();
      }
    }).detach();
  }

 protected:
  // `port`: the one at which the connection was accepted.
  virtual void serve(int fd, int port) = 0;
  std::atomic<bool> stopping_{false};
  int listener_ = -1, port_ = 0;
};

inline std::string chunk(const std::string& data) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return size + data + "\r\n";
}

// A worker: takes each job at once, tells its start, and is done with it after `work_ms`.
class Worker : public Server {
 public:
  struct Sent {
    std::string id, class_name;
    double first_byte_at, last_byte_at;
  };
  Worker(std::string worker_name, double job_ms) : name(std::move(worker_name)), work_ms(job_ms) {}
  const std::string name;
  const double work_ms;
  std::vector<Sent> sent() {
    const std::lock_guard lock(mutex_);
    return sent_;
  }

 private:
  void serve(int fd, int) override {
    std::string buffer;
    for (Incoming request; read_request(fd, buffer, request, stopping_);)
      if (!answer(fd, request)) break;
    ::close(fd);
  }
  bool answer(int fd, const Incoming& request) {
    if (request.head.starts_with("GET /stats")) {
      const std::string body = "x0=2,rps=4,avg_ms=300,waiting=0\n";
      return send_all(
          fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    const std::string id = field_of(request.head, "X-Call-Id"), kind = field_of(request.head, "X-Call-Class");
    if (!request.head.starts_with("POST ") || id.empty())
      return send_all(fd, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    {
      const std::lock_guard lock(mutex_);
      sent_.push_back({id, kind, request.first_byte_at, request.last_byte_at});
    }
    record.line("worker %s runs %s (%s)", name.c_str(), id.c_str(), kind.c_str());
    const std::string start = "{\"id\":\"" + id + "\",\"from\":\"" + name + "\",\"state\":\"";
    if (!send_all(fd,
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(start + "started\"}\n")))
      return false;
    sleep_ms(work_ms);
    return send_all(fd, chunk(start + "done\",\"result\":\"" + id + " by " + name + "\"}\n") + "0\r\n\r\n");
  }
  std::mutex mutex_;
  std::vector<Sent> sent_;
};

// Discovery that is asked: the whole list, or a watch on its changes. `answers_call` decides, for each call
// in its turn, whether it is answered; false ends it with 503.
class Discovery : public Server {
 public:
  struct Host {
    std::string name, dial, health = "Ready";
  };
  std::function<bool()> answers_call = [] { return true; };

  void add(const Worker& worker) {
    const std::lock_guard lock(mutex_);
    hosts_.push_back({worker.name, address_of(worker.port())});
    changed_at_.push_back(++sequence_);
  }
  void set_health(const std::string& name, const std::string& health) {
    const std::lock_guard lock(mutex_);
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      if (hosts_[i].name == name) {
        hosts_[i].health = health;
        changed_at_[i] = ++sequence_;
      }
    record.line("discovery: %s is %s from now on, seq %d", name.c_str(), health.c_str(), sequence_);
    changed_.notify_all();
  }
  // Moves to another address. The old one takes no new connection from now on; its watches go on until
  // close_old_watches().
  void move() {
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    start();
    record.line("discovery: is at %d from now on", port_);
  }
  void close_old_watches() {
    const std::lock_guard lock(mutex_);
    watched_port_ = port_;
    record.line("discovery: the old address closes its connections");
    changed_.notify_all();
  }
  std::string list() {
    const std::lock_guard lock(mutex_);
    return text(0);
  }

 private:
  // The mutex is held. What changed after `since`; the whole list for 0.
  std::string text(int since) const {
    std::string entries;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (since > 0 && changed_at_[i] <= since) continue;
      if (!entries.empty()) entries += ',';
      entries += "{\"host\":\"" + hosts_[i].name + "\",\"dial\":\"" + hosts_[i].dial +
                 "\",\"site\":\"worcester\",\"class\":\"medium\",\"block\":0,\"health\":\"" +
                 hosts_[i].health + "\",\"share\":1.0,\"born_ms\":0}";
    }
    return "{\"seq\":" + std::to_string(sequence_) + ",\"whole\":" + (since > 0 ? "false" : "true") +
           ",\"hosts\":[" + entries + "]}";
  }
  void serve(int fd, int port) override {
    std::string buffer;
    for (Incoming request; read_request(fd, buffer, request, stopping_);) {
      if (!answers_call()) {
        record.line("discovery: a call is refused with 503");
        if (!send_all(fd, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")) break;
        continue;
      }
      const std::size_t since_at = request.head.find("since=");
      if (request.head.find("follow=1") == std::string::npos) {
        const std::string body = list();
        if (!send_all(
                fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
          break;
        continue;
      }
      return watch(fd, port,
                   since_at == std::string::npos ? 0 : std::atoi(request.head.c_str() + since_at + 6));
    }
    ::close(fd);
  }
  void watch(int fd, int port, int since) {
    std::unique_lock lock(mutex_);
    record.line("discovery: a watch is open from seq %d", since);
    if (since > sequence_) since = 0;
    std::string next = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(text(since) + "\n");
    since = sequence_;
    for (;;) {
      lock.unlock();
      const bool sent = send_all(fd, next);
      lock.lock();
      if (!sent) break;
      changed_.wait_for(lock, std::chrono::milliseconds(2000),
                        [&] { return sequence_ != since || is_closed(port); });
      if (is_closed(port)) break;
      next = chunk(sequence_ != since ? text(since) + "\n" : "\n");
      since = sequence_;
    }
    ::close(fd);
  }
  // The mutex is held.
  bool is_closed(int port) const { return watched_port_ != 0 && port != watched_port_; }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Host> hosts_;
  std::vector<int> changed_at_;
  int sequence_ = 0;
  int watched_port_ = 0;  // once the old address has closed its connections
};

// The platform -------------------------------------------------------------------------------------------

// What a dispatcher is started with.
struct Dispatcher {
  std::string name = "n0", tmpdir, config_path;
  int listen_port = 0, management_port = 0, passed_fd = -1;
  pid_t pid = -1;
};
inline std::vector<pid_t>& children() {
  static std::vector<pid_t> pids;
  return pids;
}
inline std::string& work_folder() {
  static std::string folder;
  return folder;
}
inline void end_processes() {
  for (const pid_t pid : children())
    if (::waitpid(pid, nullptr, WNOHANG) == 0) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
  if (!work_folder().empty()) {
    std::error_code ignored;
    std::filesystem::remove_all(work_folder(), ignored);
  }
}
[[noreturn]] inline void finish(int code) {
  end_processes();
  std::fflush(nullptr);
  ::_exit(code);
}
[[noreturn]] inline void cannot_run(const std::string& why) {
  record.line("the case could not run: %s", why.c_str());
  std::fprintf(stderr, "could not run: %s\n", why.c_str());
  finish(2);
}

struct Deployment {
  int dispatchers = 2, number = 0;
  int memory_mb = 64, sockets = 512;
};
// 16 hexadecimal digits, new with each start of a process.
inline std::string new_seed() {
  static std::random_device device;
  char text[20];
  std::snprintf(text, sizeof text, "%08x%08x", device(), device());
  return text;
}
// The configuration that the platform writes, with those settings that a dispatcher reads.
inline std::string config_text(const Dispatcher& dispatcher, const Deployment& deployment, int discovery_port,
                               const std::string& known) {
  const auto text = [](auto value) { return std::to_string(value); };
  const auto quoted = [](const std::string& value) { return '"' + value + '"'; };
  const auto job_class = [&](const char* name, const char* effect, int points, int deadline_s) {
    return "{\"Name\":" + quoted(name) + ",\"Effect\":" + quoted(effect) + ",\"Points\":" + text(points) +
           ",\"PromiseUs\":400000,\"LateWorth\":0.3,\"DeadlineUs\":" + text(deadline_s) + "000000}";
  };
  const std::string limits =
      "{\"TryLimit\":5,\"Cancel\":true,\"MayProbe\":true,\"SecondCopies\":true,\"RetryAfter\":true,"
      "\"MaxRetryAfterUs\":2000000,\"DialTimeoutUs\":250000,\"ConnIdleUs\":60000000}";
  const std::string rules =
      "{\"MustAskInUs\":10000000,\"DrainGraceUs\":300000,\"GraceToAnswerUs\":8000,\"ColdUs\":23000000,"
      "\"StartCapacity\":0.12,\"FallMultiple\":3,\"TipAfterUs\":1000000}";
  const std::string domain =
      "{\"TellsStart\":true,\"ProgressUs\":2000000,\"ReportX0\":\"free slots\",\"ClassKind\":[-1,-1],"
      "\"ClassStretch\":[2,1.75]}";
  const std::string settings =
      "{\"Balancers\":" + text(deployment.dispatchers) + ",\"MyNumber\":" + text(deployment.number) +
      ",\"MyZone\":\"worcester\",\"StepUs\":2000,\"Discovery\":\"on_request\"" +
      ",\"Kinds\":[\"medium\"],\"Categories\":[" + job_class("receipt-check", "idempotent", 2, 8) + ',' +
      job_class("refund-payout", "at_most_once", 5, 5) + "],\"PolicyLimits\":" + limits +
      ",\"Invariants\":" + rules + ",\"Domain\":" + domain + ",\"Prices\":{\"CrossZone\":0.03}}";
  return "{\"name\":" + quoted(dispatcher.name) +
         ",\"listen\":" + quoted(address_of(dispatcher.listen_port)) +
         ",\"management\":" + quoted(address_of(dispatcher.management_port)) +
         ",\"discovery\":" + quoted(address_of(discovery_port)) + ",\"seed\":" + quoted(new_seed()) +
         ",\"limits\":{\"cores\":1.0,\"memory_mb\":" + text(deployment.memory_mb) +
         ",\"sockets\":" + text(deployment.sockets) + "},\"known\":" + known + ",\"settings\":" + settings +
         "}\n";
}
inline void write_file(const std::string& path, const std::string& text) {
  std::FILE* file = std::fopen(path.c_str(), "w");
  if (!file || std::fwrite(text.data(), 1, text.size(), file) != text.size())
    cannot_run("cannot write " + path);
  std::fclose(file);
}
constexpr double kLongestRunMs = 110'000;
// Makes the run's folder and opens its record. `case_folder` is the folder of claim.txt.
inline void prepare(const char* case_folder) {
  std::signal(SIGPIPE, SIG_IGN);
  record.open(std::string(case_folder) + "/record.txt");
  std::string folder = std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
  if (!::mkdtemp(folder.data())) cannot_run("no temporary folder");
  work_folder() = folder;
  std::thread([] {
    sleep_ms(kLongestRunMs);
    cannot_run("it takes too long");
  }).detach();
}
inline bool trouble_wanted() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}
// Starts `run` of the deploy file in the repository's folder, which is the current one.
inline void start(Dispatcher& dispatcher, const std::string& log_name) {
  const std::string log = work_folder() + "/" + log_name;
  ::fflush(nullptr);
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    if (dispatcher.passed_fd >= 0) {
      ::dup2(dispatcher.passed_fd, 5);  // the copy has no close-on-exec flag
      ::setenv("ROUTER_PASSED_SOCKET", "5", 1);
    }
    ::setenv("TMPDIR", dispatcher.tmpdir.c_str(), 1);
    ::setenv("ROUTER_NAME", dispatcher.name.c_str(), 1);
    ::setenv("ROUTER_CONFIG", dispatcher.config_path.c_str(), 1);
    ::setenv("ROUTER_LISTEN", address_of(dispatcher.listen_port).c_str(), 1);
    ::execl("/bin/sh", "sh", "-c", "exec build/woadtide serve", nullptr);
    ::_exit(127);
  }
  if (pid < 0) cannot_run("cannot fork");
  children().push_back(pid);
  dispatcher.pid = pid;
  record.line("platform: starts %s as process %d, management %d", dispatcher.name.c_str(), pid,
              dispatcher.management_port);
}
inline bool has_ended(pid_t pid) {
  siginfo_t info{};
  return ::waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOHANG | WNOWAIT) != 0 ||
         info.si_pid == pid;
}
// One call at a management address; empty where no answer came.
inline std::string manage(int port, const std::string& call) {
  const int fd = connect_to(port);
  if (fd < 0) return {};
  std::string answer;
  if (send_all(fd, call + "\n"))
    while (answer.find('\n') == std::string::npos && receive_some(fd, answer, 1000) > 0) {
    }
  ::close(fd);
  if (call != "readyz")
    record.line("operator: %s at %d: %s", call.c_str(), port, answer.substr(0, 60).c_str());
  return answer;
}
inline bool wait_until_ready(const Dispatcher& dispatcher, double timeout_ms) {
  for (const double until = now_ms() + timeout_ms; now_ms() < until; sleep_ms(50)) {
    if (has_ended(dispatcher.pid)) return false;
    if (manage(dispatcher.management_port, "readyz").starts_with("done")) {
      record.line("platform: process %d says yes", dispatcher.pid);
      return true;
    }
  }
  return false;
}

// Clients ------------------------------------------------------------------------------------------------

struct Answer {
  int status = 0;  // 0: none; the connection ended or the client gave up
  bool ended = false;
  std::string body;
};
// A client connection, kept for further requests.
class Client {
 public:
  explicit Client(int port) : port_(port) {}
  ~Client() { drop(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sends one request and waits for its answer for `budget_ms`. What crosses the end of a kept connection is
  // sent once more on a new one.
  Answer call(const std::string& id, const std::string& class_name, double budget_ms, double cost_ms) {
    const std::string body = "{\"receipt\":\"" + id + "\"}";
    const std::string request =
        "POST /api?user=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: " + id +
        "\r\nX-Call-Class: " + class_name + "\r\nX-Budget: " + std::to_string(static_cast<long>(budget_ms)) +
        "m\r\nX-Call-Cost: " + std::to_string(static_cast<long>(cost_ms * 1000)) +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (int tries = 0; tries < 2; ++tries) {
      const bool kept = fd_ >= 0;
      if (!kept) fd_ = connect_to(port_);
      if (fd_ < 0) return {};
      Answer answer;
      if (send_all(fd_, request)) answer = read_answer(now_ms() + budget_ms);
      if (answer.status != 0) return answer;
      drop();
      if (!kept || !answer.ended) return answer;
    }
    return {};
  }

 private:
  void drop() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  Answer read_answer(double until) {
    Answer answer;
    std::string bytes;
    for (;;) {
      const std::size_t end = bytes.find("\r\n\r\n");
      if (end != std::string::npos) {
        const std::size_t length = std::strtoul(field_of(bytes, "Content-Length").c_str(), nullptr, 10);
        if (bytes.size() >= end + 4 + length) {
          answer.status = std::atoi(bytes.c_str() + 9);
          answer.body = bytes.substr(end + 4, length);
          if (field_of(bytes.substr(0, end + 2), "Connection") == "close") drop();
          return answer;
        }
      }
      const int got = receive_some(fd_, bytes, until - now_ms());
      if (got <= 0) {
        answer.ended = got == 0 || now_ms() < until;
        return answer;
      }
    }
  }
  const int port_;
  int fd_ = -1;
};

// Ids of requests: 16 hexadecimal digits, new each time.
inline std::string new_id() {
  static std::atomic<std::uint64_t> counter{0};
  static const std::uint64_t base = static_cast<std::uint64_t>(now_ms()) << 20;
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(base + ++counter));
  return text;
}

// Steady clients of one dispatcher: each sends a request, waits for its answer and then for `pause_ms`.
class Load {
 public:
  Load(int port, int clients, double pause_ms, double cost_ms) {
    for (int i = 0; i < clients; ++i)
      threads_.emplace_back([this, port, pause_ms, cost_ms, i, clients] {
        Client client(port);
        sleep_ms(pause_ms * i / clients);
        for (int n = i; !stop_; ++n) {
          const bool payout = n % 3 == 0;
          const std::string id = new_id();
          const char* const kind = payout ? "refund-payout" : "receipt-check";
          const Answer answer = client.call(id, kind, payout ? 5000 : 8000, cost_ms);
          record.line("client %d: %s (%s) answered %d", i, id.c_str(), kind, answer.status);
          counts_[static_cast<std::size_t>(answer.status == 200 ? 0 : answer.status == 503 ? 1 : 2)] += 1;
          sleep_ms(pause_ms);
        }
      });
  }
  ~Load() { end(); }
  void end() {
    stop_ = true;
    for (std::thread& thread : threads_)
      if (thread.joinable()) thread.join();
  }
  void summary() {
    record.line("clients: served %d, refused %d, other %d", counts_[0].load(), counts_[1].load(),
                counts_[2].load());
  }

 private:
  std::atomic<bool> stop_{false};
  std::atomic<int> counts_[3] = {0, 0, 0};
  std::vector<std::thread> threads_;
};

}  // namespace review
