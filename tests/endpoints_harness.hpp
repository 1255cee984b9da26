// Helpers for tests of endpoint lists: generated lists, their text as service discovery may send it, and a
// listener that records the events of a reader.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "endpoints/endpoints.hpp"

namespace woadtide::endpoints {

constexpr EndpointLimits kLargeLimits{20'000, 20'000'000, kMaxEntryBytes};
constexpr int kCompact = -1;
constexpr std::int64_t kStartedAtMs = 1'764'000'000'000;

// Endpoint with a name that is unique for each number, and of typical length.
inline Endpoint endpoint_numbered(int number) {
  char name[16];
  std::snprintf(name, sizeof name, "s-%08x", 0x10000000u + static_cast<unsigned>(number));
  Endpoint endpoint;
  endpoint.entry.worker = name;
  endpoint.entry.zone = std::string(1, static_cast<char>('a' + number % 3));
  endpoint.entry.kind = "m2";
  endpoint.entry.cell = number % 8;
  endpoint.address =
      "10.1." + std::to_string(number / 200 % 100) + "." + std::to_string(number % 200) + ":8000";
  return endpoint;
}

inline EndpointUpdate update_of(std::int64_t sequence, bool whole, int count, int first = 0) {
  EndpointUpdate update{sequence, whole, {}};
  for (int number = first; number < first + count; ++number)
    update.endpoints.push_back(endpoint_numbered(number));
  return update;
}

inline nlohmann::ordered_json json_of(const Endpoint& endpoint) {
  const woadtide::ListEntry& entry = endpoint.entry;
  const char* health = entry.state == WorkerState::ready      ? "Ready"
                       : entry.state == WorkerState::draining ? "Terminating"
                                                              : "Gone";
  nlohmann::ordered_json object = {
      {"host", entry.worker}, {"dial", endpoint.address}, {"site", entry.zone},    {"class", entry.kind},
      {"block", entry.cell},  {"health", health},         {"share", entry.weight}, {"born_ms", 0}};
  if (entry.started) object["born_ms"] = entry.started->count() / 1000;
  return object;
}

inline nlohmann::ordered_json json_of(const EndpointUpdate& update) {
  nlohmann::ordered_json entries = nlohmann::ordered_json::array();
  for (const Endpoint& endpoint : update.endpoints) entries.push_back(json_of(endpoint));
  return {{"seq", update.sequence}, {"whole", update.is_snapshot}, {"hosts", std::move(entries)}};
}

// Text of the update as service discovery sends it, including the line end.
inline std::string text_of(const EndpointUpdate& update, int indent = kCompact) {
  return json_of(update).dump(indent) + "\n";
}

inline bool operator==(const EndpointUpdate& left, const EndpointUpdate& right) {
  return left.sequence == right.sequence && left.is_snapshot == right.is_snapshot &&
         left.endpoints == right.endpoints;
}

// An event of the reader.
struct Event {
  enum class Kind { keep_alive, update, error };
  Kind kind;
  EndpointUpdate update = {};
  EndpointListError error = {};
};

inline bool operator==(const Event& left, const Event& right) {
  return left.kind == right.kind && left.update == right.update && left.error.kind == right.error.kind &&
         left.error.text == right.error.text;
}

class Recorder : public EndpointListListener {
 public:
  void on_keep_alive() override { events.push_back({Event::Kind::keep_alive}); }
  void on_update(EndpointUpdate&& update) override {
    events.push_back({Event::Kind::update, std::move(update)});
  }
  void on_error(const EndpointListError& error) override {
    events.push_back({Event::Kind::error, {}, error});
  }

  std::vector<Event> events;
};

// All events of a complete body that arrives in pieces of `piece_bytes`.
inline std::vector<Event> read_in_pieces(std::string_view text, std::size_t piece_bytes,
                                         const EndpointLimits& limits = kLargeLimits) {
  Recorder recorder;
  EndpointListReader reader(limits, recorder);
  for (std::size_t at = 0; at < text.size(); at += piece_bytes) reader.feed(text.substr(at, piece_bytes));
  reader.finish();
  return recorder.events;
}

inline std::vector<Event> read_in_one_piece(std::string_view text,
                                            const EndpointLimits& limits = kLargeLimits) {
  return read_in_pieces(text, std::max<std::size_t>(text.size(), 1), limits);
}

}  // namespace woadtide::endpoints
