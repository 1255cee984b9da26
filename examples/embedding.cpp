#include <iostream>
#include <woadtide/balance.hpp>

using namespace std::chrono_literals;

int main() {
  woadtide::Settings settings;
  settings.max_attempts = 3;
  woadtide::ClassSettings job;
  job.aim = 100ms;
  job.stretch = 2;
  job.deadline = 5s;
  job.effect = woadtide::Effect::safe;
  settings.classes.push_back(job);

  woadtide::Dispatcher dispatcher(settings, 42);
  std::vector<woadtide::Action> actions;
  dispatcher.handle(1s, woadtide::ListUpdate{woadtide::ListKind::full, {{.worker = "w1"}}}, actions);
  dispatcher.handle(1s, woadtide::Request{.id = "j1", .hint = 200ms, .time_left = 5s}, actions);

  for (const auto& action : actions)
    if (const auto* send = std::get_if<woadtide::Send>(&action))
      std::cout << "send " << send->id << " to " << send->worker << '\n';
}
