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

std::shared_ptr<spdlog::details::thread_pool> writer_pool;
std::array<std::shared_ptr<spdlog::logger>, 2>
    loggers;  // text, JSON; separate, so that no line mixes both formats
std::atomic<bool> json_enabled{false};

// Logs one line. The component before the first ": ", such as "jobs" in "jobs: KEY is in doubt", becomes the
// field "part" in JSON.
void write(std::string_view text) {
  const bool json = json_enabled;
  spdlog::logger& logger = *loggers[json ? 1 : 0];
  if (!json) return logger.info(spdlog::string_view_t(text.data(), text.size()));
  const auto separator = text.find(": ");
  nlohmann::json line = {
      {"part", separator == std::string_view::npos ? "" : std::string(text.substr(0, separator))},
      {"text", std::string(separator == std::string_view::npos ? text : text.substr(separator + 2))}};
  if (const auto dropped = writer_pool->overrun_counter(); dropped > 0) line["dropped_lines"] = dropped;
  // The fields follow the time, which the pattern of the JSON logger writes.
  const std::string fields = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).substr(1);
  logger.info(spdlog::string_view_t(fields.data(), fields.size()));
}

}  // namespace

AsyncLog::AsyncLog(bool json, std::size_t queue) {
  json_enabled = json;
  writer_pool = std::make_shared<spdlog::details::thread_pool>(queue, 1);
  for (const bool is_json : {false, true}) {
    // A sink has a single format, so each logger has its own sink on the same stream.
    auto& logger = loggers[is_json ? 1 : 0];
    logger =
        std::make_shared<spdlog::async_logger>("woadtide", std::make_shared<spdlog::sinks::stderr_sink_mt>(),
                                               writer_pool, spdlog::async_overflow_policy::overrun_oldest);
    logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
        is_json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ",%v)" : "%Y-%m-%dT%H:%M:%S.%eZ %v",
        spdlog::pattern_time_type::utc));
    logger->flush_on(spdlog::level::info);
  }
  core::set_log_sink(write);
}

void AsyncLog::set_json(bool json) { json_enabled = json; }

AsyncLog::~AsyncLog() {
  core::set_log_sink(nullptr);
  writer_pool.reset();  // writes the queued lines and joins the thread, which must not hold the last
                        // reference to a logger
  loggers = {};
}

}  // namespace woadtide::log
