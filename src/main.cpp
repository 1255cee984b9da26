// The command line of woadtide.
#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "core/config.hpp"
#include "core/log.hpp"
#include "node.hpp"
#ifdef WOADTIDE_JOBS
#include "cli/jobs_commands.hpp"
#include "config/operator_file.hpp"
#include "jobs/installation.hpp"
#include "log/structured.hpp"
#endif

namespace {

namespace options = boost::program_options;

constexpr int kBadUse = 2;

int descriptor(const std::string& text) {
  int value = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value < 0)
    throw std::runtime_error("ROUTER_PASSED_SOCKET is no descriptor: '" + text + "'");
  return value;
}

// A file that cannot be used changes nothing: the old config stays.
void reload(woadtide::Node& node, const std::string& path) {
  try {
    const auto config = woadtide::core::load_config(path);
    woadtide::check_addresses(config);
    node.reload(config);
  } catch (const std::exception& wrong) {
    woadtide::core::log_line(std::string("reload: refused: ") + wrong.what());
  }
}

#ifdef WOADTIDE_JOBS
// Durable jobs take their descriptors and memory from what the node shares out.
woadtide::Adder jobs_adder(const woadtide::config::JobsPart& part, woadtide::core::Config& config) {
  const std::size_t wanted = woadtide::jobs::descriptors(part);
  if (wanted * 2 > config.sockets)
    throw std::runtime_error("jobs.links: " + std::to_string(part.links) + " would take " +
                             std::to_string(wanted) + " of " + std::to_string(config.sockets) +
                             " descriptors; half is the most");
  config.sockets -= wanted;
  config.memory_mb -= std::min<std::size_t>(config.memory_mb / 3, 16);
  return [part](const woadtide::Parts& parts) {
    return std::make_unique<woadtide::jobs::Installation>(part, parts);
  };
}
#endif

int serve(woadtide::core::Config config, const std::string& path,
          [[maybe_unused]] const std::string& operator_path) {
  // Few arenas: with a thread for each link, one each would eat the memory limit.
  mallopt(M_ARENA_MAX, 2);
  // Before the first thread, so that all inherit it: the main thread alone waits for signals.
  sigset_t signals;
  sigemptyset(&signals);
  for (const int one : {SIGHUP, SIGTERM, SIGINT}) sigaddset(&signals, one);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  rlimit descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0)
    config.sockets = std::min<std::size_t>(config.sockets, descriptors.rlim_cur);
  woadtide::core::Clock clock;
  woadtide::Adder adder;
#ifdef WOADTIDE_JOBS
  std::optional<woadtide::log::Structured> log;
  if (!operator_path.empty()) {
    const auto file = woadtide::config::load_operator_file(operator_path);
    log.emplace(file.log.json, static_cast<std::size_t>(file.log.queue));
    if (file.jobs.enabled) adder = jobs_adder(file.jobs, config);
  }
#endif
  woadtide::Node node(std::move(config), clock, adder);
  for (int caught = 0; sigwait(&signals, &caught) == 0 && caught == SIGHUP;) reload(node, path);
  node.finish();
  return 0;
}

int run(int argc, char** argv) {
  std::string command, path, operator_path;
  std::vector<std::string> words;
  const char* told = std::getenv("ROUTER_CONFIG");
  const char* told_operator = std::getenv("WOADTIDE_OPERATOR");
  options::options_description shown("Options");
  shown.add_options()("help,h", "print this page")(
      "config,c", options::value(&path)->default_value(told ? told : "", told ? "$ROUTER_CONFIG" : "none"),
      "the config file");
  shown.add_options()(
      "operator,o",
      options::value(&operator_path)
          ->default_value(told_operator ? told_operator : "", told_operator ? "$WOADTIDE_OPERATOR" : "none"),
      "the operator's file, TOML");
#ifdef WOADTIDE_JOBS
  woadtide::cli::Words job;
  shown.add_options()("state", options::value(&job.state), "jobs list: only those in this state")(
      "as", options::value(&job.as), "jobs settle: finished or failed")(
      "who", options::value(&job.who), "jobs settle: who says so")("why", options::value(&job.why),
                                                                   "jobs settle: and why")(
      "keep-hours", options::value(&job.keep_hours), "store compact: drop what ended earlier than this");
#endif
  options::options_description all(shown);
  all.add_options()("command", options::value(&command)->default_value("serve"))("word",
                                                                                 options::value(&words));
  options::positional_options_description places;
  places.add("command", 1).add("word", -1);
  options::variables_map values;
  options::store(options::command_line_parser(argc, argv).options(all).positional(places).run(), values);
  options::notify(values);

  if (values.count("help")) {
    std::cout << "Usage: woadtide COMMAND [options]\n\n"
                 "  serve         run the dispatcher (the default)\n"
                 "  check-config  say whether the config file is good\n"
                 "  version       print the version\n"
#ifdef WOADTIDE_JOBS
                 "  jobs list | show KEY | settle KEY   of the running process\n"
                 "  store check | compact               of one that does not run\n"
#endif
                 "\n"
              << shown;
    return 0;
  }
  if (command == "version") {
    std::cout << "woadtide " WOADTIDE_VERSION "\n";
    return 0;
  }
#ifdef WOADTIDE_JOBS
  if (command == "jobs" || command == "store") {
    if (operator_path.empty())
      throw std::runtime_error("no operator's file: give --operator or set WOADTIDE_OPERATOR");
    const auto file = woadtide::config::load_operator_file(operator_path);
    job.places = words;
    return command == "jobs" ? woadtide::cli::jobs_command(job, file.jobs)
                             : woadtide::cli::store_command(job, file.jobs);
  }
#else
  if (!operator_path.empty())
    throw std::runtime_error("--operator: this build has no parts that an operator's file sets");
#endif
  if (!words.empty()) throw std::runtime_error("too many words: '" + words.front() + "'");
  if (command != "serve" && command != "check-config")
    throw std::runtime_error("unknown command '" + command + "'");
  if (path.empty()) throw std::runtime_error("no config file: give --config or set ROUTER_CONFIG");
  auto config = woadtide::core::load_config(path);
  const char* management = std::getenv("ROUTER_MANAGEMENT");
  if (config.management.empty() && management) config.management = management;
  const char* passed = std::getenv("ROUTER_PASSED_SOCKET");
  if (passed && *passed) config.passed_socket = descriptor(passed);
  if (const char* folder = std::getenv("TMPDIR")) config.folder = folder;
  woadtide::check_addresses(config);
#ifdef WOADTIDE_JOBS
  if (!operator_path.empty())
    woadtide::jobs::check_addresses(woadtide::config::load_operator_file(operator_path).jobs);
#endif
  if (command == "serve") return serve(std::move(config), path, operator_path);
  std::cout << path << ": good\n";
  if (!operator_path.empty()) std::cout << operator_path << ": good\n";
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  // Before anything else: until it is waited for, a SIGHUP would end the program.
  sigset_t hang_up;
  sigemptyset(&hang_up);
  sigaddset(&hang_up, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &hang_up, nullptr);
  try {
    return run(argc, argv);
  } catch (const std::system_error& failed) {  // the machine's word, at the start
    std::cerr << "woadtide: " << failed.what() << std::endl;
    return 1;
  } catch (const std::exception& wrong) {
    std::cerr << "woadtide: " << wrong.what() << std::endl;
    return kBadUse;
  }
}
