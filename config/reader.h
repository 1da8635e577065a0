// Reads typed values out of a JSON tree and collects every fault on the way,
// so that a file's author sees all of them at once.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/units.h"
#include "config/json-tree.h"

namespace kestrelreel {

/// One thing wrong with a file.
struct config_fault {
  std::string file;
  text_position at;
  /// JSON pointer (RFC 6901) to the value.
  std::string pointer;
  std::string found;
  std::string allowed;

  /// `FILE:LINE:COLUMN: POINTER: found ..., allowed: ...`.
  std::string str() const;
};

/// A file's text and the faults found in it so far.
class fault_collector {
 public:
  fault_collector(std::string file, std::string_view text)
      : file_(std::move(file)), text_(text) {}

  void add(size_t offset, const std::string& pointer, std::string found,
           std::string allowed);
  const std::vector<config_fault>& faults() const { return faults_; }
  bool empty() const { return faults_.empty(); }

 private:
  std::string file_;
  std::string_view text_;
  std::vector<config_fault> faults_;
};

/// Limits of a number, both allowed.
struct number_range {
  uint64_t least = 0;
  uint64_t most = UINT64_MAX;
};

/// The members of one object. Each read names a member that is known; `finish`
/// reports all others.
class object_reader {
 public:
  /// Reports a fault when the node is no object; all reads then give nothing.
  object_reader(fault_collector& faults, const json_node& node,
                std::string pointer);

  /// True when the member stands in the file.
  bool has(std::string_view name) const;

  /// Each reads a member, which must stand there unless a fallback is given.
  /// On a fault the fallback or an empty value comes back.
  std::string text(std::string_view name,
                   const std::optional<std::string>& fallback = std::nullopt);
  uint64_t number(std::string_view name, number_range range,
                  std::optional<uint64_t> fallback = std::nullopt);
  bool flag(std::string_view name, bool fallback);
  byte_count bytes(std::string_view name,
                   std::optional<byte_count> fallback = std::nullopt);
  milliseconds duration(std::string_view name, milliseconds least,
                        std::optional<milliseconds> fallback = std::nullopt);
  /// Processors, such as 4 or 0.5.
  cpu_milli processors(std::string_view name,
                       std::optional<cpu_milli> fallback = std::nullopt);
  /// An `IP:PORT` text.
  std::string address(
      std::string_view name,
      const std::optional<std::string>& fallback = std::nullopt);
  /// One of the words.
  std::string word(std::string_view name, const std::vector<std::string>& words,
                   const std::optional<std::string>& fallback = std::nullopt);
  std::vector<std::string> texts(std::string_view name);
  /// Calls `read` for each member of an object of named things. Names must
  /// consist of lower-case letters, digits, `-` and `.`, and begin with a
  /// letter.
  void each(
      std::string_view name,
      const std::function<void(const std::string& key, const json_node& node,
                               const std::string& pointer)>& read);
  /// Calls `read` for each element of a list.
  void each_element(
      std::string_view name,
      const std::function<void(const json_node& node,
                               const std::string& pointer)>& read);
  /// The member's node, to be read by an `object_reader` of its own; null when
  /// it is missing.
  const json_node* node(std::string_view name);

  /// Adds a fault on a member.
  void fault(std::string_view name, std::string found, std::string allowed);
  /// Reports members that no read has named and names that stand twice.
  void finish();

  const std::string& pointer() const { return pointer_; }

 private:
  const json_node* take(std::string_view name, bool needed,
                        std::string_view allowed);
  void wrong(const json_node& node, std::string_view name,
             std::string_view allowed);
  std::string pointer_to(std::string_view name) const;

  fault_collector& faults_;
  const json_node& node_;
  const json_node::object* members_ = nullptr;
  std::string pointer_;
  std::vector<std::string> known_;
};

/// The member `memory` of a settings file: what the box has, 64 MiB at least.
byte_count read_box_memory(object_reader& all, byte_count fallback);

/// True for a name that things may have: see `object_reader::each`.
bool is_valid_name(std::string_view name);

/// The tree of the text; nothing, and a fault, where it is not JSON.
std::optional<json_node> read_tree(fault_collector& faults,
                                   std::string_view text);

/// A file's content as `read(faults, tree, content)` takes it from the tree, or
/// every fault in it.
template <typename T, typename Read>
std::variant<T, std::vector<config_fault>> parse_file(const std::string& file,
                                                      std::string_view text,
                                                      Read read) {
  fault_collector faults(file, text);
  T content;
  const auto tree = read_tree(faults, text);
  if (tree) read(faults, *tree, content);
  if (!faults.empty()) return faults.faults();
  return content;
}

}  // namespace kestrelreel
