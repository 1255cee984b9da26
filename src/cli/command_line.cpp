#include "cli/command_line.hpp"

#include <iostream>
#include <stdexcept>

namespace woadtide::cli {

namespace options = boost::program_options;

bool Arguments::read(const std::vector<std::string>& given, const std::string& usage, const std::string& what,
                     std::size_t most_words) {
  options.add_options()("help,h", "print this page");
  options::options_description all(options);
  all.add_options()("word", options::value(&words));
  options::positional_options_description places;
  places.add("word", -1);
  options::variables_map values;
  options::store(options::command_line_parser(given).options(all).positional(places).run(), values);
  options::notify(values);
  if (values.count("help")) {
    std::cout << "Usage: woadtide " << usage << "\n\n" << what << "\n\n" << options;
    return false;
  }
  if (words.size() > most_words) throw std::runtime_error("too many words: '" + words[most_words] + "'");
  return true;
}

}  // namespace woadtide::cli
