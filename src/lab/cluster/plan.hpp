// What every process of a run is told, as one JSON file, and the lines that they leave behind.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/cluster/schedule.hpp"

namespace woadtide::lab::cluster {

struct Plan {
  Scenario scenario;
  std::uint64_t seed = 1;
  double start_ms = 0;  // on the machine's clock; all times below count from here
  std::vector<Fault> faults;
  int registry_port = 0;
  std::map<std::string, std::string> zones;  // by process
  // By dispatcher: where it reaches discovery, each worker, and where its clients reach it; all relays.
  std::map<std::string, std::string> discovery, clients;
  std::map<std::string, std::map<std::string, std::string>> workers;
};

void write_plan(const Plan& plan, const std::string& path);
// Throws std::runtime_error.
Plan read_plan(const std::string& path);

// A worker's state by the schedule.
bool drains(const Plan& plan, const std::string& worker, double at_ms);

// One query, as its client saw it.
struct Asked {
  std::string id, to;
  bool once = false;
  double asked_ms = 0, ended_ms = 0;  // asked: its last byte was sent
  enum class End { answer, broken, none, unsent } end = End::none;
  int status = 0;
  std::string body;
};
// What discovery has written to a dispatcher.
struct Told {
  std::string to, worker;
  double at_ms = 0;
  bool drains = false;
};

std::string line_of(const Asked& asked);
std::string line_of(const Told& told);
// Whole lines only; a missing file has none.
std::vector<Asked> read_asked(const std::string& path);
std::vector<Told> read_told(const std::string& path);

// Appends lines to a file, each in one write. Throws std::runtime_error.
class Lines {
 public:
  explicit Lines(const std::string& path);
  ~Lines();
  Lines(const Lines&) = delete;
  Lines& operator=(const Lines&) = delete;
  void add(const std::string& line);

 private:
  const std::string path_;
  int fd_ = -1;
};

}  // namespace woadtide::lab::cluster
