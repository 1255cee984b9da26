#include "lab/ledger.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <utility>

#include "core/clock.hpp"

namespace woadtide::lab {

using nlohmann::json;

Ledger::Ledger(std::string path) : fd_(::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600)) {
  if (fd_ < 0) throw std::runtime_error(path + ": the ledger cannot be opened");
  std::ifstream file(path);
  std::string line;
  if (std::getline(file, line) && !file.eof()) id_ = json::parse(line).at("ledger").get<std::string>();
  if (id_.empty()) {
    std::random_device device;
    id_ = std::to_string(device()) + '-' + std::to_string(device());
    const std::string text = json({{"ledger", id_}}).dump() + '\n';
    if (::write(fd_, text.data(), text.size()) < 0) throw std::runtime_error(path + ": cannot be written");
  }
  // A torn last line must not run into the next one.
  if (::write(fd_, "\n", 1) < 0) throw std::runtime_error(path + ": cannot be written");
}

Ledger::~Ledger() { ::close(fd_); }

void Ledger::add(const LedgerEntry& entry) {
  const std::string line = json({{"key", entry.key},
                                 {"what", entry.what},
                                 {"epoch", entry.epoch},
                                 {"once", entry.at_most_once},
                                 {"result", entry.result},
                                 {"via", entry.called_address},
                                 {"at_ms", core::Clock().now()}})
                               .dump() +
                           '\n';
  const std::lock_guard lock(mutex_);
  if (::write(fd_, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
    throw std::runtime_error("the ledger cannot be written");
}

std::vector<LedgerEntry> Ledger::read(const std::string& path) {
  std::vector<LedgerEntry> entries;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    const json object = json::parse(line, nullptr, false);
    if (!object.is_object() || !object.contains("key")) continue;
    entries.push_back({object.at("key"), object.at("what"), object.at("epoch"), object.at("once"),
                       object.at("result"), object.value("via", ""), object.value("at_ms", 0.0)});
  }
  return entries;
}

}  // namespace woadtide::lab
