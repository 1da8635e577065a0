// Guards against jobs that run although their callers were told at every
// attempt that the job was not accepted. Callers submit jobs at any control box
// while leaders pause, are cut off, crash, have slow or full disks, or transfer
// leadership. A job answered "not accepted" at every attempt must be in no book
// and on no worker; a job answered "accepted" must be in all books.
#include <CppUTest/TestHarness.h>

#include <cstdio>

#include "fleet/refused-test-world.h"

using namespace kestrelreel;
using refused::answer_counts;
using refused::faults;

namespace {

constexpr milliseconds fault_time{25'000};
constexpr uint64_t seeds = 12;

void add(answer_counts& total, const answer_counts& it) {
  total.ok += it.ok;
  total.unavailable += it.unavailable;
  total.refused += it.refused;
  total.no_queue += it.no_queue;
  total.invalid += it.invalid;
  total.unknown += it.unknown;
  total.unanswered += it.unanswered;
  total.accepted += it.accepted;
  total.lost += it.lost;
  total.not_accepted += it.not_accepted;
  total.started += it.started;
  total.terms += it.terms;
}

void print(const char* name, const answer_counts& it) {
  std::printf(
      "%s: ok %d unavailable %d refused %d no-queue %d invalid %d unknown %d "
      "unanswered %d; jobs: not accepted %d, unclear and accepted %d, lost %d; "
      "started %d terms %d\n",
      name, it.ok, it.unavailable, it.refused, it.no_queue, it.invalid,
      it.unknown, it.unanswered, it.not_accepted, it.accepted, it.lost,
      it.started, static_cast<int>(it.terms));
}

}  // namespace

TEST_GROUP(refused_job){};

TEST(refused_job, job_refused_at_every_attempt_is_in_no_book) {
  // Odds, one in n: message loss, pause, cut, crash, full disk, slow disk,
  // leadership transfer.
  const faults rows[] = {
      {"no faults"},
      {"messages lost", 20},
      {"boxes paused", 0, 150},
      {"boxes cut off", 0, 0, 120},
      {"crashes", 0, 0, 0, 200},
      {"disks full", 0, 0, 0, 0, 100},
      {"disks slow", 0, 0, 0, 0, 0, 30},
      {"leadership transfers", 0, 0, 0, 0, 0, 0, 40},
      {"all faults", 100, 400, 400, 600, 400, 200, 150},
  };
  answer_counts total;
  for (const faults& it : rows) {
    answer_counts of_row;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
      refused::promise_world world(seed, it);
      const std::string violation = world.run(fault_time);
      add(of_row, world.count());
      const std::string where =
          str_cat(it.name, ", seed ", seed, ": ", violation);
      CHECK_TEXT(violation.empty(), where.c_str());
    }
    print(it.name, of_row);
    CHECK_TRUE(of_row.ok > 0 && of_row.refused > 0 && of_row.started > 0);
    add(total, of_row);
  }
  // Every kind of answer must occur, and unclear answers with both outcomes.
  CHECK_TRUE(total.unavailable > 0 && total.no_queue > 0 && total.invalid > 0);
  CHECK_TRUE(total.unknown > 0 && total.accepted > 0 && total.lost > 0);
}
