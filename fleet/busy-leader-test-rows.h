// Plays the world of a leader whose steps cost time, and what must hold there.
#pragma once

#include <CppUTest/TestHarness.h>

#include <span>
#include <string>

#include "fleet/busy-leader-test-world.h"

namespace kestrelreel::busy {

constexpr int lasting_jobs = 20;
constexpr uint32_t lasting_width = 10;
constexpr int lost = 40;

inline outcome play(const setting& it) {
  busy_world world(it);
  world.pass(milliseconds(3'000));
  world.serve(lasting_jobs, lasting_width);
  world.pass(milliseconds(10'000));
  world.lose(lost);
  world.pass(milliseconds(20'000));
  return world.out();
}

inline void check_within(milliseconds most, milliseconds found,
                         const char* name, const char* what) {
  const std::string text =
      std::string(name) + ", " + what + ": " + std::to_string(found.count());
  CHECK_TRUE_TEXT(found <= most, text.c_str());
}

inline void check_rows(std::span<const setting> rows) {
  for (const setting& it : rows) {
    const outcome out = play(it);
    STRCMP_EQUAL_TEXT("", out.wrong.c_str(), it.name);
    CHECK_TRUE_TEXT(out.done > 0, it.name);
    LONGS_EQUAL_TEXT(0, out.lapsed, it.name);
    check_within(most_away, out.longest_away, it.name, "away");
    check_within(most_order_lag, out.longest_order_lag, it.name,
                 "orders behind the book");
  }
}

}  // namespace kestrelreel::busy
