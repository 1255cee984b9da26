// The other process of this dispatcher, where there is one: in an upgrade the next one starts beside the one
// that runs. They meet at a Unix socket in a folder that both have, and live together as long as the link
// between them stands. The kernel ends it for a process that was killed too, and refuses a connect to what it
// left behind.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <mutex>
#include <string>

#include "core/inbox.hpp"
#include "core/kin.hpp"
#include "net/socket.hpp"
#include "park/park.hpp"

namespace woadtide::net {

class Succession : public core::Kin, private park::Guest {
 public:
  // `shared` is called with the number of processes, this one counted, when that has changed.
  Succession(const core::Clock& clock, core::Inbox& inbox, park::Park& park,
             std::function<void(std::size_t processes)> shared);
  ~Succession() override;
  Succession(const Succession&) = delete;
  Succession& operator=(const Succession&) = delete;

  // Meets whoever runs already, and can be found from here on, in `folder`. Waits, `wait_ms` at the longest,
  // until the other one has told what this one must know. Throws std::runtime_error where that one speaks a
  // version that is more than a step away.
  void meet(const std::string& folder, const std::string& name, double wait_ms);
  // Leaves the others, and calls `shared` no more.
  void end();
  void tell(const core::Word& word) override;
  bool alone() const override { return alone_; }
  // Whether this process takes clients; also told to processes that come later.
  void set_ready(bool ready);
  // Another one does.
  bool other_ready();

 private:
  struct Peer {
    Socket socket;
    bool ready = false, told = false, over = false;
    bool unlike = false;  // more than one version apart
    int version = 1;
    std::string outbox;  // what is to be written next
    std::condition_variable wake;
    park::Thread reader, writer;  // last: they use all the others
  };

  void ready(park::Signs signs) override;
  void late() override { ready({}); }
  void join(Socket socket);
  void read(Peer& peer);
  void write(Peer& peer);
  void take(Peer& peer, const std::string& line);
  void meet_version(Peer& peer, const std::string& text);
  void put(Peer& peer, const core::Word& word);
  void reap();
  std::size_t processes();
  void tell_sharers();

  const core::Clock& clock_;
  core::Inbox& inbox_;
  park::Park& park_;
  const std::function<void(std::size_t)> shared_;
  std::mutex mutex_;
  std::condition_variable news_;
  std::list<Peer> peers_;
  std::atomic<bool> alone_{true}, stopping_{false};
  bool ready_ = false;
  core::Seldom no_accept_;
  Socket listener_;
  park::Park::Token token_ = park::Park::kNone;
};

}  // namespace woadtide::net
