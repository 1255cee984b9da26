#include "log/structured.hpp"

#include <spdlog/async.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>
#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "core/log.hpp"

namespace woadtide::log {

namespace {

std::shared_ptr<spdlog::details::thread_pool> pool;
std::array<std::shared_ptr<spdlog::logger>, 2> loggers;  // text, JSON: a line is of one form, whole
std::atomic<bool> as_json{false};

// "jobs: KEY is in doubt" is of the part "jobs".
void write(std::string_view text) {
  const bool json = as_json;
  spdlog::logger& logger = *loggers[json ? 1 : 0];
  if (!json) return logger.info(spdlog::string_view_t(text.data(), text.size()));
  const auto colon = text.find(": ");
  nlohmann::json line = {
      {"part", colon == std::string_view::npos ? "" : std::string(text.substr(0, colon))},
      {"text", std::string(colon == std::string_view::npos ? text : text.substr(colon + 2))}};
  if (const auto dropped = pool->overrun_counter(); dropped > 0) line["dropped_lines"] = dropped;
  // The fields stand behind the time, which the pattern writes.
  const std::string fields = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).substr(1);
  logger.info(spdlog::string_view_t(fields.data(), fields.size()));
}

}  // namespace

Structured::Structured(bool json, std::size_t queue) {
  as_json = json;
  pool = std::make_shared<spdlog::details::thread_pool>(queue, 1);
  for (const bool is_json : {false, true}) {
    // A sink has one form: each logger has its own on the same stream.
    auto& logger = loggers[is_json ? 1 : 0];
    logger =
        std::make_shared<spdlog::async_logger>("woadtide", std::make_shared<spdlog::sinks::stderr_sink_mt>(),
                                               pool, spdlog::async_overflow_policy::overrun_oldest);
    logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
        is_json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ",%v)" : "%Y-%m-%dT%H:%M:%S.%eZ %v",
        spdlog::pattern_time_type::utc));
    logger->flush_on(spdlog::level::info);
  }
  core::set_log_sink(write);
}

void Structured::set_json(bool json) { as_json = json; }

Structured::~Structured() {
  core::set_log_sink(nullptr);
  pool.reset();  // writes what waits, and joins the thread, which must not be the last to let go of a logger
  loggers = {};
}

}  // namespace woadtide::log
