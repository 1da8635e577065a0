#include "base/clock.h"

#include <ctime>

#include <random>

namespace kestrelreel {

time_point boot_clock::now() const {
  timespec now{};
  // Can't fail: each Linux that the programs run on has this clock.
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

uint64_t wall_clock_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(now).count());
}

seeded_random::seeded_random(uint64_t seed) : state_(seed) {
  if (seed != 0) return;
  std::random_device device;
  state_ = (uint64_t{device()} << 32) | device();
}

// SplitMix64: Steele, Lea, Flood, "Fast splittable pseudorandom number
// generators", OOPSLA 2014.
uint64_t seeded_random::next() {
  uint64_t z = (state_ += 0x9e3779b97f4a7c15);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

}  // namespace kestrelreel
