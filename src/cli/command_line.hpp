// Command line of one sub-command: its own options and --help, and a one-line error for anything else.
#pragma once

#include <boost/program_options.hpp>
#include <string>
#include <vector>

namespace woadtide::cli {

// The options and positional arguments of a sub-command. Add the options, then call parse().
struct ArgumentParser {
  boost::program_options::options_description options{"Options"};
  std::vector<std::string> positional;  // positional arguments
  // Parses `given`. Returns false if --help was given; then `usage`, `description` and the options
  // have been printed. Throws std::runtime_error or an exception of Boost, with one line, for an unknown
  // option or more than `max_words` positional arguments.
  bool parse(const std::vector<std::string>& given, const std::string& usage, const std::string& description,
             std::size_t max_words);
};

}  // namespace woadtide::cli
