// JSON with comments as a tree whose every value knows where it stands, so
// that a fault can be shown to the person who wrote the file.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"

namespace kestrelreel {

struct json_member;

/// A value and the byte at which it begins.
struct json_node {
  struct null {};
  using array = std::vector<json_node>;
  using object = std::vector<json_member>;

  size_t offset = 0;
  std::variant<null, bool, int64_t, uint64_t, double, std::string, array,
               object>
      value;

  /// What it is, for messages: `a string`, `an object`, ...
  std::string_view kind() const;
  /// The value itself, shortened, for messages.
  std::string show() const;
};

/// A member of an object, in the order of the file. Names may repeat.
struct json_member {
  std::string name;
  size_t offset = 0;
  json_node value;
};

/// Why a text is not JSON.
struct json_error {
  size_t offset = 0;
  std::string message;
};

/// Reads a text; comments and trailing commas are allowed.
std::variant<json_node, json_error> parse_json(std::string_view source);

/// A place in a text; both count from 1.
struct text_position {
  size_t line = 1;
  size_t column = 1;
};

/// Where a byte of the text stands.
text_position position_of(std::string_view text, size_t offset);

}  // namespace kestrelreel
