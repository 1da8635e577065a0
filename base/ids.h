// Strong types for names and counters, so that one is never passed for another.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace kestrelreel {

/// A name that only compares with names of the same `Tag`.
template <typename Tag>
class strong_name {
 public:
  strong_name() = default;
  explicit strong_name(std::string value) : value_(std::move(value)) {}

  /// The name as text.
  const std::string& str() const { return value_; }
  /// True for the name that stands for "none".
  bool empty() const { return value_.empty(); }

  auto operator<=>(const strong_name&) const = default;

 private:
  std::string value_;
};

/// A counter that only compares with counters of the same `Tag`.
template <typename Tag>
class strong_count {
 public:
  constexpr strong_count() = default;
  constexpr explicit strong_count(uint64_t value) : value_(value) {}

  /// The counter as a number.
  constexpr uint64_t value() const { return value_; }
  /// The counter one higher.
  constexpr strong_count next() const { return strong_count(value_ + 1); }

  constexpr auto operator<=>(const strong_count&) const = default;

 private:
  uint64_t value_ = 0;
};

/// A box of the system, as its settings name it.
using box_id = strong_name<struct box_tag>;
/// A data centre.
using data_centre_id = strong_name<struct data_centre_tag>;
/// A worker, as the platform names it.
using worker_id = strong_name<struct worker_tag>;
/// A task: `job/NAME/INDEX` or `service/NAME/DATA-CENTRE/INDEX`.
using task_id = strong_name<struct task_tag>;
/// A job of a seeded deployment; its caller chooses the number.
using job_number = strong_count<struct job_number_tag>;
/// A term of the replicated log's leadership.
using term_number = strong_count<struct term_tag>;
/// A position in the replicated log; the first entry has 1.
using log_index = strong_count<struct index_tag>;
/// A data-centre holder's reign; workers refuse commands of lower ones.
using epoch_number = strong_count<struct epoch_tag>;
/// A run of a task; each start takes a higher one.
using attempt_number = strong_count<struct attempt_tag>;

}  // namespace kestrelreel

template <typename Tag>
struct std::hash<kestrelreel::strong_name<Tag>> {
  size_t operator()(const kestrelreel::strong_name<Tag>& name) const noexcept {
    return std::hash<std::string>()(name.str());
  }
};

template <typename Tag>
struct std::hash<kestrelreel::strong_count<Tag>> {
  size_t operator()(kestrelreel::strong_count<Tag> n) const noexcept {
    return std::hash<uint64_t>()(n.value());
  }
};
