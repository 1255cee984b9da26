// One sub-command's words: its own options and its own --help, and one line for what it does not know.
#pragma once

#include <boost/program_options.hpp>
#include <string>
#include <vector>

namespace woadtide::cli {

struct Arguments {
  boost::program_options::options_description options{"Options"};
  std::vector<std::string> words;  // what is no option
  // False where --help was asked for, and printed: `usage`, what it does, and the options. Throws
  // std::runtime_error or boost's own, with one line, for an unknown option or more than `most_words`.
  bool read(const std::vector<std::string>& given, const std::string& usage, const std::string& what,
            std::size_t most_words);
};

}  // namespace woadtide::cli
