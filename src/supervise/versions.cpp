#include "supervise/versions.hpp"

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "park/fd.hpp"

namespace woadtide::supervise {

namespace fs = std::filesystem;

namespace {

std::string contents(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file || !fs::is_regular_file(path)) throw std::runtime_error(path + ": cannot be read");
  return {std::istreambuf_iterator<char>(file), {}};
}

void write_synced(const fs::path& path, const std::string& bytes, int mode) {
  const park::Fd fd(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, mode));
  bool good = static_cast<bool>(fd);
  for (std::size_t at = 0; good && at < bytes.size();) {
    const ssize_t went = ::write(fd.get(), bytes.data() + at, bytes.size() - at);
    good = went > 0;
    if (good) at += static_cast<std::size_t>(went);
  }
  if (!good || ::fsync(fd.get()) != 0) throw std::runtime_error(path.string() + ": cannot be written");
}

}  // namespace

Version Versions::take(const std::string& program, const std::string& settings) const {
  const std::string code = contents(program), text = settings.empty() ? "" : contents(settings);
  const std::string both = code + '\n' + settings.substr(0, 1) + text;
  char id[17];
  std::snprintf(id, sizeof id, "%016" PRIx64,
                static_cast<std::uint64_t>(XXH3_64bits(both.data(), both.size())));
  const fs::path place = fs::path(folder_) / id, fresh = fs::path(folder_) / (std::string(id) + ".new");
  Version version{id, place / "woadtide", settings.empty() ? "" : place / "operator.toml", 1};
  if (fs::exists(place)) return version;
  std::error_code ignored;
  fs::remove_all(fresh, ignored);
  fs::create_directories(fresh);
  write_synced(fresh / "woadtide", code, 0700);
  if (!settings.empty()) write_synced(fresh / "operator.toml", text, 0600);
  fs::rename(fresh, place);  // whole, or not there
  return version;
}

void Versions::keep_only(const std::vector<std::string>& ids) const {
  std::error_code ignored;
  for (const auto& entry : fs::directory_iterator(folder_, ignored))
    if (std::find(ids.begin(), ids.end(), entry.path().filename().string()) == ids.end())
      fs::remove_all(entry.path(), ignored);
}

}  // namespace woadtide::supervise
