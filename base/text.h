// Small text helpers that several packages share.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "absl/strings/str_cat.h"

namespace kestrelreel {

namespace detail {

// Debian's absl has a string_view of its own.
inline absl::string_view to_piece(std::string_view s) {
  return {s.data(), s.size()};
}
template <typename T>
requires(!std::is_convertible_v<const T&, std::string_view>) const T& to_piece(
    const T& it) {
  return it;
}

}  // namespace detail

/// The texts and numbers, one after the other.
template <typename... Parts>
std::string str_cat(const Parts&... parts) {
  return absl::StrCat(detail::to_piece(parts)...);
}

/// Appends the texts and numbers.
template <typename... Parts>
void str_append(std::string& out, const Parts&... parts) {
  absl::StrAppend(&out, detail::to_piece(parts)...);
}

/// The one of `known` nearest to `word` by edits, or nothing when none is
/// within a third of the word's length (at least 2 edits).
std::string nearest_name(std::string_view word,
                         const std::vector<std::string>& known);

/// `value` as it stands in a key=value line: quoted and escaped when it is
/// empty or holds a space, quote, equals sign, backslash or control byte.
std::string quote_value(std::string_view value);

/// Upper bound of the text's size as the content of a JSON string.
size_t json_size(std::string_view text);

/// Empties a text and gives its memory back, which an assignment may keep.
inline void free_text(std::string& text) { std::string().swap(text); }

/// Splits an `IP:PORT` text; false when it has no such form.
bool split_address(std::string_view text, std::string& host, uint16_t& port);

}  // namespace kestrelreel
