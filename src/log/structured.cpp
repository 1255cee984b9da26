#include "log/structured.hpp"

#include <spdlog/async.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>
#include <string>

#include "core/log.hpp"

namespace woadtide::log {

namespace {

std::shared_ptr<spdlog::details::thread_pool> pool;
std::shared_ptr<spdlog::logger> logger;
bool as_json = false;

// "jobs: KEY is in doubt" is of the part "jobs".
void write(std::string_view text) {
  if (!as_json) return logger->info(spdlog::string_view_t(text.data(), text.size()));
  const auto colon = text.find(": ");
  nlohmann::json line = {
      {"part", colon == std::string_view::npos ? "" : std::string(text.substr(0, colon))},
      {"text", std::string(colon == std::string_view::npos ? text : text.substr(colon + 2))}};
  if (const auto dropped = pool->overrun_counter(); dropped > 0) line["dropped_lines"] = dropped;
  // The fields stand behind the time, which the pattern writes.
  const std::string fields = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).substr(1);
  logger->info(spdlog::string_view_t(fields.data(), fields.size()));
}

}  // namespace

Structured::Structured(bool json, std::size_t queue) {
  as_json = json;
  pool = std::make_shared<spdlog::details::thread_pool>(queue, 1);
  logger =
      std::make_shared<spdlog::async_logger>("woadtide", std::make_shared<spdlog::sinks::stderr_sink_mt>(),
                                             pool, spdlog::async_overflow_policy::overrun_oldest);
  logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ",%v)" : "%Y-%m-%dT%H:%M:%S.%eZ %v",
      spdlog::pattern_time_type::utc));
  logger->flush_on(spdlog::level::info);
  core::set_log_sink(write);
}

Structured::~Structured() {
  core::set_log_sink(nullptr);
  pool.reset();  // writes what waits, and joins the thread, which must not be the last to let go of the
                 // logger
  logger.reset();
}

}  // namespace woadtide::log
