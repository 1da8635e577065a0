#include "config/reader.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cmath>
#include <map>
#include <set>
#include <utility>

#include "absl/strings/str_join.h"
#include "absl/strings/str_replace.h"
#include "base/text.h"

namespace kestrelreel {
namespace detail {

constexpr uint64_t most_processors = 1'000'000;

bool is_address(const std::string& text) {
  std::string host;
  uint16_t port = 0;
  if (!split_address(text, host, port) || port == 0) return false;
  boost::system::error_code ec;
  boost::asio::ip::make_address(host, ec);
  return !ec;
}

std::optional<uint64_t> whole_number(const json_node& node) {
  if (const auto* it = std::get_if<int64_t>(&node.value)) {
    if (*it < 0) return std::nullopt;
    return static_cast<uint64_t>(*it);
  }
  if (const auto* it = std::get_if<uint64_t>(&node.value)) return *it;
  return std::nullopt;
}

std::string range_text(number_range range) {
  if (range.most == UINT64_MAX) {
    return str_cat("a whole number from ", range.least);
  }
  return str_cat("a whole number from ", range.least, " to ", range.most);
}

}  // namespace detail

std::string config_fault::str() const {
  return str_cat(file, ":", at.line, ":", at.column, ": ",
                 pointer.empty() ? "/" : pointer, ": found ", found,
                 ", allowed: ", allowed);
}

void fault_collector::add(size_t offset, const std::string& pointer,
                          std::string found, std::string allowed) {
  faults_.push_back({file_, position_of(text_, offset), pointer,
                     std::move(found), std::move(allowed)});
}

bool is_valid_name(std::string_view name) {
  constexpr size_t longest = 63;
  if (name.empty() || name.size() > longest) return false;
  if (name[0] < 'a' || name[0] > 'z') return false;
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '.';
  });
}

object_reader::object_reader(fault_collector& faults, const json_node& node,
                             std::string pointer)
    : faults_(faults), node_(node), pointer_(std::move(pointer)) {
  members_ = std::get_if<json_node::object>(&node.value);
  if (members_ == nullptr) {
    faults_.add(node.offset, pointer_, node.show(), "an object");
  }
}

std::string object_reader::pointer_to(std::string_view name) const {
  return str_cat(
      pointer_, "/",
      absl::StrReplaceAll(detail::to_piece(name), {{"~", "~0"}, {"/", "~1"}}));
}

bool object_reader::has(std::string_view name) const {
  if (members_ == nullptr) return false;
  return std::any_of(members_->begin(), members_->end(),
                     [&](const json_member& it) { return it.name == name; });
}

const json_node* object_reader::take(std::string_view name, bool needed,
                                     std::string_view allowed) {
  known_.emplace_back(name);
  if (members_ == nullptr) return nullptr;
  for (const json_member& it : *members_) {
    if (it.name == name) return &it.value;
  }
  if (needed) {
    faults_.add(node_.offset, pointer_to(name), "nothing",
                std::string(allowed));
  }
  return nullptr;
}

const json_node* object_reader::node(std::string_view name) {
  return take(name, false, "");
}

void object_reader::wrong(const json_node& node, std::string_view name,
                          std::string_view allowed) {
  faults_.add(node.offset, pointer_to(name), node.show(), std::string(allowed));
}

void object_reader::fault(std::string_view name, std::string found,
                          std::string allowed) {
  size_t offset = node_.offset;
  if (members_ != nullptr) {
    for (const json_member& it : *members_) {
      if (it.name == name) offset = it.value.offset;
    }
  }
  faults_.add(offset, pointer_to(name), std::move(found), std::move(allowed));
}

std::string object_reader::text(std::string_view name,
                                const std::optional<std::string>& fallback) {
  constexpr std::string_view allowed = "a text that is not empty";
  const json_node* it = take(name, !fallback, allowed);
  if (it == nullptr) return fallback.value_or("");
  const auto* s = std::get_if<std::string>(&it->value);
  if (s != nullptr && !s->empty()) return *s;
  wrong(*it, name, allowed);
  return fallback.value_or("");
}

uint64_t object_reader::number(std::string_view name, number_range range,
                               std::optional<uint64_t> fallback) {
  const std::string allowed = detail::range_text(range);
  const json_node* it = take(name, !fallback, allowed);
  if (it == nullptr) return fallback.value_or(range.least);
  const auto n = detail::whole_number(*it);
  if (n && *n >= range.least && *n <= range.most) return *n;
  wrong(*it, name, allowed);
  return fallback.value_or(range.least);
}

bool object_reader::flag(std::string_view name, bool fallback) {
  constexpr std::string_view allowed = "true or false";
  const json_node* it = take(name, false, allowed);
  if (it == nullptr) return fallback;
  const auto* value = std::get_if<bool>(&it->value);
  if (value != nullptr) return *value;
  wrong(*it, name, allowed);
  return fallback;
}

byte_count object_reader::bytes(std::string_view name,
                                std::optional<byte_count> fallback) {
  constexpr std::string_view allowed =
      R"(a size such as "512MiB" or "12GiB" (B, KiB, MiB, GiB, TiB))";
  const json_node* it = take(name, !fallback, allowed);
  if (it == nullptr) return fallback.value_or(byte_count());
  const auto* s = std::get_if<std::string>(&it->value);
  const auto n = s != nullptr ? parse_bytes(*s) : std::nullopt;
  if (n) return *n;
  wrong(*it, name, allowed);
  return fallback.value_or(byte_count());
}

byte_count read_box_memory(object_reader& all, byte_count fallback) {
  constexpr byte_count least{64 << 20};
  const byte_count n = all.bytes("memory", fallback);
  if (n >= least) return n;
  all.fault("memory", format_bytes(n), "at least \"64MiB\"");
  return fallback;
}

milliseconds object_reader::duration(std::string_view name, milliseconds least,
                                     std::optional<milliseconds> fallback) {
  const std::string allowed =
      str_cat("a length of time from \"", format_duration(least),
              "\", such as \"250ms\", \"3s\", \"20m\" or \"2h\"");
  const json_node* it = take(name, !fallback, allowed);
  if (it == nullptr) return fallback.value_or(least);
  const auto* s = std::get_if<std::string>(&it->value);
  const auto n = s != nullptr ? parse_duration(*s) : std::nullopt;
  if (n && *n >= least) return *n;
  wrong(*it, name, allowed);
  return fallback.value_or(least);
}

cpu_milli object_reader::processors(std::string_view name,
                                    std::optional<cpu_milli> fallback) {
  constexpr std::string_view allowed =
      "processors above 0, such as 4 or 0.5, in steps of 0.001";
  constexpr double milli = 1'000;
  const json_node* it = take(name, !fallback, allowed);
  if (it == nullptr) return fallback.value_or(cpu_milli());
  double n = 0;
  if (const auto whole = detail::whole_number(*it)) {
    n = static_cast<double>(*whole);
  }
  if (const auto* part = std::get_if<double>(&it->value)) n = *part;
  const double steps = std::round(n * milli);
  const bool good = n > 0 && n <= detail::most_processors && steps >= 1 &&
                    std::abs(steps - n * milli) < 1e-6;
  if (good) return cpu_milli{static_cast<uint64_t>(steps)};
  wrong(*it, name, allowed);
  return fallback.value_or(cpu_milli());
}

std::string object_reader::address(std::string_view name,
                                   const std::optional<std::string>& fallback) {
  constexpr std::string_view allowed =
      R"(an IP number and port, such as "127.0.1.1:7400")";
  const json_node* it = take(name, !fallback, allowed);
  if (it == nullptr) return fallback.value_or("");
  const auto* s = std::get_if<std::string>(&it->value);
  if (s != nullptr && detail::is_address(*s)) return *s;
  wrong(*it, name, allowed);
  return fallback.value_or("");
}

std::string object_reader::word(std::string_view name,
                                const std::vector<std::string>& words,
                                const std::optional<std::string>& fallback) {
  const std::string allowed = str_cat("one of ", absl::StrJoin(words, ", "));
  const json_node* it = take(name, !fallback, allowed);
  if (it == nullptr) return fallback.value_or("");
  const auto* s = std::get_if<std::string>(&it->value);
  const bool known =
      s != nullptr && std::find(words.begin(), words.end(), *s) != words.end();
  if (known) return *s;
  wrong(*it, name, allowed);
  return fallback.value_or("");
}

std::vector<std::string> object_reader::texts(std::string_view name) {
  constexpr std::string_view allowed = "a list of texts";
  std::vector<std::string> result;
  const json_node* it = take(name, false, allowed);
  if (it == nullptr) return result;
  const auto* list = std::get_if<json_node::array>(&it->value);
  if (list == nullptr) {
    wrong(*it, name, allowed);
    return result;
  }
  for (const json_node& element : *list) {
    const auto* s = std::get_if<std::string>(&element.value);
    if (s == nullptr) {
      wrong(element, name, allowed);
      continue;
    }
    result.push_back(*s);
  }
  return result;
}

void object_reader::each(
    std::string_view name,
    const std::function<void(const std::string& key, const json_node& node,
                             const std::string& pointer)>& read) {
  const json_node* it = take(name, false, "an object");
  if (it == nullptr) return;
  const auto* members = std::get_if<json_node::object>(&it->value);
  if (members == nullptr) return wrong(*it, name, "an object");
  std::set<std::string> seen;
  for (const json_member& member : *members) {
    const std::string pointer = str_cat(pointer_to(name), "/", member.name);
    if (!is_valid_name(member.name)) {
      faults_.add(member.offset, pointer,
                  str_cat("the name \"", member.name, "\""),
                  "a name of at most 63 lower-case letters, digits, - and ., "
                  "beginning with a letter");
    }
    if (!seen.insert(member.name).second) {
      faults_.add(member.offset, pointer, "the name a second time",
                  "each name once");
    }
    read(member.name, member.value, pointer);
  }
}

void object_reader::each_element(
    std::string_view name,
    const std::function<void(const json_node& node,
                             const std::string& pointer)>& read) {
  const json_node* it = take(name, true, "a list");
  if (it == nullptr) return;
  const auto* list = std::get_if<json_node::array>(&it->value);
  if (list == nullptr) return wrong(*it, name, "a list");
  for (size_t i = 0; i < list->size(); ++i) {
    read((*list)[i], str_cat(pointer_to(name), "/", i));
  }
}

void object_reader::finish() {
  if (members_ == nullptr) return;
  std::set<std::string> seen;
  for (const json_member& it : *members_) {
    if (!seen.insert(it.name).second) {
      faults_.add(it.offset, pointer_to(it.name), "the key a second time",
                  "each key once");
    }
    if (std::find(known_.begin(), known_.end(), it.name) != known_.end()) {
      continue;
    }
    const std::string nearest = nearest_name(it.name, known_);
    const std::string allowed = nearest.empty()
                                    ? "one of " + absl::StrJoin(known_, ", ")
                                    : "\"" + nearest + "\", if that was meant";
    faults_.add(it.offset, pointer_to(it.name),
                str_cat("the unknown key \"", it.name, "\""), allowed);
  }
}

std::optional<json_node> read_tree(fault_collector& faults,
                                   std::string_view text) {
  auto tree = parse_json(text);
  if (const auto* error = std::get_if<json_error>(&tree)) {
    faults.add(error->offset, "", error->message, "JSON with comments");
    return std::nullopt;
  }
  return std::get<json_node>(std::move(tree));
}

}  // namespace kestrelreel
