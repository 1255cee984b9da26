// Classification of single bytes in JSON text.
#pragma once

namespace woadtide::endpoints {

// Whether the byte is white space by RFC 8259.
inline bool is_json_space(char byte) { return byte == ' ' || byte == '\t' || byte == '\n' || byte == '\r'; }

}  // namespace woadtide::endpoints
