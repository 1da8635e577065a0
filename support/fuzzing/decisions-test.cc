// Heartbeats of another writer among those of workers that run tasks, by
// scripts of bytes: the same that support/fuzz changes one by one.
//
// Seeds that failed once stand in `broken_once`, with their cause.
#include <CppUTest/TestHarness.h>

#include <random>
#include <string>
#include <vector>

#include "support/fuzzing/decisions-run.h"

using namespace kestrelreel;

namespace {

std::vector<uint8_t> script_of(uint64_t seed) {
  constexpr size_t length = 400;
  std::mt19937_64 draw(seed);
  std::vector<uint8_t> bytes(length);
  for (uint8_t& it : bytes) it = static_cast<uint8_t>(draw());
  return bytes;
}

}  // namespace

TEST_GROUP(fuzzed_decisions){};

TEST(fuzzed_decisions, other_writers_break_no_promise) {
  constexpr uint64_t seeds = 200;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const std::string wrong = fuzzing::play_decisions(script_of(seed));
    STRCMP_EQUAL_TEXT("", wrong.c_str(),
                      ("seed " + std::to_string(seed)).c_str());
  }
}
