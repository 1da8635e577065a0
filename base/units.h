// Sizes, lengths of time and their text forms, as files write them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace kestrelreel {

/// Thousandths of a processor.
struct cpu_milli {
  uint64_t value = 0;
  auto operator<=>(const cpu_milli&) const = default;
};

/// Bytes of memory.
struct byte_count {
  uint64_t value = 0;
  auto operator<=>(const byte_count&) const = default;
};

/// Whole accelerators.
struct accelerator_count {
  uint32_t value = 0;
  auto operator<=>(const accelerator_count&) const = default;
};

/// Reads `512MiB`, `12GiB`, `1TiB`; nothing on other text or overflow.
std::optional<byte_count> parse_bytes(std::string_view text);
/// Reads `250ms`, `3s`, `20m`, `2h`; nothing on other text or overflow.
std::optional<milliseconds> parse_duration(std::string_view text);
/// The shortest form that `parse_bytes` reads back unchanged, or bytes.
std::string format_bytes(byte_count n);
/// The shortest form that `parse_duration` reads back unchanged.
std::string format_duration(milliseconds n);

/// What a task takes or a worker holds.
struct resource_amount {
  cpu_milli cpu;
  byte_count memory;
  accelerator_count accelerators;

  /// True when this much fits into `room` on every count.
  bool fits(const resource_amount& room) const;
  resource_amount& operator+=(const resource_amount& other);
  /// Takes `other` away; a count never goes below 0.
  resource_amount& operator-=(const resource_amount& other);
  bool operator==(const resource_amount&) const = default;
};

}  // namespace kestrelreel
