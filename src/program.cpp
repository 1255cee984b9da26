#include "program.hpp"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "cli/command_line.hpp"
#include "core/config.hpp"
#include "core/kin.hpp"
#include "core/log.hpp"
#include "numbers.hpp"
#ifdef WOADTIDE_JOBS
#include "cli/fleet_commands.hpp"
#include "cli/jobs_commands.hpp"
#include "cli/settings_commands.hpp"
#include "config/operator_file.hpp"
#include "jobs/installation.hpp"
#include "log/structured.hpp"
#endif

namespace woadtide {

namespace {

namespace options = boost::program_options;
using StringList = std::vector<std::string>;

constexpr int kExitUsageError = 2;

std::string environment_value(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

int parse_descriptor(const std::string& text) {
  int value = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value < 0)
    throw std::runtime_error("ROUTER_PASSED_SOCKET is not a file descriptor: '" + text + "'");
  return value;
}

// Paths of the two files that a dispatcher reads, from options or the environment.
struct FilePaths {
  std::string config_path = environment_value("ROUTER_CONFIG"),
              operator_path = environment_value("WOADTIDE_OPERATOR");
  void add_operator_option(options::options_description& option_list) {
    option_list.add_options()("operator,o", options::value(&operator_path),
                              "the operator's file (TOML), by default $WOADTIDE_OPERATOR");
  }
  void add_options_to(options::options_description& option_list) {
    option_list.add_options()("config,c", options::value(&config_path),
                              "the platform's config file (JSON), by default $ROUTER_CONFIG");
    add_operator_option(option_list);
  }
};

core::Config load_and_validate(const FilePaths& files) {
  if (files.config_path.empty())
    throw std::runtime_error("no config file: give --config or set ROUTER_CONFIG");
  core::Config config = core::load_config(files.config_path);
  if (config.management.empty()) config.management = environment_value("ROUTER_MANAGEMENT");
  if (const std::string passed = environment_value("ROUTER_PASSED_SOCKET"); !passed.empty())
    config.passed_socket_fd = parse_descriptor(passed);
  config.shared_folder = environment_value("TMPDIR");
  config.control_socket_path = environment_value("WOADTIDE_TETHER");
  config.version = WOADTIDE_VERSION;
  validate_addresses(config);
#ifdef WOADTIDE_JOBS
  if (!files.operator_path.empty()) {
    std::ifstream file(files.operator_path, std::ios::binary);
    char id[17];
    std::snprintf(id, sizeof id, "%016llx",
                  static_cast<unsigned long long>(fnv1a_hash({std::istreambuf_iterator<char>(file), {}})));
    config.settings_id = id;
    const config::OperatorFile operator_file = config::load_operator_file(files.operator_path);
    jobs::validate_addresses(operator_file.jobs);
    for (const std::string& key : operator_file.ignored_keys)
      std::cerr << files.operator_path << ": " << key << ": unknown key of a newer format, ignored\n";
  }
#else
  if (!files.operator_path.empty())
    throw std::runtime_error("--operator: this build has no features that an operator's file configures");
#endif
  return config;
}

#ifdef WOADTIDE_JOBS
// Creates the factory of the durable job service and deducts its descriptors and memory from what the node
// may use.
ExtensionFactory jobs_extension(const config::JobsSettings& part, core::Config& config) {
  const std::size_t needed_descriptors = jobs::required_descriptors(part);
  if (needed_descriptors * 2 > config.max_sockets)
    throw std::runtime_error("jobs.links: " + std::to_string(part.links) + " needs " +
                             std::to_string(needed_descriptors) + " of " +
                             std::to_string(config.max_sockets) + " descriptors; at most half may be used");
  config.max_sockets -= needed_descriptors;
  config.max_memory_mb -= std::min<std::size_t>(config.max_memory_mb / 3, 16);
  return [part](const ExtensionContext& parts) { return std::make_unique<jobs::JobsExtension>(part, parts); };
}

// Applies the settings of the operator's file that can change at run time, and logs those that only take
// effect in the next process.
void reload_operator_file(const std::string& path, config::OperatorFile& active, log::AsyncLog& log) {
  const config::OperatorFile updated = config::load_operator_file(path);
  std::string deferred;
  for (const cli::SettingChange& change : cli::changed_settings(active, updated)) {
    const bool takes_effect_now = cli::applies_on_reload(change.key);
    if (!takes_effect_now) deferred += (deferred.empty() ? "" : ", ") + change.key;
    if (takes_effect_now)
      core::log_line("reload: " + change.key + " from " + change.from + " to " + change.to);
  }
  log.set_json(updated.log.json);
  active.log.json = updated.log.json;
  if (!deferred.empty()) core::log_line("reload: takes effect in the next process: " + deferred);
}
#endif

// Reloads the platform's config file. An invalid file changes nothing: the old config stays in effect.
void reload(Node& node, const std::string& path) {
  try {
    const auto config = core::load_config(path);
    validate_addresses(config);
    node.reload(config);
  } catch (const std::exception& error) {
    core::log_line(std::string("reload: refused: ") + error.what());
  }
}

int serve(const StringList& raw_arguments, const ExtensionFactory& default_extension) {
  FilePaths files;
  cli::ArgumentParser arguments;
  files.add_options_to(arguments.options);
  if (!arguments.parse(raw_arguments, "serve [options]", "Runs the dispatcher until SIGTERM.", 0)) return 0;
  core::Config config = load_and_validate(files);
  // Limits malloc to two arenas: with a thread for each link, an arena per thread would use up the memory
  // limit.
  mallopt(M_ARENA_MAX, 2);
  // Set before the first thread starts, so that all threads inherit the mask and only the main thread
  // receives signals.
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signo : {SIGHUP, SIGTERM, SIGINT}) sigaddset(&signals, signo);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  rlimit descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0)
    config.max_sockets = std::min<std::size_t>(config.max_sockets, descriptors.rlim_cur);
  core::Clock clock;
  ExtensionFactory extension_factory = default_extension;
#ifdef WOADTIDE_JOBS
  std::optional<log::AsyncLog> log;
  config::OperatorFile active;
  if (!files.operator_path.empty()) {
    active = config::load_operator_file(files.operator_path);
    log.emplace(active.log.json, static_cast<std::size_t>(active.log.queue));
    if (active.jobs.enabled) extension_factory = jobs_extension(active.jobs, config);
  }
#endif
  Node node(std::move(config), clock, extension_factory);
  for (int signo = 0; sigwait(&signals, &signo) == 0 && signo == SIGHUP;) {
    reload(node, files.config_path);
#ifdef WOADTIDE_JOBS
    try {
      if (log) reload_operator_file(files.operator_path, active, *log);
    } catch (const std::exception& error) {
      core::log_line(std::string("reload: refused: ") + error.what());
    }
#endif
  }
  node.shut_down();
  return 0;
}

int check_config(const StringList& raw_arguments) {
  FilePaths files;
  cli::ArgumentParser arguments;
  files.add_options_to(arguments.options);
  if (!arguments.parse(raw_arguments, "check-config [options]",
                       "Checks whether the files are valid for serve.", 0))
    return 0;
  const core::Config config = load_and_validate(files);
  const endpoints::EndpointLimits list = ResourceBudget(config.max_sockets, config.max_memory_mb).list_limits;
  std::cout << files.config_path << ": good\n";
  std::cout << files.config_path << ": memory for an endpoint list of up to " << list.max_endpoints
            << " workers, " << list.max_update_bytes / 1'000 << " KB of text\n";
  if (!files.operator_path.empty()) std::cout << files.operator_path << ": good\n";
  return 0;
}

int version(const StringList& raw_arguments) {
  cli::ArgumentParser arguments;
  bool as_json = false;
  arguments.options.add_options()("json", options::bool_switch(&as_json),
                                  "as JSON, with the supported formats");
  if (!arguments.parse(raw_arguments, "version [--json]", "Prints the version.", 0)) return 0;
  if (!as_json) {
    std::cout << "woadtide " WOADTIDE_VERSION "\n";
    return 0;
  }
  nlohmann::json document = {{"version", WOADTIDE_VERSION}, {"kin", core::kSiblingProtocolVersion}};
#ifdef WOADTIDE_JOBS
  document["operator_file"] = config::kFileFormat;
#endif
  std::cout << document.dump() << '\n';
  return 0;
}

#ifdef WOADTIDE_JOBS
int jobs_or_store(const std::string& command, const StringList& raw_arguments) {
  FilePaths files;
  cli::ArgumentParser arguments;
  cli::JobArguments job;
  files.add_operator_option(arguments.options);
  std::string usage, description;
  if (command == "jobs") {
    usage = "jobs list | show KEY | settle KEY [options]";
    description = "Durable jobs of the running process.";
    arguments.options.add_options()("state", options::value(&job.state), "list: only those in this state")(
        "as", options::value(&job.as), "settle: finished or failed")(
        "who", options::value(&job.who), "settle: who decided it")("why", options::value(&job.why),
                                                                   "settle: the reason");
  } else {
    usage = "store check | compact [options]";
    description = "The job store of a stopped dispatcher.";
    arguments.options.add_options()("keep-hours", options::value(&job.keep_hours),
                                    "compact: delete jobs that ended longer ago than this");
  }
  if (!arguments.parse(raw_arguments, usage, description, 2)) return 0;
  if (files.operator_path.empty())
    throw std::runtime_error("no operator's file: give --operator or set WOADTIDE_OPERATOR");
  const auto file = config::load_operator_file(files.operator_path);
  job.positional = arguments.positional;
  return command == "jobs" ? cli::jobs_command(job, file.jobs) : cli::store_command(job, file.jobs);
}
#endif

void print_usage() {
  std::cout << "Usage: woadtide COMMAND [options]; COMMAND --help has each one's options\n\n"
               "  serve         run the dispatcher (the default)\n"
               "  check-config  check whether the files are valid\n"
               "  version       print the version\n"
#ifdef WOADTIDE_JOBS
               "  jobs          durable jobs of the running process: list, show, settle\n"
               "  store         the job store of a stopped dispatcher: check, compact\n"
               "  settings      the operator's file: show, diff, check\n"
               "  supervise     supervise one dispatcher and upgrade it without interruption\n"
               "  rollout       roll out changes to the fleet in stages: plan, start, status, pause, "
               "resume, abort, "
               "history\n"
#endif
      ;
}

int run(const StringList& raw_arguments, const ExtensionFactory& default_extension) {
  const bool has_command = !raw_arguments.empty() && !raw_arguments.front().starts_with("-");
  if (!raw_arguments.empty() && (raw_arguments.front() == "--help" || raw_arguments.front() == "-h"))
    return print_usage(), 0;
  const std::string command = has_command ? raw_arguments.front() : "serve";
  const StringList command_arguments(raw_arguments.begin() + (has_command ? 1 : 0), raw_arguments.end());
  if (command == "serve") return serve(command_arguments, default_extension);
  if (command == "check-config") return check_config(command_arguments);
  if (command == "version") return version(command_arguments);
#ifdef WOADTIDE_JOBS
  if (command == "jobs" || command == "store") return jobs_or_store(command, command_arguments);
  if (command == "settings") return cli::settings_command(command_arguments);
  if (command == "supervise") return cli::supervise_command(command_arguments);
  if (command == "rollout") return cli::rollout_command(command_arguments);
#endif
  throw std::runtime_error("unknown command '" + command + "'");
}

}  // namespace

int run_program(int argc, char** argv, const ExtensionFactory& default_extension) {
  // Blocked first of all: a SIGHUP that arrives before the program waits for it would otherwise end the
  // process.
  sigset_t hangup_signal;
  sigemptyset(&hangup_signal);
  sigaddset(&hangup_signal, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &hangup_signal, nullptr);
  try {
    return run(StringList(argv + 1, argv + argc), default_extension);
  } catch (const std::system_error& error) {  // from the operating system, at startup
    std::cerr << "woadtide: " << error.what() << std::endl;
    return 1;
  } catch (const std::exception& error) {
    std::cerr << "woadtide: " << error.what() << std::endl;
    return kExitUsageError;
  }
}

}  // namespace woadtide
