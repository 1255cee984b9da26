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
#include <stdexcept>
#include <string>
#include <system_error>
#include <utility>

#include "core/config.hpp"
#include "core/log.hpp"
#include "node.hpp"

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

int serve(woadtide::core::Config config, const std::string& path) {
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
  woadtide::Node node(std::move(config), clock);
  for (int caught = 0; sigwait(&signals, &caught) == 0 && caught == SIGHUP;) reload(node, path);
  node.finish();
  return 0;
}

int run(int argc, char** argv) {
  std::string command, path;
  const char* told = std::getenv("ROUTER_CONFIG");
  options::options_description shown("Options");
  shown.add_options()("help,h", "print this page")(
      "config,c", options::value(&path)->default_value(told ? told : "", told ? "$ROUTER_CONFIG" : "none"),
      "the config file");
  options::options_description all(shown);
  all.add_options()("command", options::value(&command)->default_value("serve"));
  options::positional_options_description places;
  places.add("command", 1);
  options::variables_map values;
  options::store(options::command_line_parser(argc, argv).options(all).positional(places).run(), values);
  options::notify(values);

  if (values.count("help")) {
    std::cout << "Usage: woadtide [serve | check-config | version] [options]\n\n"
                 "  serve         run the dispatcher (the default)\n"
                 "  check-config  say whether the config file is good\n"
                 "  version       print the version\n\n"
              << shown;
    return 0;
  }
  if (command == "version") {
    std::cout << "woadtide " WOADTIDE_VERSION "\n";
    return 0;
  }
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
  if (command == "serve") return serve(std::move(config), path);
  std::cout << path << ": good\n";
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
