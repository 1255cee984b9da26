// Cost of reading and holding an endpoint list: the heap use is checked, the time is only printed.
#include <doctest/doctest.h>

#include <chrono>

#include "allocation_counter.hpp"
#include "endpoints_harness.hpp"

namespace woadtide::endpoints {
namespace {

constexpr std::size_t kMaxPeakToTextRatio = 3;  // multiple of the size of the compact text

// Applies each update to a table.
class TableFiller : public EndpointListListener {
 public:
  void on_keep_alive() override {}
  void on_update(EndpointUpdate&& update) override { table.apply(std::move(update)); }
  void on_error(const EndpointListError& error) override { FAIL(error.text); }

  EndpointTable table;
};

// Only counts the endpoints of the updates.
class Counter : public EndpointListListener {
 public:
  void on_keep_alive() override {}
  void on_update(EndpointUpdate&& update) override { endpoints += update.endpoints.size(); }
  void on_error(const EndpointListError& error) override { FAIL(error.text); }

  std::size_t endpoints = 0;
};

// Peak heap use, above the current use, while a text is read in pieces as from a socket.
std::size_t peak_bytes_of_reading(const std::string& text, EndpointListListener& listener) {
  constexpr std::size_t kPieceBytes = 16 * 1024;
  const std::size_t before = testing::heap_usage().bytes;
  testing::reset_heap_peak();
  EndpointListReader reader(kLargeLimits, listener);
  for (std::size_t at = 0; at < text.size(); at += kPieceBytes)
    reader.feed(std::string_view(text).substr(at, kPieceBytes));
  return testing::heap_usage().peak_bytes - before;
}

double ratio(std::size_t bytes, const std::string& text) {
  return static_cast<double>(bytes) / static_cast<double>(text.size());
}

TEST_CASE("the heap stays within three times the list's text, and within the constants of the limits") {
  for (const int count : {3'200, 10'000}) {
    const std::string text = text_of(update_of(1, true, count));
    EndpointUpdate replacement = update_of(2, true, count);
    for (Endpoint& endpoint : replacement.endpoints) endpoint.address.back() = '1';
    const std::string replacement_text = text_of(replacement);
    const std::string indented = text_of(replacement, 4);
    replacement = {};
    const auto per_endpoint = [&](std::size_t bytes) { return bytes / static_cast<std::size_t>(count); };

    Counter counter;
    const std::size_t reading = peak_bytes_of_reading(text, counter);
    const std::size_t reading_indented = peak_bytes_of_reading(indented, counter);
    TableFiller filler;
    const std::size_t before = testing::heap_usage().bytes;
    const std::size_t loading = peak_bytes_of_reading(text, filler);
    const std::size_t held = testing::heap_usage().bytes - before;
    const std::size_t replacing = peak_bytes_of_reading(replacement_text, filler);
    MESSAGE(count << " endpoints, " << text.size() << " bytes of text (" << text.size() / std::size_t(count)
                  << " each, indented " << indented.size() / std::size_t(count) << "): held "
                  << per_endpoint(held) << " bytes each, read " << per_endpoint(reading)
                  << "; peak over text: reading " << ratio(reading, text) << ", first load "
                  << ratio(loading, text) << ", replacing above what is held " << ratio(replacing, text));
    CHECK(counter.endpoints == 2 * static_cast<std::size_t>(count));
    CHECK(filler.table.size() == static_cast<std::size_t>(count));
    CHECK(reading <= kMaxPeakToTextRatio * text.size());
    CHECK(reading_indented <= kMaxPeakToTextRatio * text.size());
    CHECK(loading <= kMaxPeakToTextRatio * text.size());
    CHECK(replacing <= kMaxPeakToTextRatio * text.size());
    // The constants of the limits cover the bytes measured here, and are not far above them.
    CHECK(per_endpoint(held) <= kHeldBytesPerEndpoint);
    CHECK(per_endpoint(held) > kHeldBytesPerEndpoint * 3 / 4);
    CHECK(per_endpoint(reading) <= kUpdateBytesPerEndpoint);
    CHECK(per_endpoint(reading) > kUpdateBytesPerEndpoint * 3 / 4);
  }
}

TEST_CASE("at the limit, even a list of long strings only stays within the available memory") {
  constexpr std::size_t kAvailableBytes = 4 * 1024 * 1024;
  const EndpointLimits limits = endpoint_limits(kAvailableBytes);
  // Lists with names long enough to reach the limit of bytes, and different in each snapshot.
  const auto long_list = [&](std::int64_t sequence, char fill) {
    EndpointUpdate update = update_of(sequence, true, static_cast<int>(limits.max_endpoints));
    for (Endpoint& endpoint : update.endpoints) endpoint.entry.worker += std::string(370, fill);
    return text_of(update);
  };
  const std::string first = long_list(1, 'x');
  const std::string second = long_list(2, 'y');
  REQUIRE(first.size() <= limits.max_update_bytes);
  REQUIRE(first.size() > limits.max_update_bytes * 9 / 10);
  const std::size_t before = testing::heap_usage().bytes;
  TableFiller filler;
  testing::reset_heap_peak();
  EndpointListReader reader(limits, filler);
  reader.feed(first);
  reader.feed(second);
  const std::size_t peak = testing::heap_usage().peak_bytes - before;
  MESSAGE("peak " << peak << " of " << kAvailableBytes << " bytes available");
  CHECK(peak <= kAvailableBytes);
}

TEST_CASE("time to read and load lists (printed only)") {
  for (const int count : {3'200, 10'000}) {
    for (const int indent : {kCompact, 4}) {
      const std::string text = text_of(update_of(1, true, count), indent);
      TableFiller filler;
      const auto start = std::chrono::steady_clock::now();
      peak_bytes_of_reading(text, filler);
      const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - start;
      MESSAGE(count << " endpoints, " << text.size() << " bytes: " << elapsed.count() << " ms");
      CHECK(filler.table.size() == static_cast<std::size_t>(count));
    }
  }
}

}  // namespace
}  // namespace woadtide::endpoints
