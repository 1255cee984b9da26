// What every front that speaks HTTP reads from a query's head, and the head of its answer.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "core/query.hpp"
#include "net/http.hpp"

namespace woadtide::net {

// Whether a worker gets this field; the others are of one link only, or written anew.
bool is_passed_on(std::string_view name);
// Class, deadline, cost and slots of `query`, which was received at this time. Throws BadMessage.
void read_figures(const Head& head, core::Query& query, double received);
std::string answer_head(int status, std::string_view fields, std::size_t body_size, bool closes);

}  // namespace woadtide::net
