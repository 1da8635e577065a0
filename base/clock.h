// Time and chance as interfaces, so that tests can drive both.
#pragma once

#include <chrono>
#include <cstdint>

namespace kestrelreel {

/// Length of time; all of the system's decisions count in it.
using milliseconds = std::chrono::milliseconds;
/// Time since an arbitrary start; never goes back while the process lives.
using time_point = milliseconds;

/// Source of the time.
class clock_source {
 public:
  virtual ~clock_source() = default;
  /// The time by this process's own clock.
  virtual time_point now() const = 0;
};

/// Source of random numbers, evenly spread over all 64-bit values.
class random_source {
 public:
  virtual ~random_source() = default;
  virtual uint64_t next() = 0;
  /// A number in [0, `limit`); `limit` must be above 0.
  uint64_t below(uint64_t limit) { return next() % limit; }
};

/// The box's clock since its start. It counts the time for which the box was
/// suspended, which the steady clock leaves out: by that one a leader that
/// wakes up takes a lease for valid, and a heartbeat for fresh, that is seconds
/// old.
class boot_clock final : public clock_source {
 public:
  time_point now() const override;
};

/// The time of day in ms since 1970; it may jump.
uint64_t wall_clock_ms();

/// A seeded generator; seed 0 takes the machine's entropy.
class seeded_random final : public random_source {
 public:
  explicit seeded_random(uint64_t seed);
  uint64_t next() override;

 private:
  uint64_t state_;
};

}  // namespace kestrelreel
