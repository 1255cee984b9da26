// Tests of what waits to be sent to a sibling process.
#include "net/sibling_outbox.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace woadtide::net {
namespace {

using core::SiblingMessage;
using Kind = SiblingMessage::Kind;

TEST_CASE("an outbox sends each message as a line, the end of the initial state last") {
  SiblingOutbox outbox;
  CHECK(outbox.is_empty());
  outbox.add({Kind::told});
  outbox.add({Kind::query, "q1"});
  outbox.add({Kind::query, "q2"});
  outbox.add({Kind::exclude, "w"});
  outbox.add({Kind::list, "{}"});
  outbox.add({Kind::ready});
  outbox.add_version(2);
  CHECK_FALSE(outbox.is_empty());
  CHECK(outbox.take_lines() == "version 2\nready\nlist {}\nexclude w\nquery q1\nquery q2\ntold\n");
  CHECK(outbox.is_empty());
  CHECK(outbox.take_lines().empty());
}

// Guards memory and the connection: whole lists and old commands once piled up for a sibling that did not
// read.
TEST_CASE("what a later message makes void is not sent") {
  SiblingOutbox outbox;
  for (int i = 0; i < 1'000; ++i) {
    outbox.add({Kind::list, "list" + std::to_string(i)});
    outbox.add({i % 2 == 0 ? Kind::ready : Kind::unready});
    outbox.add({i % 2 == 0 ? Kind::exclude : Kind::include, "w"});
  }
  CHECK(outbox.take_lines() == "unready\nlist list999\ninclude w\n");
}

TEST_CASE("of the ids the newest are sent, as many as the sibling remembers") {
  SiblingOutbox outbox;
  const std::size_t count = core::kMaxRememberedIds + 3;
  for (std::size_t i = 0; i < count; ++i) outbox.add({Kind::query, std::to_string(i)});
  const std::string lines = outbox.take_lines();
  CHECK(lines.starts_with("query 3\nquery 4\n"));
  CHECK(lines.ends_with("query " + std::to_string(count - 1) + "\n"));
  CHECK(std::count(lines.begin(), lines.end(), '\n') == core::kMaxRememberedIds);
}

}  // namespace
}  // namespace woadtide::net
