#include "base/units.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace kestrelreel {
namespace detail {

struct unit {
  std::string_view name;
  uint64_t factor;
};

constexpr std::array byte_units{
    unit{"TiB", 1ull << 40}, unit{"GiB", 1ull << 30}, unit{"MiB", 1ull << 20},
    unit{"KiB", 1ull << 10}, unit{"B", 1}};
constexpr std::array time_units{unit{"h", 3'600'000}, unit{"m", 60'000},
                                unit{"s", 1'000}, unit{"ms", 1}};

template <size_t N>
std::optional<uint64_t> parse(std::string_view text,
                              const std::array<unit, N>& units) {
  uint64_t n = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || rest == text.data()) return std::nullopt;
  const std::string_view name(rest, static_cast<size_t>(end - rest));
  for (const unit& it : units) {
    if (it.name != name) continue;
    constexpr uint64_t most = std::numeric_limits<int64_t>::max();
    if (n > most / it.factor) return std::nullopt;
    return n * it.factor;
  }
  return std::nullopt;
}

template <size_t N>
std::string format(uint64_t n, const std::array<unit, N>& units) {
  for (const unit& it : units) {
    if (n != 0 && n % it.factor != 0) continue;
    if (n == 0 && it.factor != 1) continue;
    return std::to_string(n / it.factor) + std::string(it.name);
  }
  return std::to_string(n);
}

}  // namespace detail

std::optional<byte_count> parse_bytes(std::string_view text) {
  const auto n = detail::parse(text, detail::byte_units);
  if (!n) return std::nullopt;
  return byte_count{*n};
}

std::optional<milliseconds> parse_duration(std::string_view text) {
  const auto n = detail::parse(text, detail::time_units);
  if (!n) return std::nullopt;
  return milliseconds(static_cast<int64_t>(*n));
}

std::string format_bytes(byte_count n) {
  return detail::format(n.value, detail::byte_units);
}

std::string format_duration(milliseconds n) {
  return detail::format(static_cast<uint64_t>(n.count()), detail::time_units);
}

bool resource_amount::fits(const resource_amount& room) const {
  return cpu <= room.cpu && memory <= room.memory &&
         accelerators <= room.accelerators;
}

resource_amount& resource_amount::operator+=(const resource_amount& other) {
  cpu.value += other.cpu.value;
  memory.value += other.memory.value;
  accelerators.value += other.accelerators.value;
  return *this;
}

resource_amount& resource_amount::operator-=(const resource_amount& other) {
  cpu.value -= std::min(cpu.value, other.cpu.value);
  memory.value -= std::min(memory.value, other.memory.value);
  accelerators.value -= std::min(accelerators.value, other.accelerators.value);
  return *this;
}

}  // namespace kestrelreel
