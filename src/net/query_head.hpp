// Parts of HTTP that every HTTP frontend shares: the header fields of a query, and the head of a response.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "core/query.hpp"
#include "net/http.hpp"

namespace woadtide::net {

// True if the header field `name` is forwarded to the worker. The others concern one connection only
// (hop-by-hop), or are written anew.
bool is_forwarded_field(std::string_view name);
// Sets class, deadline, cost and slots of `query` from the head of a request that was received at `received`
// (ms on the clock). Throws BadMessage.
void parse_query_fields(const MessageHead& head, core::Query& query, double received);
// The head of a response, with Content-Length and the empty line at its end. `fields` are complete header
// lines; `closes` adds "Connection: close".
std::string response_head(int status, std::string_view fields, std::size_t body_size, bool closes);

}  // namespace woadtide::net
