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

constexpr double kCallTimeoutMs = 5'000;

struct Response {
  int status = 0;
  std::string body;
};

// Sends one HTTP request to the operators' address. Throws std::runtime_error if there is no complete
// response.
Response send_request(const std::string& address_text, const std::string& method, const std::string& target,
                      const std::string& body) {
  if (address_text.empty()) throw std::runtime_error("jobs.operators is not set in the operator's file");
  core::Clock clock;
  const net::Address address(address_text);
  net::Socket socket = net::Socket::create(address);
  if (!socket.connect(address, kCallTimeoutMs)) throw std::runtime_error("no answer from " + address_text);
  const double deadline = clock.now() + kCallTimeoutMs;
  const std::string head = method + ' ' + target + " HTTP/1.1\r\nHost: " + address_text +
                           "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
                           "\r\n\r\n";
  if (socket.send({head, body}, deadline, clock) != net::IoResult::done)
    throw std::runtime_error(address_text + " closed the connection early");
  std::string received;
  std::vector<char> buffer(16'384);
  std::size_t got = 0;
  net::IoResult io = net::IoResult::done;
  while ((io = socket.receive(buffer.data(), buffer.size(), got, deadline, clock)) == net::IoResult::done)
    received.append(buffer.data(), got);
  const std::size_t length = net::head_length(received);
  if (io != net::IoResult::end_of_stream || length == 0)
    throw std::runtime_error(address_text + " closed the connection early");
  return {net::parse_response_head(std::string_view(received).substr(0, length)).status,
          received.substr(length)};
}

// Formats milliseconds since the Unix epoch as UTC.
std::string utc_time(double unix_ms) {
  const auto second = static_cast<std::time_t>(unix_ms / 1000);
  std::tm utc{};
  gmtime_r(&second, &utc);
  char text[32];
  std::strftime(text, sizeof text, "%FT%TZ", &utc);
  return text;
}

void print_summary(const nlohmann::json& job) {
  std::cout << job.at("state").get<std::string>() << '\t' << job.at("key").get<std::string>() << '\t'
            << job.at("class").get<std::string>() << "\tepoch " << job.at("epoch") << '\t'
            << utc_time(job.at("changed")) << '\t' << job.at("worker").get<std::string>() << '\t'
            << job.at("why").get<std::string>() << '\n';
}

// Returns `text` if it can be part of a URL without escaping.
std::string checked_name(const std::string& text) {
  for (const char c : text)
    if (!net::is_token(std::string_view(&c, 1)) || c == '&' || c == '%')
      throw std::runtime_error("a name may contain only letters, digits and -._~: '" + text + "'");
  return text;
}

}  // namespace

int jobs_command(const JobArguments& arguments, const config::JobsSettings& settings) {
  const std::string command = arguments.positional.empty() ? "" : arguments.positional[0];
  const auto key = [&] {
    if (arguments.positional.size() != 2) throw std::runtime_error("jobs " + command + " needs one KEY");
    return checked_name(arguments.positional[1]);
  };
  Response response;
  if (command == "list" && arguments.positional.size() == 1) {
    response = send_request(
        settings.operators, "GET",
        "/jobs" + (arguments.state.empty() ? "" : "?state=" + checked_name(arguments.state)), "");
  } else if (command == "show") {
    response = send_request(settings.operators, "GET", "/jobs/" + key() + "/record", "");
  } else if (command == "settle") {
    if (arguments.as.empty() || arguments.who.empty() || arguments.why.empty())
      throw std::runtime_error("jobs settle KEY needs --as finished|failed, --who NAME and --why TEXT");
    response = send_request(
        settings.operators, "POST",
        "/jobs/" + key() + "/settle?as=" + checked_name(arguments.as) + "&who=" + checked_name(arguments.who),
        arguments.why);
  } else {
    throw std::runtime_error("jobs: expected list [--state S], show KEY or settle KEY");
  }
  if (response.status != 200) {
    std::cerr << "woadtide: " << response.body;
    return 1;
  }
  if (command == "settle") {
    std::cout << response.body;
    return 0;
  }
  std::size_t line_start = 0;
  for (std::size_t line_end = 0; (line_end = response.body.find('\n', line_start)) != std::string::npos;
       line_start = line_end + 1) {
    const auto job = nlohmann::json::parse(response.body.substr(line_start, line_end - line_start));
    if (command == "list")
      print_summary(job);
    else
      std::cout << job.dump(2) << '\n';
  }
  return 0;
}

int store_command(const JobArguments& arguments, const config::JobsSettings& settings) {
  const std::string command = arguments.positional.size() == 1 ? arguments.positional[0] : "";
  if (command != "check" && command != "compact")
    throw std::runtime_error("store: expected check or compact");
  if (settings.folder.empty()) throw std::runtime_error("jobs.folder is not set in the operator's file");
  store::Options options;
  options.folder = settings.folder;
  options.max_bytes = static_cast<std::uint64_t>(settings.most_mb) * 1'000'000;
  store::Store store(options);
  if (command == "check") {
    std::cout << settings.folder << ": good, " << store.check() << " jobs, " << store.bytes_used()
              << " bytes\n";
    return 0;
  }
  const auto hours =
      static_cast<double>(arguments.keep_hours >= 0 ? arguments.keep_hours : settings.keep_hours);
  const double now = core::Clock().now();
  std::size_t dropped = 0, packed = 0;
  for (;;) {
    const auto result = store.compact(now - hours * 3'600'000, 1'000);
    dropped += result.deleted;
    packed += result.compressed;
    if (result.deleted + result.compressed == 0) break;
  }
  std::cout << settings.folder << ": " << dropped << " jobs dropped, " << packed << " packed, "
            << store.bytes_used() << " bytes\n";
  return 0;
}

}  // namespace woadtide::cli
