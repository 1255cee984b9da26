#include "cli/jobs_commands.hpp"

#include <ctime>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "net/http.hpp"
#include "net/socket.hpp"
#include "store/store.hpp"

namespace woadtide::cli {

namespace {

constexpr double kPatienceMs = 5'000;

struct Said {
  int status = 0;
  std::string body;
};

Said ask(const std::string& where, const std::string& method, const std::string& target,
         const std::string& body) {
  if (where.empty()) throw std::runtime_error("jobs.operators is not set in the operator's file");
  core::Clock clock;
  const net::Address address(where);
  net::Socket socket = net::Socket::make(address);
  if (!socket.connect(address, kPatienceMs)) throw std::runtime_error("nobody answers at " + where);
  const double until = clock.now() + kPatienceMs;
  const std::string head = method + ' ' + target + " HTTP/1.1\r\nHost: " + where +
                           "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
                           "\r\n\r\n";
  if (socket.send({head, body}, until, clock) != net::Io::done)
    throw std::runtime_error(where + " broke off");
  std::string all;
  std::vector<char> some(16'384);
  std::size_t got = 0;
  net::Io io = net::Io::done;
  while ((io = socket.receive(some.data(), some.size(), got, until, clock)) == net::Io::done)
    all.append(some.data(), got);
  const std::size_t length = net::head_length(all);
  if (io != net::Io::ended || length == 0) throw std::runtime_error(where + " broke off");
  return {net::read_answer_head(std::string_view(all).substr(0, length)).status, all.substr(length)};
}

std::string time_of(double unix_ms) {
  const auto second = static_cast<std::time_t>(unix_ms / 1000);
  std::tm utc{};
  gmtime_r(&second, &utc);
  char text[32];
  std::strftime(text, sizeof text, "%FT%TZ", &utc);
  return text;
}

void print_line(const nlohmann::json& job) {
  std::cout << job.at("state").get<std::string>() << '\t' << job.at("key").get<std::string>() << '\t'
            << job.at("class").get<std::string>() << "\tepoch " << job.at("epoch") << '\t'
            << time_of(job.at("changed")) << '\t' << job.at("worker").get<std::string>() << '\t'
            << job.at("why").get<std::string>() << '\n';
}

std::string escaped(const std::string& text) {
  for (const char c : text)
    if (!net::is_token(std::string_view(&c, 1)) || c == '&' || c == '%')
      throw std::runtime_error("a name is of letters, digits and -._~ here: '" + text + "'");
  return text;
}

}  // namespace

int jobs_command(const Words& words, const config::JobsPart& part) {
  const std::string what = words.places.empty() ? "" : words.places[0];
  const auto key = [&] {
    if (words.places.size() != 2) throw std::runtime_error("jobs " + what + " wants one KEY");
    return escaped(words.places[1]);
  };
  Said said;
  if (what == "list" && words.places.size() == 1) {
    said = ask(part.operators, "GET", "/jobs" + (words.state.empty() ? "" : "?state=" + escaped(words.state)),
               "");
  } else if (what == "show") {
    said = ask(part.operators, "GET", "/jobs/" + key() + "/record", "");
  } else if (what == "settle") {
    if (words.as.empty() || words.who.empty() || words.why.empty())
      throw std::runtime_error("jobs settle KEY wants --as finished|failed, --who NAME and --why TEXT");
    said =
        ask(part.operators, "POST",
            "/jobs/" + key() + "/settle?as=" + escaped(words.as) + "&who=" + escaped(words.who), words.why);
  } else {
    throw std::runtime_error("jobs list [--state S], jobs show KEY or jobs settle KEY");
  }
  if (said.status != 200) {
    std::cerr << "woadtide: " << said.body;
    return 1;
  }
  if (what == "settle") {
    std::cout << said.body;
    return 0;
  }
  std::size_t from = 0;
  for (std::size_t end = 0; (end = said.body.find('\n', from)) != std::string::npos; from = end + 1) {
    const auto job = nlohmann::json::parse(said.body.substr(from, end - from));
    if (what == "list")
      print_line(job);
    else
      std::cout << job.dump(2) << '\n';
  }
  return 0;
}

int store_command(const Words& words, const config::JobsPart& part) {
  const std::string what = words.places.size() == 1 ? words.places[0] : "";
  if (what != "check" && what != "compact") throw std::runtime_error("store check or store compact");
  if (part.folder.empty()) throw std::runtime_error("jobs.folder is not set in the operator's file");
  store::Options options;
  options.folder = part.folder;
  options.most_bytes = static_cast<std::uint64_t>(part.most_mb) * 1'000'000;
  store::Store store(options);
  if (what == "check") {
    std::cout << part.folder << ": good, " << store.check() << " jobs, " << store.bytes_used() << " bytes\n";
    return 0;
  }
  const auto hours = static_cast<double>(words.keep_hours >= 0 ? words.keep_hours : part.keep_hours);
  const double now = core::Clock().now();
  std::size_t dropped = 0, packed = 0;
  for (;;) {
    const auto done = store.compact(now - hours * 3'600'000, 1'000);
    dropped += done.dropped;
    packed += done.packed;
    if (done.dropped + done.packed == 0) break;
  }
  std::cout << part.folder << ": " << dropped << " jobs dropped, " << packed << " packed, "
            << store.bytes_used() << " bytes\n";
  return 0;
}

}  // namespace woadtide::cli
