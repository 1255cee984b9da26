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
using Words = std::vector<std::string>;

constexpr int kBadUse = 2;

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

int descriptor(const std::string& text) {
  int value = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value < 0)
    throw std::runtime_error("ROUTER_PASSED_SOCKET is no descriptor: '" + text + "'");
  return value;
}

// The two files that a dispatcher is told of, by option or by the environment.
struct Files {
  std::string config = environment("ROUTER_CONFIG"), operators = environment("WOADTIDE_OPERATOR");
  void add_operator(options::options_description& to) {
    to.add_options()("operator,o", options::value(&operators),
                     "the operator's file, TOML; $WOADTIDE_OPERATOR");
  }
  void add(options::options_description& to) {
    to.add_options()("config,c", options::value(&config), "the platform's file, JSON; $ROUTER_CONFIG");
    add_operator(to);
  }
};

core::Config load(const Files& files) {
  if (files.config.empty()) throw std::runtime_error("no config file: give --config or set ROUTER_CONFIG");
  core::Config config = core::load_config(files.config);
  if (config.management.empty()) config.management = environment("ROUTER_MANAGEMENT");
  if (const std::string passed = environment("ROUTER_PASSED_SOCKET"); !passed.empty())
    config.passed_socket = descriptor(passed);
  config.folder = environment("TMPDIR");
  config.tether = environment("WOADTIDE_TETHER");
  config.version = WOADTIDE_VERSION;
  check_addresses(config);
#ifdef WOADTIDE_JOBS
  if (!files.operators.empty()) {
    std::ifstream file(files.operators, std::ios::binary);
    char id[17];
    std::snprintf(id, sizeof id, "%016llx",
                  static_cast<unsigned long long>(hash_of({std::istreambuf_iterator<char>(file), {}})));
    config.settings_id = id;
    const config::OperatorFile read = config::load_operator_file(files.operators);
    jobs::check_addresses(read.jobs);
    for (const std::string& key : read.passed_over)
      std::cerr << files.operators << ": " << key << ": of a newer program, passed over\n";
  }
#else
  if (!files.operators.empty())
    throw std::runtime_error("--operator: this build has no parts that an operator's file sets");
#endif
  return config;
}

#ifdef WOADTIDE_JOBS
// Durable jobs take their descriptors and memory from what the node shares out.
Adder jobs_adder(const config::JobsPart& part, core::Config& config) {
  const std::size_t wanted = jobs::descriptors(part);
  if (wanted * 2 > config.sockets)
    throw std::runtime_error("jobs.links: " + std::to_string(part.links) + " would take " +
                             std::to_string(wanted) + " of " + std::to_string(config.sockets) +
                             " descriptors; half is the most");
  config.sockets -= wanted;
  config.memory_mb -= std::min<std::size_t>(config.memory_mb / 3, 16);
  return [part](const Parts& parts) { return std::make_unique<jobs::Installation>(part, parts); };
}

// What of the operator's file can change in service does; the rest is named, and waits for a next process.
void reload_operators(const std::string& path, config::OperatorFile& served, log::Structured& log) {
  const config::OperatorFile fresh = config::load_operator_file(path);
  std::string waits;
  for (const cli::Changed& change : cli::differences(served, fresh)) {
    const bool now = cli::changes_live(change.key);
    if (!now) waits += (waits.empty() ? "" : ", ") + change.key;
    if (now) core::log_line("reload: " + change.key + " from " + change.from + " to " + change.to);
  }
  log.set_json(fresh.log.json);
  served.log.json = fresh.log.json;
  if (!waits.empty()) core::log_line("reload: waits for the next process: " + waits);
}
#endif

// A file that cannot be used changes nothing: the old config stays.
void reload(Node& node, const std::string& path) {
  try {
    const auto config = core::load_config(path);
    check_addresses(config);
    node.reload(config);
  } catch (const std::exception& wrong) {
    core::log_line(std::string("reload: refused: ") + wrong.what());
  }
}

int serve(const Words& given, const Adder& other) {
  Files files;
  cli::Arguments arguments;
  files.add(arguments.options);
  if (!arguments.read(given, "serve [options]", "Runs the dispatcher, until SIGTERM.", 0)) return 0;
  core::Config config = load(files);
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
  core::Clock clock;
  Adder adder = other;
#ifdef WOADTIDE_JOBS
  std::optional<log::Structured> log;
  config::OperatorFile served;
  if (!files.operators.empty()) {
    served = config::load_operator_file(files.operators);
    log.emplace(served.log.json, static_cast<std::size_t>(served.log.queue));
    if (served.jobs.enabled) adder = jobs_adder(served.jobs, config);
  }
#endif
  Node node(std::move(config), clock, adder);
  for (int caught = 0; sigwait(&signals, &caught) == 0 && caught == SIGHUP;) {
    reload(node, files.config);
#ifdef WOADTIDE_JOBS
    try {
      if (log) reload_operators(files.operators, served, *log);
    } catch (const std::exception& wrong) {
      core::log_line(std::string("reload: refused: ") + wrong.what());
    }
#endif
  }
  node.finish();
  return 0;
}

int check_config(const Words& given) {
  Files files;
  cli::Arguments arguments;
  files.add(arguments.options);
  if (!arguments.read(given, "check-config [options]", "Says whether the files are good to serve under.", 0))
    return 0;
  const core::Config config = load(files);
  const endpoints::EndpointLimits list = Budget(config.sockets, config.memory_mb).list;
  std::cout << files.config << ": good\n";
  std::cout << files.config << ": memory for an endpoint list of up to " << list.max_endpoints << " workers, "
            << list.max_update_bytes / 1'000 << " KB of text\n";
  if (!files.operators.empty()) std::cout << files.operators << ": good\n";
  return 0;
}

int version(const Words& given) {
  cli::Arguments arguments;
  bool as_json = false;
  arguments.options.add_options()("json", options::bool_switch(&as_json), "with the formats that it reads");
  if (!arguments.read(given, "version [--json]", "Prints the version.", 0)) return 0;
  if (!as_json) {
    std::cout << "woadtide " WOADTIDE_VERSION "\n";
    return 0;
  }
  nlohmann::json said = {{"version", WOADTIDE_VERSION}, {"kin", core::kKinVersion}};
#ifdef WOADTIDE_JOBS
  said["operator_file"] = config::kFileFormat;
#endif
  std::cout << said.dump() << '\n';
  return 0;
}

#ifdef WOADTIDE_JOBS
int jobs_or_store(const std::string& command, const Words& given) {
  Files files;
  cli::Arguments arguments;
  cli::Words job;
  files.add_operator(arguments.options);
  std::string usage, what;
  if (command == "jobs") {
    usage = "jobs list | show KEY | settle KEY [options]";
    what = "Durable jobs of the running process.";
    arguments.options.add_options()("state", options::value(&job.state), "list: only those in this state")(
        "as", options::value(&job.as), "settle: finished or failed")(
        "who", options::value(&job.who), "settle: who says so")("why", options::value(&job.why),
                                                                "settle: and why");
  } else {
    usage = "store check | compact [options]";
    what = "The store of a dispatcher that does not run.";
    arguments.options.add_options()("keep-hours", options::value(&job.keep_hours),
                                    "compact: drop what ended earlier than this");
  }
  if (!arguments.read(given, usage, what, 2)) return 0;
  if (files.operators.empty())
    throw std::runtime_error("no operator's file: give --operator or set WOADTIDE_OPERATOR");
  const auto file = config::load_operator_file(files.operators);
  job.places = arguments.words;
  return command == "jobs" ? cli::jobs_command(job, file.jobs) : cli::store_command(job, file.jobs);
}
#endif

void print_commands() {
  std::cout << "Usage: woadtide COMMAND [options]; COMMAND --help has each one's options\n\n"
               "  serve         run the dispatcher (the default)\n"
               "  check-config  say whether the files are good\n"
               "  version       print the version\n"
#ifdef WOADTIDE_JOBS
               "  jobs          durable jobs of the running process: list, show, settle\n"
               "  store         their store, of one that does not run: check, compact\n"
               "  settings      the operator's file: show, diff, check\n"
               "  supervise     run the parent of one dispatcher, which changes its version in service\n"
               "  rollout       change the whole fleet in stages: plan, start, status, pause, resume, abort, "
               "history\n"
#endif
      ;
}

int run(const Words& given, const Adder& other) {
  const bool named = !given.empty() && !given.front().starts_with("-");
  if (!given.empty() && (given.front() == "--help" || given.front() == "-h")) return print_commands(), 0;
  const std::string command = named ? given.front() : "serve";
  const Words rest(given.begin() + (named ? 1 : 0), given.end());
  if (command == "serve") return serve(rest, other);
  if (command == "check-config") return check_config(rest);
  if (command == "version") return version(rest);
#ifdef WOADTIDE_JOBS
  if (command == "jobs" || command == "store") return jobs_or_store(command, rest);
  if (command == "settings") return cli::settings_command(rest);
  if (command == "supervise") return cli::supervise_command(rest);
  if (command == "rollout") return cli::rollout_command(rest);
#endif
  throw std::runtime_error("unknown command '" + command + "'");
}

}  // namespace

int run_program(int argc, char** argv, const Adder& other) {
  // Before anything else: until it is waited for, a SIGHUP would end the program.
  sigset_t hang_up;
  sigemptyset(&hang_up);
  sigaddset(&hang_up, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &hang_up, nullptr);
  try {
    return run(Words(argv + 1, argv + argc), other);
  } catch (const std::system_error& failed) {  // the machine's word, at the start
    std::cerr << "woadtide: " << failed.what() << std::endl;
    return 1;
  } catch (const std::exception& wrong) {
    std::cerr << "woadtide: " << wrong.what() << std::endl;
    return kBadUse;
  }
}

}  // namespace woadtide
