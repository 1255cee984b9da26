// Configuration that all processes of a run share as one JSON file, and the JSON Lines records that they
// write.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/cluster/schedule.hpp"

namespace woadtide::lab::cluster {

// Scenario, faults and addresses of one run.
struct Plan {
  Scenario scenario;
  std::uint64_t seed = 1;
  double start_ms = 0;  // on the machine's clock, which all processes share; other times are relative to it
  std::vector<Fault> faults;
  int registry_port = 0;
  std::map<std::string, std::string> zones;  // by process name
  // By dispatcher name, all through relays: the address of discovery, the address for its clients, and the
  // address of each worker by name.
  std::map<std::string, std::string> discovery_addresses, client_addresses;
  std::map<std::string, std::map<std::string, std::string>> worker_addresses;
};

// Writes the plan as JSON.
void write_plan(const Plan& plan, const std::string& path);
// Throws std::runtime_error if the file is missing or not a valid plan.
Plan read_plan(const std::string& path);

// Whether the schedule has the worker draining at `at_ms`.
bool is_draining(const Plan& plan, const std::string& worker, double at_ms);

// One query as its client saw it.
struct QueryRecord {
  std::string id, dispatcher;
  bool at_most_once = false;
  double sent_ms = 0, ended_ms = 0;  // sent_ms: when the last byte of the query was sent
  enum class Outcome { answered, link_broken, timed_out, not_sent } outcome = Outcome::timed_out;
  int status = 0;
  std::string body;
};
// One change of a worker state that discovery wrote to a dispatcher.
struct DiscoveryNotice {
  std::string dispatcher, worker;
  double at_ms = 0;
  bool draining = false;
};

// One line of JSON, without the line feed.
std::string to_json_line(const QueryRecord& query);
std::string to_json_line(const DiscoveryNotice& notice);
// Return the complete lines of a file; a torn line is skipped, a missing file has none.
std::vector<QueryRecord> read_query_records(const std::string& path);
std::vector<DiscoveryNotice> read_discovery_notices(const std::string& path);

// Appends lines to a file, each in a single write(). Throws std::runtime_error if that fails.
class JsonLinesFile {
 public:
  explicit JsonLinesFile(const std::string& path);
  ~JsonLinesFile();
  JsonLinesFile(const JsonLinesFile&) = delete;
  JsonLinesFile& operator=(const JsonLinesFile&) = delete;
  void append(const std::string& line);

 private:
  const std::string path_;
  int fd_ = -1;
};

}  // namespace woadtide::lab::cluster
