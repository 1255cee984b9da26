#include "cli/command_line.hpp"

#include <iostream>
#include <stdexcept>

namespace woadtide::cli {

namespace options = boost::program_options;

bool ArgumentParser::parse(const std::vector<std::string>& given, const std::string& usage,
                           const std::string& description, std::size_t max_words) {
  options.add_options()("help,h", "print this page");
  options::options_description all_options(options);
  all_options.add_options()("word", options::value(&positional));
  options::positional_options_description positional_options;
  positional_options.add("word", -1);
  options::variables_map values;
  options::store(
      options::command_line_parser(given).options(all_options).positional(positional_options).run(), values);
  options::notify(values);
  if (values.count("help")) {
    std::cout << "Usage: woadtide " << usage << "\n\n" << description << "\n\n" << options;
    return false;
  }
  if (positional.size() > max_words)
    throw std::runtime_error("too many arguments: '" + positional[max_words] + "'");
  return true;
}

}  // namespace woadtide::cli
