// What reading and holding an endpoint list takes: the heap, asserted; the time, printed.
#include <doctest/doctest.h>

#include <chrono>

#include "allocation_counter.hpp"
#include "endpoints_harness.hpp"

namespace woadtide::endpoints {
namespace {

constexpr std::size_t kMaxPeakOfText = 3;  // times the list's compact text

// Puts what it hears into a table.
class TableFiller : public EndpointListListener {
 public:
  void on_keep_alive() override {}
  void on_update(EndpointUpdate&& update) override { table.apply(std::move(update)); }
  void on_error(const EndpointListError& error) override { FAIL(error.text); }

  EndpointTable table;
};

// Only counts what it hears.
class Counter : public EndpointListListener {
 public:
  void on_keep_alive() override {}
  void on_update(EndpointUpdate&& update) override { endpoints += update.endpoints.size(); }
  void on_error(const EndpointListError& error) override { FAIL(error.text); }

  std::size_t endpoints = 0;
};

// The most heap above what is held now that it takes to read a text, as it comes from a socket.
std::size_t peak_bytes_of_reading(const std::string& text, EndpointListListener& listener) {
  constexpr std::size_t kPiece = 16 * 1024;
  const std::size_t before = testing::heap_use().bytes;
  testing::reset_heap_peak();
  EndpointListReader reader(kAmpleLimits, listener);
  for (std::size_t at = 0; at < text.size(); at += kPiece)
    reader.feed(std::string_view(text).substr(at, kPiece));
  return testing::heap_use().peak_bytes - before;
}

double ratio(std::size_t bytes, const std::string& text) {
  return static_cast<double>(bytes) / static_cast<double>(text.size());
}

TEST_CASE("the heap stays within three times the list's text, and within what the limits count on") {
  for (const int count : {3'200, 10'000}) {
    const std::string text = text_of(update_of(1, true, count));
    EndpointUpdate other = update_of(2, true, count);
    for (Endpoint& endpoint : other.endpoints) endpoint.dial.back() = '1';
    const std::string other_text = text_of(other);
    const std::string indented = text_of(other, 4);
    other = {};
    const auto per_endpoint = [&](std::size_t bytes) { return bytes / static_cast<std::size_t>(count); };

    Counter counter;
    const std::size_t reading = peak_bytes_of_reading(text, counter);
    const std::size_t reading_indented = peak_bytes_of_reading(indented, counter);
    TableFiller filler;
    const std::size_t before = testing::heap_use().bytes;
    const std::size_t loading = peak_bytes_of_reading(text, filler);
    const std::size_t held = testing::heap_use().bytes - before;
    const std::size_t replacing = peak_bytes_of_reading(other_text, filler);
    MESSAGE(count << " endpoints, " << text.size() << " bytes of text (" << text.size() / std::size_t(count)
                  << " each, indented " << indented.size() / std::size_t(count) << "): held "
                  << per_endpoint(held) << " bytes each, read " << per_endpoint(reading)
                  << "; peak over text: reading " << ratio(reading, text) << ", first load "
                  << ratio(loading, text) << ", replacing above what is held " << ratio(replacing, text));
    CHECK(counter.endpoints == 2 * static_cast<std::size_t>(count));
    CHECK(filler.table.size() == static_cast<std::size_t>(count));
    CHECK(reading <= kMaxPeakOfText * text.size());
    CHECK(reading_indented <= kMaxPeakOfText * text.size());
    CHECK(loading <= kMaxPeakOfText * text.size());
    CHECK(replacing <= kMaxPeakOfText * text.size());
    // The constants of the limits are measured ones, and not far above them.
    CHECK(per_endpoint(held) <= kHeldBytesPerEndpoint);
    CHECK(per_endpoint(held) > kHeldBytesPerEndpoint * 3 / 4);
    CHECK(per_endpoint(reading) <= kUpdateBytesPerEndpoint);
    CHECK(per_endpoint(reading) > kUpdateBytesPerEndpoint * 3 / 4);
  }
}

TEST_CASE("at the bound, even strings alone stay within the memory that was given") {
  constexpr std::size_t kAvailable = 4 * 1024 * 1024;
  const EndpointLimits limits = endpoint_limits(kAvailable);
  // Names that fill the bound of bytes, and differ from one snapshot to the next.
  const auto long_list = [&](std::int64_t sequence, char fill) {
    EndpointUpdate update = update_of(sequence, true, static_cast<int>(limits.max_endpoints));
    for (Endpoint& endpoint : update.endpoints) endpoint.entry.worker += std::string(370, fill);
    return text_of(update);
  };
  const std::string first = long_list(1, 'x');
  const std::string second = long_list(2, 'y');
  REQUIRE(first.size() <= limits.max_update_bytes);
  REQUIRE(first.size() > limits.max_update_bytes * 9 / 10);
  const std::size_t before = testing::heap_use().bytes;
  TableFiller filler;
  testing::reset_heap_peak();
  EndpointListReader reader(limits, filler);
  reader.feed(first);
  reader.feed(second);
  const std::size_t peak = testing::heap_use().peak_bytes - before;
  MESSAGE("peak " << peak << " of " << kAvailable << " bytes given");
  CHECK(peak <= kAvailable);
}

TEST_CASE("the time to read and load lists, printed") {
  for (const int count : {3'200, 10'000}) {
    for (const int indent : {kCompact, 4}) {
      const std::string text = text_of(update_of(1, true, count), indent);
      TableFiller filler;
      const auto start = std::chrono::steady_clock::now();
      peak_bytes_of_reading(text, filler);
      const std::chrono::duration<double, std::milli> taken = std::chrono::steady_clock::now() - start;
      MESSAGE(count << " endpoints, " << text.size() << " bytes: " << taken.count() << " ms");
      CHECK(filler.table.size() == static_cast<std::size_t>(count));
    }
  }
}

}  // namespace
}  // namespace woadtide::endpoints
