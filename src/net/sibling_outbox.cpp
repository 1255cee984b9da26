#include "net/sibling_outbox.hpp"

#include <utility>

namespace woadtide::net {

using core::SiblingMessage;

namespace {

void append_line(std::string& lines, std::string_view name, std::string_view content) {
  lines.append(name);
  if (!content.empty()) lines.append(" ").append(content);
  lines.push_back('\n');
}

}  // namespace

void SiblingOutbox::add_version(int version) { version_ = version; }

void SiblingOutbox::add(const SiblingMessage& message) {
  switch (message.kind) {
    case Kind::exclude:
    case Kind::include:
      worker_commands_[message.content] = message.kind;
      return;
    case Kind::query:
      query_ids_.push_back(message.content);
      if (query_ids_.size() > core::kMaxRememberedIds) query_ids_.pop_front();
      return;
    case Kind::told:
      told_ = true;
      return;
    case Kind::ready:
    case Kind::unready:
      readiness_ = message.kind;
      return;
    case Kind::list:
      list_ = message.content;
      return;
  }
}

bool SiblingOutbox::is_empty() const {
  return !version_ && !readiness_ && !list_ && worker_commands_.empty() && query_ids_.empty() && !told_;
}

std::string SiblingOutbox::take_lines() {
  std::string lines;
  if (version_) append_line(lines, core::kSiblingVersionName, std::to_string(*version_));
  if (readiness_) append_line(lines, core::wire_name(*readiness_), {});
  if (list_) append_line(lines, core::wire_name(Kind::list), *list_);
  for (const auto& [worker, command] : worker_commands_) append_line(lines, core::wire_name(command), worker);
  for (const std::string& id : query_ids_) append_line(lines, core::wire_name(Kind::query), id);
  if (told_) append_line(lines, core::wire_name(Kind::told), {});
  *this = {};
  return lines;
}

}  // namespace woadtide::net
