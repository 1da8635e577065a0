#include "config/json-tree.h"

#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>
#include <utility>
#include "base/text.h"

namespace kestrelreel {
namespace detail {

using boost::json::error_code;
using boost::json::string_view;

/// Builds the tree from the parser's events. The text is fed byte by byte, so
/// that `offset` is the byte at which an event came up.
class tree_builder {
 public:
  static constexpr size_t max_object_size = 1 << 20;
  static constexpr size_t max_array_size = 1 << 20;
  static constexpr size_t max_key_size = 1 << 12;
  static constexpr size_t max_string_size = 1 << 20;

  size_t offset = 0;
  json_node root;

  bool on_document_begin(error_code&) { return true; }
  bool on_document_end(error_code&) { return true; }

  bool on_object_begin(error_code&) {
    open(json_node::object());
    return true;
  }
  bool on_object_end(size_t, error_code&) { return close(); }
  bool on_array_begin(error_code&) {
    open(json_node::array());
    return true;
  }
  bool on_array_end(size_t, error_code&) { return close(); }

  bool on_key_part(string_view s, size_t, error_code&) { return part(s); }
  bool on_key(string_view s, size_t, error_code&) {
    part(s);
    auto& members = std::get<json_node::object>(stack_.back()->value);
    members.push_back({take(), text_start_, {}});
    return true;
  }
  bool on_string_part(string_view s, size_t, error_code&) { return part(s); }
  bool on_string(string_view s, size_t, error_code&) {
    part(s);
    const size_t start = text_start_;
    add(take(), start);
    return true;
  }

  bool on_number_part(string_view s, error_code&) { return part(s); }
  bool on_int64(int64_t n, string_view s, error_code&) { return number(n, s); }
  bool on_uint64(uint64_t n, string_view s, error_code&) {
    return number(n, s);
  }
  bool on_double(double n, string_view s, error_code&) { return number(n, s); }

  bool on_bool(bool it, error_code&) {
    constexpr size_t true_size = 4;
    constexpr size_t false_size = 5;
    add(it, offset + 1 - (it ? true_size : false_size));
    return true;
  }
  bool on_null(error_code&) {
    constexpr size_t null_size = 4;
    add(json_node::null(), offset + 1 - null_size);
    return true;
  }
  bool on_comment_part(string_view, error_code&) { return true; }
  bool on_comment(string_view, error_code&) { return true; }

 private:
  bool part(string_view s) {
    if (!in_text_) {
      // The first event of a text comes with its first byte after the quote.
      text_start_ = offset > 0 ? offset - 1 : 0;
      in_text_ = true;
    }
    text_.append(s.data(), s.size());
    return true;
  }

  std::string take() {
    in_text_ = false;
    return std::exchange(text_, {});
  }

  template <typename Number>
  bool number(Number n, string_view s) {
    part(s);
    const size_t start =
        text_start_ + (text_start_ == 0 && offset == 0 ? 0 : 1);
    take();
    add(n, start);
    return true;
  }

  template <typename Value>
  json_node* add(Value value, size_t at) {
    json_node node;
    node.offset = at;
    node.value = std::move(value);
    if (stack_.empty()) {
      root = std::move(node);
      return &root;
    }
    json_node& parent = *stack_.back();
    if (auto* list = std::get_if<json_node::array>(&parent.value)) {
      list->push_back(std::move(node));
      return &list->back();
    }
    auto& members = std::get<json_node::object>(parent.value);
    members.back().value = std::move(node);
    return &members.back().value;
  }

  template <typename Value>
  void open(Value value) {
    stack_.push_back(add(std::move(value), offset));
  }

  bool close() {
    stack_.pop_back();
    return true;
  }

  // A parent's list grows only while its last child is closed, so that these
  // pointers stay good.
  std::vector<json_node*> stack_;
  std::string text_;
  size_t text_start_ = 0;
  bool in_text_ = false;
};

/// Puts spaces in the place of comments. The parser loses its place when a
/// comment is fed to it byte by byte.
std::string blank_comments(std::string_view text) {
  std::string out(text);
  bool in_text = false;
  for (size_t i = 0; i + 1 < out.size(); ++i) {
    if (in_text && out[i] == '\\') {
      ++i;
      continue;
    }
    if (out[i] == '"') in_text = !in_text;
    if (in_text || out[i] != '/') continue;
    const bool line = out[i + 1] == '/';
    if (!line && out[i + 1] != '*') continue;
    const size_t end = line ? out.find('\n', i) : out.find("*/", i + 2);
    // A comment that is left open stays, for the parser to refuse it.
    if (!line && end == std::string::npos) return out;
    const size_t stop = line ? std::min(end, out.size()) : end + 2;
    for (; i < stop; ++i) {
      if (out[i] != '\n') out[i] = ' ';
    }
    --i;
  }
  return out;
}

std::string shorten(std::string text) {
  constexpr size_t longest = 40;
  if (text.size() <= longest) return text;
  return text.substr(0, longest) + "...";
}

}  // namespace detail

std::string_view json_node::kind() const {
  constexpr std::string_view kinds[] = {"null",     "true or false", "a number",
                                        "a number", "a number",      "a string",
                                        "a list",   "an object"};
  return kinds[value.index()];
}

std::string json_node::show() const {
  if (const auto* it = std::get_if<bool>(&value)) return *it ? "true" : "false";
  if (const auto* it = std::get_if<int64_t>(&value)) return str_cat(*it);
  if (const auto* it = std::get_if<uint64_t>(&value)) return str_cat(*it);
  if (const auto* it = std::get_if<double>(&value)) return str_cat(*it);
  if (const auto* it = std::get_if<std::string>(&value)) {
    return str_cat("\"", detail::shorten(*it), "\"");
  }
  return std::string(kind());
}

std::variant<json_node, json_error> parse_json(std::string_view source) {
  const std::string text = detail::blank_comments(source);
  boost::json::parse_options options;
  options.allow_trailing_commas = true;
  boost::json::basic_parser<detail::tree_builder> parser(options);
  detail::tree_builder& builder = parser.handler();
  for (size_t i = 0; i < text.size(); ++i) {
    builder.offset = i;
    boost::json::error_code ec;
    const bool blank =
        std::string_view(" \t\r\n").find(text[i]) != std::string_view::npos;
    if (parser.done() && !blank) return json_error{i, "extra data"};
    if (parser.done()) continue;
    parser.write_some(true, text.data() + i, 1, ec);
    if (ec) return json_error{i, ec.message()};
  }
  builder.offset = text.size();
  boost::json::error_code ec;
  parser.write_some(false, text.data() + text.size(), 0, ec);
  if (ec) return json_error{text.size(), ec.message()};
  return std::move(builder.root);
}

text_position position_of(std::string_view text, size_t offset) {
  text_position at;
  const std::string_view before = text.substr(0, offset);
  const auto lines = std::count(before.begin(), before.end(), '\n');
  at.line += static_cast<size_t>(lines);
  const size_t last = before.rfind('\n');
  const size_t line_start = last == std::string_view::npos ? 0 : last + 1;
  at.column += before.size() - line_start;
  return at;
}

}  // namespace kestrelreel
