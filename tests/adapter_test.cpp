// Tests of the line protocol of woadtide_wirehost.
#include <gtest/gtest.h>

#include <sstream>

#include "wire.hpp"

namespace woadtide::wire {
namespace {

using nlohmann::json;

const char* kBoot =
    R"({"Balancers":2,"MyZone":"z","Discovery":"on_request","StepUs":2000,"Kinds":["k"],"New":{"x":1},
  "Categories":[{"Name":"c","Effect":"idempotent","DeadlineUs":5000000,"PromiseUs":100000,"Group":"all"},
                {"Name":"u","Effect":"at_most_once","DeadlineUs":5000000,"PromiseUs":100000}],
  "Domain":{"ClassStretch":[2.0,1.0],"ClassKind":[-1,0],"ReportX0":"free slots","TellsStart":true},
  "PolicyLimits":{"TryLimit":3,"RetryAfter":true,"MaxRetryAfterUs":900000,"Cancel":true},
  "Invariants":{"ColdUs":20000000,"StartCapacity":0.2,"MustAskInUs":10000000,
                "FallMultiple":2.5,"TipAfterUs":1000000}})";

std::string batch(std::int64_t clock_us, const std::vector<std::string>& messages) {
  std::string line = R"({"ClockUs":)" + std::to_string(clock_us) + R"(,"msgs":[)";
  for (std::size_t i = 0; i < messages.size(); ++i) line += (i ? "," : "") + messages[i];
  line += "]}";
  std::erase(line, '\n');
  return line;
}
std::string spawn(int who) {
  return R"({"op":"Spawn","Who":)" + std::to_string(who) + R"(,"Entropy":5,"BootInfo":)" + kBoot + "}";
}
std::string topology(int who, const char* runner = "w") {
  return R"({"op":"Topology","Who":)" + std::to_string(who) +
         R"(,"Scope":"remembered","Gen":1,"Hosts":[{"Runner":")" + runner +
         R"(","Site":"z","FamilyType":"k","Group":0,"Condition":"U","Rating":1,"LaunchedUs":null}]})";
}
std::string call(int who, const char* ref, const char* band = "c") {
  return R"({"op":"Call","Who":)" + std::to_string(who) + R"(,"Ref":")" + ref +
         R"(","Width":1,"Subject":null,)" + R"("WeightHintUs":1000,"RamUnits":null,"Band":")" + band +
         R"(","ExpiresInUs":4000000,"Tenant":null})";
}
// The actions with this op in the reply to `line`.
std::vector<json> actions_of(InstanceHost& host, const std::string& line, const char* op) {
  std::vector<json> found;
  const json reply = json::parse(host.process_line(line));
  for (const json& action : reply.at("outbox"))
    if (action.at("op") == op) found.push_back(action);
  return found;
}

TEST(Wire, EmptyBatchGetsEmptyReply) {
  InstanceHost host;
  EXPECT_EQ(host.process_line(R"({"ClockUs":1,"msgs":[]})"), R"({"outbox":[]})");
}

TEST(Wire, InstanceSubscribesSendsAndFails) {
  InstanceHost host;
  const auto tracked = actions_of(host, batch(1000, {spawn(3), topology(3)}), "Track");
  ASSERT_EQ(tracked.size(), 1u);
  EXPECT_EQ(tracked[0], json::parse(R"({"op":"Track","Who":3,"Active":true})"));
  const auto issued = actions_of(host, batch(2000, {call(3, "00ff", "u")}), "Issue");
  ASSERT_EQ(issued.size(), 1u);
  EXPECT_EQ(issued[0], json::parse(R"({"op":"Issue","Who":3,"Ref":"00ff","Runner":"w"})"));
  const std::string error = R"({"op":"Verdict","Who":3,"Ref":"00ff","Hop":0,"Runner":"w","Outcome":20,
    "LatencyUs":5,"Settled":false,"Detail":null,"Load":{"waiting":2,"x0":1,"zz":"?"}})";
  const auto failed = actions_of(host, batch(4000, {error}), "Surrender");
  ASSERT_EQ(failed.size(), 1u);
  EXPECT_EQ(failed[0], json::parse(R"({"op":"Surrender","Who":3,"Ref":"00ff"})"));
}

TEST(Wire, RefusalCarriesRetryDelayWithinLimit) {
  InstanceHost host;
  host.process_line(batch(1000, {spawn(1)}));
  const auto declined = actions_of(host, batch(2000, {call(1, "aa")}), "Decline");
  ASSERT_EQ(declined.size(), 1u);
  EXPECT_GT(declined[0].at("HoldOffUs"), 0);
  EXPECT_LE(declined[0].at("HoldOffUs"), 900000);
}

TEST(Wire, InstancesAreIndependent) {
  InstanceHost together, alone;
  const std::string both =
      together.process_line(batch(1000, {spawn(1), topology(1, "w"), spawn(2), topology(2, "v")}));
  const std::string single = alone.process_line(batch(1000, {spawn(2), topology(2, "v")}));
  EXPECT_NE(both.find(single.substr(11, single.size() - 13)), std::string::npos);
  EXPECT_EQ(actions_of(together, batch(2000, {call(2, "aa")}), "Issue"),
            actions_of(alone, batch(2000, {call(2, "aa")}), "Issue"));
}

TEST(Wire, NumberAndLateWorthAreReadFromSettings) {
  json boot = json::parse(kBoot);
  boot["MyNumber"] = 1;
  boot["Categories"][0]["LateWorth"] = 0.25;
  std::vector<std::string> names;
  const Settings settings = read_settings(boot, names);
  EXPECT_EQ(settings.number, 1);
  EXPECT_EQ(settings.classes[0].late_worth, 0.25);
  EXPECT_EQ(settings.classes[1].late_worth, 1) << "absent: late answers keep their worth";
}

TEST(Wire, ExitRemovesInstance) {
  InstanceHost host;
  host.process_line(batch(1000, {spawn(1), topology(1)}));
  host.process_line(batch(2000, {R"({"op":"Exit","Who":1})"}));
  EXPECT_EQ(host.process_line(batch(3000, {call(1, "aa")})), R"({"outbox":[]})");
  EXPECT_EQ(actions_of(host, batch(4000, {spawn(1), call(1, "bb")}), "Decline").size(), 1u);
}

TEST(Wire, UnknownOpsAndFieldsAreIgnored) {
  InstanceHost host;
  host.process_line(batch(1000, {spawn(1), topology(1)}));
  EXPECT_EQ(host.process_line(batch(2000, {R"({"op":"Novel","Who":1,"x":[1]})", R"({"op":"Newer"})"})),
            R"({"outbox":[]})");
}

TEST(Wire, InvalidSettingsAreReportedAsFault) {
  InstanceHost host;
  const auto faults = actions_of(
      host, batch(1000, {R"({"op":"Spawn","Who":4,"Entropy":1,"BootInfo":{"Balancers":0,"Categories":[]}})"}),
      "Fault");
  ASSERT_EQ(faults.size(), 1u);
  EXPECT_EQ(faults[0].at("Who"), 4);
  EXPECT_NE(faults[0].at("NoteText").get<std::string>().find("dispatchers"), std::string::npos);
}

struct BadLine {
  const char* line;
  const char* expected_error;
};
TEST(Serve, MalformedLineErrorNamesLineAndField) {
  const BadLine cases[] = {
      {"{", "not JSON"},
      {"[]", "not a JSON object"},
      {R"({"msgs":[]})", "'ClockUs' is missing"},
      {R"({"ClockUs":"x","msgs":[]})", "'ClockUs': an integer"},
      {R"({"ClockUs":5})", "'msgs' is missing"},
      {R"({"ClockUs":5,"msgs":[7]})", "'op'"},
      {R"({"ClockUs":5,"msgs":[{"op":"Exit"}]})", "'Who' is missing"},
      {R"({"ClockUs":5,"msgs":[{"op":"Spawn","Who":1,"Entropy":1}]})", "'BootInfo' is missing"},
  };
  for (const BadLine& bad : cases) {
    std::istringstream in(std::string("{\"ClockUs\":1,\"msgs\":[]}\n") + bad.line +
                          "\n{\"ClockUs\":9,\"msgs\":[]}\n");
    std::ostringstream out, err;
    EXPECT_EQ(serve(in, out, err), 1) << bad.line;
    EXPECT_EQ(out.str(), "{\"outbox\":[]}\n");
    EXPECT_NE(err.str().find("line 2: "), std::string::npos) << err.str();
    EXPECT_NE(err.str().find(bad.expected_error), std::string::npos) << err.str();
  }
}
TEST(Serve, WrongTypeInMessageIsReported) {
  std::istringstream in(batch(1, {spawn(1)}) + "\n" + batch(2, {R"({"op":"Call","Who":1,"Ref":5})"}) + "\n");
  std::ostringstream out, err;
  EXPECT_EQ(serve(in, out, err), 1);
  EXPECT_NE(err.str().find("line 2: field 'Ref': text expected"), std::string::npos) << err.str();
}

TEST(Serve, SameInputGivesSameReplies) {
  std::string lines = batch(1, {spawn(1), topology(1), spawn(2), topology(2)}) + "\n";
  for (int i = 0; i < 50; ++i)
    lines += batch(2000 + i * 1000, {call(1 + i % 2, std::to_string(i).c_str())}) + "\n";
  std::string replies[2];
  for (std::string& reply : replies) {
    std::istringstream in(lines);
    std::ostringstream out, err;
    ASSERT_EQ(serve(in, out, err), 0) << err.str();
    reply = out.str();
  }
  EXPECT_EQ(replies[0], replies[1]);
}

}  // namespace
}  // namespace woadtide::wire
