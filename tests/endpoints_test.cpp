// Tests of the endpoint list reader: sizes, layouts and splits of valid bodies, and all kinds of invalid
// ones.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "endpoints/endpoints.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <pcg_random.hpp>

#include "core/host_list.hpp"
#include "endpoints_harness.hpp"

namespace woadtide::endpoints {
namespace {

using ErrorKind = EndpointListErrorKind;

constexpr char kEntry[] = R"({"host":"s-1","dial":"10.0.0.1:80","health":"Ready"})";

std::string update_with(const std::string& entries) {
  return R"({"seq":7,"whole":true,"hosts":[)" + entries + "]}\n";
}

// Reads a text whose only event is an update.
EndpointUpdate only_update(std::string_view text) {
  const std::vector<Event> events = read_in_one_piece(text);
  REQUIRE(events.size() == 1);
  CAPTURE(events[0].error.text);
  REQUIRE(events[0].kind == Event::Kind::update);
  return events[0].update;
}

// Reads a text whose only event is an error, also when it arrives byte by byte.
EndpointListError only_error(std::string_view text, const EndpointLimits& limits = kLargeLimits) {
  const std::vector<Event> events = read_in_one_piece(text, limits);
  REQUIRE(events.size() == 1);
  REQUIRE(events[0].kind == Event::Kind::error);
  CHECK(read_in_pieces(text, 1, limits) == events);
  CHECK(events[0].error.text.starts_with("endpoint list: "));
  CHECK(events[0].error.text.find('\n') == std::string::npos);
  return events[0].error;
}

void check_error(std::string_view text, ErrorKind kind, std::string_view part_of_text,
                 const EndpointLimits& limits = kLargeLimits) {
  CAPTURE(text.substr(0, 300));
  const EndpointListError error = only_error(text, limits);
  CAPTURE(error.text);
  CHECK(error.kind == kind);
  CHECK(error.text.find(part_of_text) != std::string::npos);
}

void check_wrong_field(std::string_view text, std::string_view field, std::optional<std::size_t> entry) {
  CAPTURE(text);
  const EndpointListError error = only_error(text);
  CAPTURE(error.text);
  CHECK(error.kind == ErrorKind::wrong_field);
  CHECK(error.field == field);
  CHECK(error.entry == entry);
  CHECK(error.text.find("'" + std::string(field) + "'") != std::string::npos);
  if (entry) CHECK(error.text.find("entry " + std::to_string(*entry) + ": ") != std::string::npos);
}

std::string nested(int arrays) {
  return std::string(static_cast<std::size_t>(arrays), '[') +
         std::string(static_cast<std::size_t>(arrays), ']');
}

TEST_CASE("large lists are read equally in every layout and split") {
  for (const int count : {3'200, 10'000}) {
    const EndpointUpdate update = update_of(43, true, count);
    for (const int indent : {kCompact, 1, 4}) {
      const std::string text = text_of(update, indent);
      for (const std::size_t piece_bytes : {std::size_t{1}, std::size_t{997}, text.size()}) {
        CAPTURE(count);
        CAPTURE(indent);
        CAPTURE(piece_bytes);
        const std::vector<Event> events = read_in_pieces(text, piece_bytes);
        REQUIRE(events.size() == 1);
        CHECK(events[0].kind == Event::Kind::update);
        CHECK(events[0].update == update);
      }
    }
  }
}

TEST_CASE("a snapshot is followed by deltas, one of which may hold a thousand entries") {
  const EndpointUpdate whole = update_of(1, true, 3'200);
  EndpointUpdate drains = update_of(2, false, 1);
  drains.endpoints[0].entry.state = WorkerState::draining;
  EndpointUpdate leaves = update_of(3, false, 1'000, 100);
  for (Endpoint& endpoint : leaves.endpoints) endpoint.entry.state = WorkerState::gone;
  const std::string body = text_of(whole) + "\n" + text_of(drains, 2) + text_of(leaves) + "\n\n";
  const std::vector<Event> expected = {{Event::Kind::update, whole},  {Event::Kind::keep_alive},
                                       {Event::Kind::update, drains}, {Event::Kind::update, leaves},
                                       {Event::Kind::keep_alive},     {Event::Kind::keep_alive}};
  CHECK(read_in_one_piece(body) == expected);
  CHECK(read_in_pieces(body, 997) == expected);
}

TEST_CASE("an update is delivered at its closing brace, and no earlier") {
  const std::string text = update_with(kEntry);
  Recorder recorder;
  EndpointListReader reader(kLargeLimits, recorder);
  reader.feed(std::string_view(text).substr(0, text.size() - 2));
  CHECK(recorder.events.empty());
  reader.feed("}");
  CHECK(recorder.events.size() == 1);
}

TEST_CASE("an empty line is a keep-alive between updates, and white space within an update") {
  CHECK(read_in_one_piece("\n").size() == 1);
  CHECK(read_in_one_piece("\r\n \t\n").size() == 2);
  CHECK(read_in_one_piece("  ").empty());
  const std::string plain = update_with(R"({"host":"a","dial":"b","health":"Ready"})");
  std::string spread = plain;
  for (std::size_t at = spread.size() - 1; at > 0; --at)
    if (std::string_view("{}[],:").find(spread[at]) != std::string_view::npos) spread.insert(at, "\n\n");
  const std::vector<Event> events = read_in_one_piece(spread + "\n" + update_with(""));
  REQUIRE(events.size() == 3);
  CHECK(events[0].update == only_update(plain));
  CHECK(events[1].kind == Event::Kind::keep_alive);
  CHECK(events[2].update.endpoints.empty());
}

TEST_CASE("keys may come in any order, and unknown keys may have any value") {
  const EndpointUpdate expected = only_update(update_with(kEntry));
  const std::string hosts = std::string(R"("hosts":[)") + kEntry + "]";
  const std::vector<std::string> texts = {
      "{" + hosts + R"(,"whole":true,"seq":7})",
      R"({"whole":true,"seq":7,)" + hosts + "}",
      R"({"seq":7,)" + hosts + R"(,"next":{"hosts":[{"host":1}],"seq":[8,{}],"a":"}]{[\"\\"},"whole":true})",
      R"({"v":-0.5e+3,"w":null,"x":[true,false,0],"y":"\u00e9\n","":12,"seq":7,"whole":true,)" + hosts + "}",
      R"({"s\u0065q":7,"whole":true,"seq ":8,)" + hosts + "}",
  };
  for (const std::string& text : texts) {
    CAPTURE(text);
    CHECK(only_update(text) == expected);
  }
}

TEST_CASE("entries may hold unknown fields, escapes, braces and quotes") {
  const EndpointUpdate update = only_update(update_with(
      R"({"host":"a}]\"{\\","dial":"b:1","site":"\u00e9\ud83d\ude00","health":"Ready","x":{"y":["}",{}]}},)" +
      std::string(kEntry)));
  REQUIRE(update.endpoints.size() == 2);
  CHECK(update.endpoints[0].name() == "a}]\"{\\");
  CHECK(update.endpoints[0].entry.zone == "\u00e9\U0001F600");
  CHECK(update.endpoints[1].name() == "s-1");
}

TEST_CASE("invalid JSON is rejected at the first invalid byte") {
  const std::vector<std::string> texts = {
      "hello\n",
      "[1]\n",
      R"({seq:1})",
      R"({1:1})",
      R"({null:1})",
      R"({[]:1})",
      R"({"seq" 1})",
      R"({"seq":1 "whole":true})",
      R"({"seq":1,})",
      R"({"seq":01})",
      R"({"x":1.})",
      R"({"x":1e})",
      R"({"x":1e+})",
      R"({"x":-})",
      R"({"x":+1})",
      R"({"x":tru})",
      R"({"x":nulL})",
      R"({"x":"\x"})",
      R"({"x":"\u12g4"})",
      "{\"x\":\"\n\"}",
      R"({"x":[1,]})",
      R"({"x":[1}})",
      R"({"x":{"y"}})",
      R"({"x":{"y":1,}})",
      R"({"x":{1:1}})",
      R"({"x":{"y":1]})",
      R"({"x":})",
      R"({,})",
      R"({"hosts":[,]})",
      update_with(std::string(kEntry) + ","),
      update_with(std::string(kEntry) + kEntry),
      update_with(R"({"host":"\ud800"})"),
      update_with("{\"host\":\"\xff\"}"),
  };
  for (const std::string& text : texts) check_error(text, ErrorKind::not_json, "not JSON");
  const std::vector<Event> events = read_in_one_piece(update_with(kEntry) + "}");
  REQUIRE(events.size() == 2);
  CHECK(events[1].error.kind == ErrorKind::not_json);
}

TEST_CASE("strings must be UTF-8, also those that are ignored") {
  const auto member = [](std::string_view bytes) {
    return "{\"x\":\"" + std::string(bytes) + R"(","seq":1,"whole":true,"hosts":[]})";
  };
  for (const char* valid : {"\x7f", "\xc2\x80", "\xdf\xbf", "\xe0\xa0\x80", "\xed\x9f\xbf", "\xee\x80\x80",
                            "\xf0\x90\x80\x80", "\xf3\xbf\xbf\xbf", "\xf4\x8f\xbf\xbf"})
    CHECK(only_update(member(valid)).sequence == 1);
  for (const char* invalid :
       {"\x80", "\xc1\xbf", "\xc2", "\xc2\xc0", "\xe0\x9f\xbf", "\xe1\x80", "\xed\xa0\x80",
        "\xf0\x8f\xbf\xbf", "\xf1\x80\x80", "\xf4\x90\x80\x80", "\xf5\x80\x80\x80", "\xff"})
    check_error(member(invalid), ErrorKind::not_json, "not JSON");
}

TEST_CASE("the error for a missing or wrong field names the field and the number of its entry") {
  check_wrong_field("{}", "seq", std::nullopt);
  check_wrong_field(R"({"whole":true,"hosts":[]})", "seq", std::nullopt);
  check_wrong_field(R"({"seq":1,"hosts":[]})", "whole", std::nullopt);
  check_wrong_field(R"({"seq":1,"whole":true})", "hosts", std::nullopt);
  for (const char* value : {"\"1\"", "-1", "1.5", "true", "null", "[]", "9223372036854775808"})
    check_wrong_field(R"({"seq":)" + std::string(value) + "}", "seq", std::nullopt);
  for (const char* value : {"\"true\"", "1", "null", "{}"})
    check_wrong_field(R"({"whole":)" + std::string(value) + "}", "whole", std::nullopt);
  for (const char* value : {"{}", "null", "\"a\"", "1"})
    check_wrong_field(R"({"hosts":)" + std::string(value) + "}", "hosts", std::nullopt);
  check_wrong_field(R"({"seq":1,"seq":1})", "seq", std::nullopt);
  check_wrong_field(R"({"whole":true,"whole":true})", "whole", std::nullopt);
  check_wrong_field(R"({"hosts":[],"hosts":[]})", "hosts", std::nullopt);

  const auto second = [](const std::string& entry) { return update_with(std::string(kEntry) + "," + entry); };
  check_wrong_field(second("1"), "hosts", 2);
  check_wrong_field(second("[]"), "hosts", 2);
  check_wrong_field(second(R"({"dial":"a:1","health":"Ready"})"), "host", 2);
  check_wrong_field(second(R"({"host":"a","health":"Ready"})"), "dial", 2);
  check_wrong_field(second(R"({"host":"a","dial":"a:1"})"), "health", 2);
  check_wrong_field(second(R"({"host":"a","dial":"a:1","health":"ready"})"), "health", 2);
  for (const char* field : {"host", "dial", "health", "site", "class"}) {
    nlohmann::json entry = nlohmann::json::parse(kEntry);
    for (const nlohmann::json& value :
         {nlohmann::json(1), nlohmann::json(nullptr), nlohmann::json::array()}) {
      entry[field] = value;
      check_wrong_field(second(entry.dump()), field, 2);
    }
  }
  for (const char* field : {"block", "share", "born_ms"}) {
    nlohmann::json entry = nlohmann::json::parse(kEntry);
    entry[field] = "1";
    check_wrong_field(second(entry.dump()), field, 2);
  }
  check_wrong_field(second(R"({"host":"a","dial":"a:1","health":"Ready","block":1e300})"), "block", 2);
}

TEST_CASE("a name that appears twice in one update is rejected, whether the entries are equal or not") {
  const std::string other = R"({"host":"s-1","dial":"10.0.0.2:80","health":"Terminating"})";
  const std::string third = R"({"host":"s-2","dial":"10.0.0.2:80","health":"Ready"})";
  for (const std::string& again : {std::string(kEntry), other}) {
    const std::string text = update_with(std::string(kEntry) + "," + third + "," + again);
    check_error(text, ErrorKind::duplicate_endpoint, "entry 3: endpoint \"s-1\" appears twice");
    CHECK(only_error(text).entry == 3);
  }
  // A name may appear in two updates.
  CHECK(read_in_one_piece(update_with(kEntry) + update_with(other)).size() == 2);
  // A line break in the name does not break the log line.
  check_error(
      update_with(R"({"host":"a\nb","dial":"","health":"Ready"},{"host":"a\nb","dial":"","health":"Ready"})"),
      ErrorKind::duplicate_endpoint, R"("a\nb")");
}

TEST_CASE("each limit is enforced, and the error states its value") {
  const std::string two = text_of(update_of(1, true, 2));
  const std::string three = text_of(update_of(1, true, 3));
  EndpointLimits limits = kLargeLimits;
  SUBCASE("endpoints") {
    limits.max_endpoints = 2;
    CHECK(read_in_one_piece(two, limits)[0].kind == Event::Kind::update);
    check_error(three, ErrorKind::too_many_endpoints, "more than 2 endpoints", limits);
  }
  SUBCASE("bytes of an update, counted for each update") {
    limits.max_update_bytes = three.size() - 1;  // the line end is not part of the update
    const std::vector<Event> events = read_in_one_piece("  \n" + three + three, limits);
    REQUIRE(events.size() == 3);
    CHECK(events[2].kind == Event::Kind::update);
    std::string larger = three;
    larger.insert(1, " ");
    check_error(larger, ErrorKind::update_too_large,
                "more than " + std::to_string(three.size() - 1) + " bytes", limits);
  }
  SUBCASE("bytes of an entry, a key and a number") {
    limits.max_entry_bytes = sizeof kEntry - 1;
    CHECK(read_in_one_piece(update_with(kEntry), limits)[0].kind == Event::Kind::update);
    std::string larger = kEntry;
    larger.insert(1, " ");
    check_error(
        update_with(larger), ErrorKind::entry_too_large,
        "entry 1: one entry, key or value has more than " + std::to_string(sizeof kEntry - 1) + " bytes",
        limits);
    const std::string digits(sizeof kEntry, '1');
    check_error(R"({"seq":)" + digits, ErrorKind::entry_too_large, "key or value", limits);
    check_error("{\"" + digits + "\":1}", ErrorKind::entry_too_large, "key or value", limits);
    CHECK(read_in_one_piece(R"({"x":)" + digits + R"(,"seq":1,"whole":true,"hosts":[]})", limits)[0].kind ==
          Event::Kind::update);
  }
  SUBCASE("levels of nesting, in an unknown member and in an entry") {
    const auto member = [](int arrays) {
      return R"({"x":)" + nested(arrays) + R"(,"seq":1,"whole":true,"hosts":[]})";
    };
    const auto entry = [](int arrays) {
      return update_with(R"({"x":)" + nested(arrays) + R"(,"host":"a","dial":"a:1","health":"Ready"})");
    };
    constexpr int kMaxDepth = JsonValueScanner::kMaxNestingDepth;
    CHECK(only_update(member(kMaxDepth)).sequence == 1);
    check_error(member(kMaxDepth + 1), ErrorKind::too_deep, "more than 16 levels");
    check_error(member(100'000), ErrorKind::too_deep, "more than 16 levels");
    CHECK(only_update(entry(kMaxDepth - 1)).endpoints.size() == 1);
    check_error(entry(kMaxDepth), ErrorKind::too_deep, "entry 1: ");
  }
}

TEST_CASE("a body that ends anywhere within an update is rejected") {
  const std::string text = text_of(update_of(1, true, 2), 1);
  const std::size_t closing = text.size() - 2;
  for (std::size_t length = 1; length <= closing; ++length) {
    const std::vector<Event> events = read_in_one_piece(std::string_view(text).substr(0, length));
    CAPTURE(length);
    REQUIRE(events.size() == 1);
    CHECK(events[0].error.kind == ErrorKind::truncated);
    CHECK(events[0].error.text.find(std::to_string(length) + " bytes") != std::string::npos);
  }
  CHECK(read_in_one_piece(std::string_view(text).substr(0, closing + 1))[0].kind == Event::Kind::update);
  CHECK(read_in_one_piece("").empty());
}

TEST_CASE("after an error all bytes are ignored until a reset, which discards the unfinished update") {
  Recorder recorder;
  EndpointListReader reader(kLargeLimits, recorder);
  reader.feed(R"({"seq":1,"hosts":[{"host":1}]})" + update_with(kEntry) + "\n");
  reader.feed(update_with(kEntry));
  reader.finish();
  CHECK(recorder.events.size() == 1);
  CHECK(reader.error().has_value());
  reader.reset();
  CHECK(!reader.error().has_value());
  reader.feed(update_with(kEntry));
  CHECK(recorder.events.size() == 2);
  reader.feed(std::string_view(update_with(kEntry)).substr(0, 60));
  reader.reset();
  reader.feed(update_with(kEntry) + "\n");
  CHECK(recorder.events.size() == 4);
  CHECK(!reader.error().has_value());
}

TEST_CASE("an empty first line is a keep-alive also after a body that ended without a line end") {
  Recorder recorder;
  EndpointListReader reader(kLargeLimits, recorder);
  reader.feed(R"({"seq":1,"whole":true,"hosts":[]})");
  reader.reset();
  reader.feed("\n");
  REQUIRE(recorder.events.size() == 2);
  CHECK(recorder.events[1].kind == Event::Kind::keep_alive);
}

TEST_CASE("limits are derived from the available memory") {
  constexpr std::size_t kMegabyte = 1024 * 1024;
  CHECK(endpoint_limits(0).max_endpoints == kMinEndpoints);
  for (const std::size_t megabytes : {8, 24, 160}) {
    const EndpointLimits limits = endpoint_limits(megabytes * kMegabyte);
    CHECK(limits.max_endpoints == megabytes * kMegabyte / (kMemoryShareDivisor * kPeakBytesPerEndpoint));
    CHECK(limits.max_update_bytes == limits.max_endpoints * kMaxTextBytesPerEndpoint);
    CHECK(limits.max_entry_bytes == kMaxEntryBytes);
  }
  CHECK(endpoint_limits(32 * kMegabyte).max_endpoints >= 10'000);
}

EndpointUpdate random_update(pcg32& random) {
  EndpointUpdate update{random(1'000), random(2) == 0, {}};
  const int count = static_cast<int>(random(6));
  for (int number = 0; number < count; ++number) {
    Endpoint endpoint = endpoint_numbered(number);
    endpoint.entry.state = static_cast<WorkerState>(random(3));
    endpoint.entry.zone = std::string(random(4), "{}[]\",\\\n: "[random(10)]);
    endpoint.entry.weight = random(8) / 4.0;
    if (random(2) == 0) endpoint.entry.started = std::chrono::milliseconds(kStartedAtMs + random(1'000));
    update.endpoints.push_back(std::move(endpoint));
  }
  return update;
}

// Text of the update with its members in random order, an unknown member, and random indentation.
std::string random_text_of(const EndpointUpdate& update, pcg32& random) {
  const nlohmann::ordered_json object = json_of(update);
  std::vector<std::string> keys = {"seq", "whole", "hosts", "extra"};
  for (std::size_t at = keys.size() - 1; at > 0; --at)
    std::swap(keys[at], keys[random(static_cast<std::uint32_t>(at + 1))]);
  nlohmann::ordered_json shuffled;
  for (const std::string& key : keys)
    shuffled[key] = object.contains(key) ? object[key] : nlohmann::ordered_json{{"a", {1, "}"}}};
  return shuffled.dump(static_cast<int>(random(4)) - 1) + "\n";
}

TEST_CASE("any split of any valid body gives the same events") {
  CHECK(rc::check([] {
    pcg32 random(*rc::gen::arbitrary<std::uint32_t>());
    const auto piece_sizes = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 200)));
    std::string body;
    std::vector<Event> expected;
    for (std::uint32_t updates = random(4); updates > 0; --updates) {
      const EndpointUpdate update = random_update(random);
      body += random_text_of(update, random);
      expected.push_back({Event::Kind::update, update});
      if (random(2) == 0) continue;
      body += "\n";
      expected.push_back({Event::Kind::keep_alive});
    }
    Recorder recorder;
    EndpointListReader reader(kLargeLimits, recorder);
    std::string_view remaining = body;
    for (std::size_t piece = 0; !remaining.empty(); ++piece) {
      const std::size_t size = std::min(remaining.size(), piece_sizes[piece % piece_sizes.size()]);
      reader.feed(remaining.substr(0, size));
      remaining.remove_prefix(size);
    }
    reader.finish();
    RC_ASSERT(recorder.events == expected);
  }));
}

// Whether each update that the reader delivers equals what a parser of complete texts reads from the same
// bytes, and no event follows an error.
bool agrees_with_whole_parser(std::string_view body) {
  Recorder recorder;
  EndpointListReader reader(kLargeLimits, recorder);
  std::size_t update_start = 0;
  for (std::size_t at = 0; at < body.size(); ++at) {
    const std::size_t before = recorder.events.size();
    reader.feed(body.substr(at, 1));
    if (recorder.events.size() == before || recorder.events.back().kind != Event::Kind::update) continue;
    const std::string_view text = body.substr(update_start, at + 1 - update_start);
    update_start = at + 1;
    const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
    if (object.is_discarded()) return false;
    const core::EndpointList list = core::parse_endpoint_list(object);
    const EndpointUpdate expected{list.seq, list.complete, {list.endpoints.begin(), list.endpoints.end()}};
    if (!(recorder.events.back().update == expected)) return false;
  }
  for (std::size_t at = 0; at + 1 < recorder.events.size(); ++at)
    if (recorder.events[at].kind == Event::Kind::error) return false;
  return true;
}

TEST_CASE("random bytes never crash the reader, and never give an update that they do not contain") {
  CHECK(rc::check([] { RC_ASSERT(agrees_with_whole_parser(*rc::gen::arbitrary<std::string>())); }));
  CHECK(rc::check([] {
    const auto bytes =
        *rc::gen::container<std::string>(rc::gen::elementOf(std::string("{}[]\":,\\ \n01e-.tnu")));
    RC_ASSERT(agrees_with_whole_parser(bytes));
  }));
}

// Applies one random fault to a text.
std::string mutated(std::string text, pcg32& random) {
  const auto place = [&] { return random(static_cast<std::uint32_t>(text.size())); };
  constexpr std::string_view kBytes = "{}[]\":,\\ \n0159e-.tfnu\x01\x7f";
  const char byte = kBytes[random(static_cast<std::uint32_t>(kBytes.size()))];
  if (text.empty()) return text;
  switch (random(6)) {
    case 0:
      text[place()] = byte;
      return text;
    case 1:
      return text.insert(place(), 1, byte);
    case 2:
      return text.erase(place(), random(20));
    case 3:
      return text.insert(place(), text.substr(place(), random(200)));
    case 4:
      return text.substr(0, place());
    default:
      text[place()] = static_cast<char>(random(256));
      return text;
  }
}

TEST_CASE("mutated bodies give complete updates or an error") {
  constexpr int kTextCount = 4'000;
  int with_error = 0;
  int with_update = 0;
  for (std::uint32_t seed = 1; seed <= kTextCount; ++seed) {
    CAPTURE(seed);
    pcg32 random(seed);
    std::string text = random_text_of(random_update(random), random) + "\n";
    text += random_text_of(random_update(random), random);
    for (std::uint32_t mutations = 1 + random(3); mutations > 0; --mutations) text = mutated(text, random);
    CAPTURE(text);
    REQUIRE(agrees_with_whole_parser(text));
    bool error = false;
    bool update = false;
    for (const Event& event : read_in_one_piece(text)) {
      error = error || event.kind == Event::Kind::error;
      update = update || event.kind == Event::Kind::update;
    }
    with_error += error;
    with_update += update;
  }
  // The mutations lead to both outcomes.
  CHECK(with_error > kTextCount / 4);
  CHECK(with_update > kTextCount / 4);
}

}  // namespace
}  // namespace woadtide::endpoints
