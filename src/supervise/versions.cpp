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
  bool ok = static_cast<bool>(fd);
  for (std::size_t written = 0; ok && written < bytes.size();) {
    const ssize_t result = ::write(fd.get(), bytes.data() + written, bytes.size() - written);
    ok = result > 0;
    if (ok) written += static_cast<std::size_t>(result);
  }
  if (!ok || ::fsync(fd.get()) != 0) throw std::runtime_error(path.string() + ": cannot be written");
}

}  // namespace

Version Versions::copy(const std::string& program, const std::string& settings) const {
  const std::string program_bytes = contents(program),
                    settings_bytes = settings.empty() ? "" : contents(settings);
  const std::string hashed = program_bytes + '\n' + settings.substr(0, 1) + settings_bytes;
  char id[17];
  std::snprintf(id, sizeof id, "%016" PRIx64,
                static_cast<std::uint64_t>(XXH3_64bits(hashed.data(), hashed.size())));
  const fs::path folder = fs::path(folder_) / id, temporary = fs::path(folder_) / (std::string(id) + ".new");
  Version version{id, folder / "woadtide", settings.empty() ? "" : folder / "operator.toml", 1};
  if (fs::exists(folder)) return version;
  std::error_code ignored;
  fs::remove_all(temporary, ignored);
  fs::create_directories(temporary);
  write_synced(temporary / "woadtide", program_bytes, 0700);
  if (!settings.empty()) write_synced(temporary / "operator.toml", settings_bytes, 0600);
  fs::rename(temporary, folder);  // atomic: the copy is complete or absent
  return version;
}

void Versions::keep_only(const std::vector<std::string>& ids) const {
  std::error_code ignored;
  for (const auto& entry : fs::directory_iterator(folder_, ignored))
    if (std::find(ids.begin(), ids.end(), entry.path().filename().string()) == ids.end())
      fs::remove_all(entry.path(), ignored);
}

}  // namespace woadtide::supervise
