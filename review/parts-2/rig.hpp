// Common parts of the drivers of the cases 6 to 10: a record, child processes, small HTTP stand-ins for
// workers and discovery, and a client. Everything listens on 127.0.0.1 at ports that the kernel gives.
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

#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

constexpr int kHeld = 0, kBroken = 1, kNotRun = 2;

inline double unix_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count();
}
inline double steady_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// The case could not run: exit code 2.
[[noreturn]] void give_up(const std::string& why);

// What was sent, answered and run: one line an event, in milliseconds since the start.
class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void open(const std::string& path) {
    file_ = std::fopen(path.c_str(), "w");
    if (!file_) give_up(path + ": cannot be written");
    std::setvbuf(file_, nullptr, _IOLBF, 0);
    start_ = steady_ms();
  }
  double now() const { return steady_ms() - start_; }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2048];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    if (file_) std::fprintf(file_, "%9.1f  %s\n", now(), text);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
  double start_ = 0;
};
#define NOTE(...) rig::Record::get().line(__VA_ARGS__)

// Processes -----------------------------------------------------------------------------------------------

// All processes that the case started, or that it found to have been started by those.
class Processes {
 public:
  static Processes& get() {
    static Processes processes;
    return processes;
  }
  // Starts `arguments` with its output appended to `log`. `passed` becomes descriptor 5, if it is not -1.
  pid_t start(const std::vector<std::string>& arguments, const std::map<std::string, std::string>& environment,
              const std::string& log, int passed = -1) {
    std::vector<char*> argv;
    for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    const pid_t pid = ::fork();
    if (pid < 0) give_up("fork");
    if (pid == 0) {
      ::signal(SIGPIPE, SIG_DFL);
      const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(output, 1);
      ::dup2(output, 2);
      if (passed >= 0) ::dup2(passed, 5);
      for (int fd = 3; fd < 256; ++fd)
        if (!(passed >= 0 && fd == 5)) ::close(fd);
      for (const char* name : {"ROUTER_CONFIG", "ROUTER_MANAGEMENT", "ROUTER_PASSED_SOCKET", "WOADTIDE_OPERATOR",
                               "WOADTIDE_TETHER"})
        ::unsetenv(name);
      for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
      ::execv(argv[0], argv.data());
      ::_exit(127);
    }
    add(pid);
    return pid;
  }
  void add(pid_t pid) {
    const std::lock_guard lock(mutex_);
    if (pid > 0) pids_.insert(pid);
  }
  // Sends a signal to a process that this case started.
  void send(pid_t pid, int signal, const char* what) {
    NOTE("signal %d to %s (%d)", signal, what, static_cast<int>(pid));
    if (pid > 0) ::kill(pid, signal);
  }
  // Waits until the process has ended; false if it has not within `ms`.
  bool wait(pid_t pid, double ms) {
    const double until = steady_ms() + ms;
    while (steady_ms() < until) {
      int status = 0;
      const pid_t got = ::waitpid(pid, &status, WNOHANG);
      if (got == pid || (got < 0 && ::kill(pid, 0) != 0)) return true;
      sleep_ms(5);
    }
    return false;
  }
  void end_all() {
    std::set<pid_t> pids;
    {
      const std::lock_guard lock(mutex_);
      pids = pids_;
    }
    for (int round = 0; round < 5; ++round) {
      for (const pid_t pid : pids) {
        ::kill(pid, SIGCONT);
        ::kill(pid, SIGKILL);
      }
      while (::waitpid(-1, nullptr, WNOHANG) > 0) sleep_ms(1);
      sleep_ms(50);
    }
  }
  // Grandchildren whose parent has ended become children of this process, so that they can be ended too.
  static void adopt_orphans() { ::prctl(PR_SET_CHILD_SUBREAPER, 1); }
  // Every child of this process, adopted ones too.
  void add_children() {
    const std::string path = "/proc/self/task/" + std::to_string(::getpid()) + "/children";
    std::ifstream file(path);
    for (pid_t pid = 0; file >> pid;) add(pid);
  }

 private:
  std::mutex mutex_;
  std::set<pid_t> pids_;
};

[[noreturn]] inline void finish(int code, const std::string& why) {
  NOTE("%s: %s", code == kHeld ? "HELD" : code == kBroken ? "BROKEN" : "NOT RUN", why.c_str());
  std::printf("%s: %s\n", code == kHeld ? "held" : code == kBroken ? "broken" : "not run", why.c_str());
  std::fflush(stdout);
  Processes::get().add_children();
  Processes::get().end_all();
  Processes::get().add_children();
  Processes::get().end_all();
  ::_exit(code);
}
inline void give_up(const std::string& why) { finish(kNotRun, why); }

// Sockets -------------------------------------------------------------------------------------------------

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline std::string address_text(int port) { return "127.0.0.1:" + std::to_string(port); }

inline int listen_at(int port, int* got_port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in address = loopback(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 1024) != 0)
    give_up("listen on port " + std::to_string(port));
  socklen_t length = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  if (got_port) *got_port = ntohs(address.sin_port);
  return fd;
}
// Ports that were free a moment ago, all different.
inline std::vector<int> free_ports(std::size_t count) {
  std::vector<int> fds, ports;
  for (std::size_t i = 0; i < count; ++i) {
    int port = 0;
    fds.push_back(listen_at(0, &port));
    ports.push_back(port);
  }
  for (const int fd : fds) ::close(fd);
  return ports;
}

// Returns -1 if the connection does not come up.
inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline bool send_all(int fd, const std::string& text) {
  for (std::size_t sent = 0; sent < text.size();) {
    const ssize_t count = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

enum class Got { data, end, reset, late };
// Appends what arrives until `until` (steady_ms).
inline Got receive(int fd, std::string& buffer, double until) {
  for (;;) {
    const double left = until - steady_ms();
    pollfd polled{fd, POLLIN, 0};
    const int ready = ::poll(&polled, 1, left <= 0 ? 0 : static_cast<int>(left) + 1);
    if (ready < 0 && errno == EINTR) continue;
    if (ready == 0) return Got::late;
    char bytes[16384];
    const ssize_t count = ::recv(fd, bytes, sizeof bytes, 0);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return Got::reset;
    if (count == 0) return Got::end;
    buffer.append(bytes, static_cast<std::size_t>(count));
    return Got::data;
  }
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;
  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  std::string method() const { return first_line.substr(0, first_line.find(' ')); }
  std::string target() const {
    const std::size_t from = first_line.find(' ') + 1;
    return first_line.substr(from, first_line.find(' ', from) - from);
  }
  int status() const { return std::atoi(first_line.substr(first_line.find(' ') + 1).c_str()); }
};

// Reads one message with Content-Length (or no body) from `buffer` and the socket.
inline Got read_message(int fd, std::string& buffer, Message& message, double until) {
  std::size_t head_end = 0;
  while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos)
    if (const Got got = receive(fd, buffer, until); got != Got::data) return got;
  message = {};
  std::size_t at = buffer.find("\r\n");
  message.first_line = buffer.substr(0, at);
  while (at < head_end) {
    at += 2;
    const std::size_t end = buffer.find("\r\n", at);
    const std::string line = buffer.substr(at, end - at);
    const std::size_t colon = line.find(':');
    std::string name = line.substr(0, colon);
    for (char& c : name) c = static_cast<char>(std::tolower(c));
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.fields[name] = value == std::string::npos ? "" : line.substr(value);
    at = end;
  }
  const std::size_t length = static_cast<std::size_t>(std::atol(message.field("content-length").c_str()));
  while (buffer.size() < head_end + 4 + length)
    if (const Got got = receive(fd, buffer, until); got != Got::data) return got;
  message.body = buffer.substr(head_end + 4, length);
  buffer.erase(0, head_end + 4 + length);
  return Got::data;
}

// Accepts connections and serves each on a thread of its own.
class Server {
 public:
  using Serve = std::function<void(int fd)>;
  explicit Server(Serve serve, int port = 0) : serve_(std::move(serve)) {
    listener_ = listen_at(port, &port_);
    std::thread([this] {
      for (;;) {
        const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          if (errno == EBADF || errno == EINVAL) return;
          continue;
        }
        const int one = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        std::thread([this, fd] {
          serve_(fd);
          ::close(fd);
        }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }

 private:
  Serve serve_;
  int listener_ = -1, port_ = 0;
};

// Workers and discovery -----------------------------------------------------------------------------------

inline std::string chunk(const std::string& line) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
  return size + line + "\n\r\n";
}
inline std::string answer_with(int status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// A worker as the protocol page describes it: takes one request at a time on each connection, tells of start and
// progress, and answers with the result `ID@WORKER`. `decide` may do the answering itself (true).
class Worker {
 public:
  using Decide = std::function<bool(Worker&, int fd, const Message&)>;
  Worker(std::string name, std::function<double(const Message&)> run_ms, Decide decide = {})
      : name_(std::move(name)),
        run_ms_(std::move(run_ms)),
        decide_(std::move(decide)),
        server_([this](int fd) { serve(fd); }) {}
  const std::string& name() const { return name_; }
  int port() const { return server_.port(); }
  // Runs the request: from its last byte on it has run here.
  void begin(const Message& message) {
    const std::string id = message.field("x-call-id");
    NOTE("worker %s runs %s", name_.c_str(), id.c_str());
    const std::lock_guard lock(mutex_);
    ran_[id] += 1;
  }
  std::map<std::string, int> ran() {
    const std::lock_guard lock(mutex_);
    return ran_;
  }
  std::string event(const std::string& id, const std::string& state, const std::string& more = "") const {
    return chunk("{\"id\":\"" + id + "\",\"from\":\"" + name_ + "\",\"state\":\"" + state + "\"" + more + "}");
  }
  // Runs the request to its end, with the lines that the protocol page names.
  bool run(int fd, const Message& message) {
    const std::string id = message.field("x-call-id");
    begin(message);
    if (!send_all(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + event(id, "started"))) return false;
    double left = run_ms_(message);
    for (; left > 2000; left -= 2000) {
      sleep_ms(2000);
      if (!send_all(fd, event(id, "running", ",\"share\":0.5"))) return false;
    }
    sleep_ms(left);
    NOTE("worker %s has done %s", name_.c_str(), id.c_str());
    return send_all(fd, event(id, "done", ",\"result\":\"" + id + "@" + name_ + "\"") + "0\r\n\r\n");
  }

 private:
  void serve(int fd) {
    std::string buffer;
    Message message;
    while (read_message(fd, buffer, message, steady_ms() + 3'600'000) == Got::data) {
      if (message.method() == "GET") {
        const bool known = message.target() == "/stats" || message.target() == "/health/live";
        if (!send_all(fd, answer_with(known ? 200 : 404, "", known ? "x0=4,rps=1,avg_ms=100,waiting=0\n" : ""))) return;
        continue;
      }
      if (decide_ && decide_(*this, fd, message)) continue;
      if (!run(fd, message)) return;
    }
  }
  const std::string name_;
  const std::function<double(const Message&)> run_ms_;
  const Decide decide_;
  std::mutex mutex_;
  std::map<std::string, int> ran_;  // by id: how often it was begun
  Server server_;
};

// Discovery: the whole list, and a watch with an empty line every 2 s.
class Discovery {
 public:
  Discovery() : server_([this](int fd) { serve(fd); }) {}
  int port() const { return server_.port(); }
  void set(const std::string& hosts) {
    const std::lock_guard lock(mutex_);
    hosts_ = hosts;
    seq_ += 1;
  }
  static std::string host(const std::string& name, int port, const std::string& kind = "medium",
                          const std::string& health = "Ready", const std::string& site = "worcester") {
    return "{\"host\":\"" + name + "\",\"dial\":\"" + address_text(port) + "\",\"site\":\"" + site + "\",\"class\":\"" +
           kind + "\",\"block\":0,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0}";
  }
  std::string list() {
    const std::lock_guard lock(mutex_);
    return "{\"seq\":" + std::to_string(seq_) + ",\"whole\":true,\"hosts\":[" + hosts_ + "]}";
  }

 private:
  void serve(int fd) {
    std::string buffer;
    Message message;
    while (read_message(fd, buffer, message, steady_ms() + 3'600'000) == Got::data) {
      if (message.target().find("follow=1") == std::string::npos) {
        if (!send_all(fd, answer_with(200, "", list() + "\n"))) return;
        continue;
      }
      if (!send_all(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return;
      int told = -1;
      double next_empty = 0;
      for (;;) {
        int seq = 0;
        {
          const std::lock_guard lock(mutex_);
          seq = seq_;
        }
        if (seq != told) {
          if (!send_all(fd, chunk(list()))) return;
          told = seq;
          next_empty = steady_ms() + 2000;
        } else if (steady_ms() >= next_empty) {
          if (!send_all(fd, chunk(""))) return;
          next_empty = steady_ms() + 2000;
        }
        std::string more;
        const Got got = receive(fd, more, steady_ms() + 20);
        if (got == Got::end || got == Got::reset) return;
      }
    }
  }
  std::mutex mutex_;
  std::string hosts_;
  int seq_ = 0;
  Server server_;
};

// Clients ------------------------------------------------------------------------------------------------

struct Answer {
  int status = 0;  // 0: none came
  std::string body, how;
  Message message;
  double after_ms = 0;  // from the last byte of the request to the answer, or to the end of the connection
};

// A connection that is kept; one request at a time.
class Connection {
 public:
  explicit Connection(int port) : port_(port) {}
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
    buffer_.clear();
  }
  // Sends `text`, one whole request, and waits for its answer. A kept connection that was closed between two
  // requests is replaced once, as the protocol page says. `on_sent` is called once the last byte is written.
  Answer ask(const std::string& text, double patience_ms, const std::function<void()>& on_sent = {}) {
    for (int tries = 0;; ++tries) {
      const bool reused = fd_ >= 0;
      if (!reused) fd_ = connect_to(port_);
      Answer answer;
      if (fd_ < 0) return answer.how = "no connection", answer;
      const bool sent = send_all(fd_, text);
      const double sent_at = steady_ms();
      if (sent && on_sent) on_sent();
      const Got got = sent ? read_message(fd_, buffer_, answer.message, sent_at + patience_ms) : Got::reset;
      answer.after_ms = steady_ms() - sent_at;
      if (got == Got::data) {
        answer.status = answer.message.status();
        answer.body = answer.message.body;
        if (answer.message.field("connection") == "close") close();
        return answer;
      }
      const bool nothing_came = buffer_.empty();
      close();
      answer.how = got == Got::late ? "no answer" : got == Got::reset ? "reset" : "closed";
      if (got != Got::late && reused && nothing_came && answer.after_ms < 100 && tries == 0) continue;
      return answer;
    }
  }

 private:
  const int port_;
  int fd_ = -1;
  std::string buffer_;
};

inline std::string post(const std::string& id, const std::string& request_class, double budget_ms, long cost_us,
                        const std::string& body) {
  return "POST /api?user=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: " + id +
         "\r\nX-Call-Class: " + request_class + "\r\nX-Budget: " + std::to_string(static_cast<long>(budget_ms)) +
         "m\r\n" + (cost_us > 0 ? "X-Call-Cost: " + std::to_string(cost_us) + "\r\n" : "") +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string new_id() {
  static std::atomic<unsigned> count{0};
  static const unsigned start = static_cast<unsigned>(unix_ms()) ^ (static_cast<unsigned>(::getpid()) << 16);
  char text[24];
  std::snprintf(text, sizeof text, "%08x%08x", start, ++count);
  return text;
}

// One line to a management or control address, and its answer; empty if none came.
inline std::string call(int port, const std::string& line, double patience_ms = 1000) {
  const int fd = connect_to(port);
  if (fd < 0) return "";
  std::string answer;
  send_all(fd, line + "\n");
  const double until = steady_ms() + patience_ms;
  while (receive(fd, answer, until) == Got::data) {
  }
  ::close(fd);
  while (!answer.empty() && answer.back() == '\n') answer.pop_back();
  return answer;
}
inline int status_of(int port, const std::string& path) {
  Connection connection(port);
  return connection.ask("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1000).status;
}
template <class Condition>
bool wait_until(double ms, const Condition& condition, double step_ms = 20) {
  const double until = steady_ms() + ms;
  while (!condition()) {
    if (steady_ms() >= until) return false;
    sleep_ms(step_ms);
  }
  return true;
}

inline void write_file(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

// Settings as those of the refunds site, two dispatchers, lists asked for.
inline std::string settings(const std::string& more_limits = "") {
  return R"({"Balancers":2,"MyNumber":0,"MyZone":"worcester","Zones":["worcester","nashua"],"StepUs":2000,
 "Discovery":"on_request","Family":"jobs","Kinds":["large","medium","small"],
 "Report":{"Fields":[],"Via":"none"},
 "Invariants":{"GraceToAnswerUs":50000,"MustAskInUs":3000000,"StartCapacity":0.12,"ColdUs":23000000,
   "DrainGraceUs":300000,"FallMultiple":3,"TipAfterUs":1000000},
 "PolicyLimits":{"TryLimit":5,"RetryAfter":true,"MaxRetryAfterUs":2000000,"DialTimeoutUs":250000,"Cancel":true,
   "MayProbe":false,"SecondCopies":true,"ConnIdleUs":60000000)" +
         more_limits + R"(},
 "Domain":{"TellsStart":true,"ProgressUs":2000000,"ClassStretch":[2.0,1.75],"ClassKind":[-1,-1]},
 "Prices":{"CrossZone":0.03},
 "Categories":[
  {"Name":"receipt-check","Effect":"idempotent","Group":"all","PromiseUs":400000,"DeadlineUs":8000000,"Points":2.0,"LateWorth":0.3},
  {"Name":"refund-payout","Effect":"at_most_once","Group":"all","PromiseUs":400000,"DeadlineUs":5000000,"Points":5.0,"LateWorth":0.25}]})";
}
inline std::string config(int listen, int discovery, const std::string& known, const std::string& settings_text) {
  return "{\"name\":\"n0\",\"listen\":\"" + address_text(listen) + "\",\"discovery\":\"" + address_text(discovery) +
         "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n \"known\":" +
         known + ",\n \"settings\":" + settings_text + "}\n";
}

// Whether the disruption is left out (TROUBLE=0).
inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

// Arguments: the folder of the case, a temporary folder, the program.
struct Case {
  std::string folder, temporary, program;
  Case(int argc, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    if (argc != 4) {
      std::fprintf(stderr, "usage: %s CASE-FOLDER TEMPORARY-FOLDER PROGRAM\n", argv[0]);
      std::exit(kNotRun);
    }
    folder = argv[1];
    temporary = argv[2];
    program = argv[3];
    Record::get().open(folder + "/record.txt");
    Processes::adopt_orphans();
    if (::access(program.c_str(), X_OK) != 0) give_up(program + " is not there: run review/build-2.sh");
    std::thread([] {  // 120 s at most, whatever happens
      sleep_ms(110'000);
      give_up("the time of the case is over");
    }).detach();
    NOTE("program %s, trouble %s", program.c_str(), trouble() ? "on" : "off");
  }
};

}  // namespace rig
