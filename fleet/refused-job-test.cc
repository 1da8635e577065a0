// Jobs ran whose callers had been told at every try that they were surely not
// taken. Here callers hand jobs in at any control box while leaders are held
// up, cut off, crash, find their disks slow or full and hand over. Whoever was
// told "not taken" at every try must find the job in no book and at no worker,
// and whoever was told "taken" must find it in all.
#include <CppUTest/TestHarness.h>

#include <cstdio>

#include "fleet/refused-test-world.h"

using namespace kestrelreel;
using refused::answer_counts;
using refused::faults;

namespace {

constexpr milliseconds fault_time{25'000};
constexpr uint64_t seeds = 12;

void add(answer_counts& all, const answer_counts& it) {
  all.ok += it.ok;
  all.unavailable += it.unavailable;
  all.refused += it.refused;
  all.no_queue += it.no_queue;
  all.invalid += it.invalid;
  all.unknown += it.unknown;
  all.unanswered += it.unanswered;
  all.taken += it.taken;
  all.lost += it.lost;
  all.not_accepted += it.not_accepted;
  all.started += it.started;
  all.terms += it.terms;
}

void print(const char* name, const answer_counts& it) {
  std::printf(
      "%s: ok %d unavailable %d refused %d no-queue %d invalid %d unknown %d "
      "unanswered %d; jobs: not taken %d, unclear and taken %d, lost %d; "
      "started %d terms %d\n",
      name, it.ok, it.unavailable, it.refused, it.no_queue, it.invalid,
      it.unknown, it.unanswered, it.not_accepted, it.taken, it.lost, it.started,
      static_cast<int>(it.terms));
}

}  // namespace

TEST_GROUP(refused_job){};

TEST(refused_job, told_not_taken_at_every_try_is_in_no_book) {
  // One in so many: lose, held, cut, crash, full, slow disk, hand-over.
  const faults rows[] = {
      {"calm"},
      {"messages lost", 20},
      {"held up", 0, 150},
      {"cut off", 0, 0, 120},
      {"crashes", 0, 0, 0, 200},
      {"disks full", 0, 0, 0, 0, 100},
      {"disks slow", 0, 0, 0, 0, 0, 30},
      {"hand-overs", 0, 0, 0, 0, 0, 0, 40},
      {"all of it", 100, 400, 400, 600, 400, 200, 150},
  };
  answer_counts all;
  for (const faults& it : rows) {
    answer_counts of_row;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
      refused::promise_world world(seed, it);
      const std::string wrong = world.run(fault_time);
      add(of_row, world.count());
      const std::string where = str_cat(it.name, ", seed ", seed, ": ", wrong);
      CHECK_TEXT(wrong.empty(), where.c_str());
    }
    print(it.name, of_row);
    CHECK_TRUE(of_row.ok > 0 && of_row.refused > 0 && of_row.started > 0);
    add(all, of_row);
  }
  // Every kind of answer came up, and of the unclear ones both ends.
  CHECK_TRUE(all.unavailable > 0 && all.no_queue > 0 && all.invalid > 0);
  CHECK_TRUE(all.unknown > 0 && all.taken > 0 && all.lost > 0);
}
