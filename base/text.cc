#include "base/text.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <numeric>

namespace kestrelreel {
namespace detail {

size_t edit_distance(std::string_view a, std::string_view b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= b.size(); ++j) {
      const size_t above = row[j];
      const size_t same = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      row[j] = std::min({above + 1, row[j - 1] + 1, same});
      diagonal = above;
    }
  }
  return row[b.size()];
}

bool needs_quotes(std::string_view value) {
  if (value.empty()) return true;
  return std::any_of(value.begin(), value.end(), [](unsigned char c) {
    return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
  });
}

void append_escaped(std::string& out, unsigned char c) {
  if (c == '"' || c == '\\') {
    out += '\\';
    out += static_cast<char>(c);
    return;
  }
  if (c >= ' ' && c != 0x7f) {
    out += static_cast<char>(c);
    return;
  }
  char buf[8];
  std::snprintf(buf, sizeof(buf), "\\x%02x", static_cast<unsigned>(c));
  out += buf;
}

}  // namespace detail

std::string nearest_name(std::string_view word,
                         const std::vector<std::string>& known) {
  constexpr size_t least_edits = 2;
  size_t best = std::max(least_edits, word.size() / 3) + 1;
  std::string found;
  for (const std::string& it : known) {
    const size_t n = detail::edit_distance(word, it);
    if (n >= best) continue;
    best = n;
    found = it;
  }
  return found;
}

std::string quote_value(std::string_view value) {
  if (!detail::needs_quotes(value)) return std::string(value);
  std::string out = "\"";
  for (const char c : value) {
    detail::append_escaped(out, static_cast<unsigned char>(c));
  }
  return out + '"';
}

size_t json_size(std::string_view text) {
  constexpr unsigned char first_printable = 0x20;
  constexpr unsigned char del = 0x7f;
  constexpr size_t escaped_control = 6;  // Such as \u001f.
  size_t n = 0;
  for (const char it : text) {
    const auto c = static_cast<unsigned char>(it);
    const bool control = c < first_printable || c == del;
    const bool quoted = c == '"' || c == '\\' || c == '/';
    n += control ? escaped_control : quoted ? 2 : 1;
  }
  return n;
}

bool split_address(std::string_view text, std::string& host, uint16_t& port) {
  const size_t at = text.rfind(':');
  if (at == std::string_view::npos || at == 0) return false;
  const std::string_view digits = text.substr(at + 1);
  const char* end = digits.data() + digits.size();
  const auto [rest, ec] = std::from_chars(digits.data(), end, port);
  if (ec != std::errc() || rest != end || digits.empty()) return false;
  host = std::string(text.substr(0, at));
  return true;
}

}  // namespace kestrelreel
