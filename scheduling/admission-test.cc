// Which jobs are rejected, and when their callers may return.
#include <CppUTest/TestHarness.h>

#include "scheduling/admission.h"

using namespace kestrelreel;

namespace {

constexpr time_point now(50'000);

/// A job of 40 core-seconds that should end within 5 s, of which its queue
/// allows 1 s beyond its own time, and is of use for 15 s.
job_demand make_job(uint64_t number, double work = 40) {
  job_demand out;
  out.job = job_number(number);
  out.work = work;
  out.path = milliseconds(2'000);
  out.objective = milliseconds(5'000);
  out.useful_for = milliseconds(15'000);
  out.queue_objective = milliseconds(1'000);
  return out;
}

pool_backlog make_backlog(double ahead, double cores = 10) {
  return {true, cores, ahead, 0};
}

}  // namespace

TEST_GROUP(admission){};

TEST(admission, jobs_that_are_of_use_are_accepted) {
  struct row {
    const char* name;
    double work;
    double ahead;
    bool known;
    double cores;
    bool admitted;
  };
  // Alone, the large job takes 20 s, and is of use for 3 s more.
  const row rows[] = {{"idle", 40, 0, true, 10, true},
                      {"late, but of use", 40, 100, true, 10, true},
                      {"at the limit", 40, 110, true, 10, true},
                      {"of no use", 40, 111, true, 10, false},
                      {"large, alone", 200, 0, true, 10, true},
                      {"large, at the limit", 200, 30, true, 10, true},
                      {"large, beside too much", 200, 31, true, 10, false},
                      {"more processors", 40, 1'000, true, 100, true},
                      {"estimate of 0", 0, 100, true, 10, true},
                      {"no processors", 40, 0, true, 0, false},
                      {"capacity unknown", 40, 1'000, false, 0, true}};
  for (const row& it : rows) {
    admission_control control;
    const pool_backlog backlog{it.known, it.cores, it.ahead, 0};
    const auto out = control.decide("pool", make_job(1, it.work), backlog, now);
    CHECK_EQUAL_TEXT(it.admitted, out.admitted, it.name);
    CHECK_EQUAL_TEXT(it.admitted, out.retry_after == milliseconds(0), it.name);
    STRCMP_EQUAL_TEXT(it.admitted ? "" : "overload", out.cause, it.name);
    // Nobody waits for a pool without processors.
    const bool waits = !it.admitted && it.cores > 0;
    LONGS_EQUAL_TEXT(waits ? 1 : 0, control.expected_callers("pool", now),
                     it.name);
  }
}

// A path beyond the useful time is not shorter on any other day: it is of use
// for as long as an empty pool takes at most, 20 s here, and 1 s more.
TEST(admission, long_paths_are_measured_against_an_empty_pool) {
  job_demand job = make_job(1);
  job.path = milliseconds(16'000);
  admission_control control;
  CHECK_TRUE(control.decide("pool", job, make_backlog(0), now).admitted);
  CHECK_TRUE(control.decide("pool", job, make_backlog(170), now).admitted);
  CHECK_FALSE(control.decide("pool", job, make_backlog(171), now).admitted);
}

// Estimates of days must neither overflow nor send a caller away for days.
TEST(admission, retry_is_bounded) {
  struct row {
    double ahead;
    int64_t retry_after_ms;
    size_t callers;
  };
  // The work takes the ahead and 4 s, of which 5 s count anew at the return.
  const row rows[] = {{111, 10'100, 1},
                      {310, 30'000, 1},
                      {311, 30'000, 0},
                      {1e6, 30'000, 0},
                      {1e300, 30'000, 0}};
  for (const row& it : rows) {
    admission_control control;
    const auto out =
        control.decide("pool", make_job(1), make_backlog(it.ahead), now);
    CHECK_FALSE(out.admitted);
    LONGS_EQUAL(it.retry_after_ms, out.retry_after.count());
    LONGS_EQUAL(it.callers, control.expected_callers("pool", now));
  }
  job_demand soon = make_job(1);
  soon.objective = milliseconds(14'500);
  LONGS_EQUAL(1'000, admission_control()
                         .decide("pool", soon, make_backlog(111), now)
                         .retry_after.count());
}

TEST(admission, large_estimates_do_not_overflow) {
  for (const double work : {1e6, 1e300}) {
    admission_control control;
    CHECK_TRUE(control.decide("pool", make_job(1, work), make_backlog(0), now)
                   .admitted);
  }
}

TEST(admission,
     rejected_callers_return_in_order_and_no_faster_than_room_opens) {
  admission_control control;
  milliseconds last{0};
  for (uint64_t i = 1; i <= 5; ++i) {
    const auto out =
        control.decide("pool", make_job(i), make_backlog(150), now);
    CHECK_FALSE(out.admitted);
    // The job before it takes 4 s of the pool.
    if (i > 1) LONGS_EQUAL(4'000, (out.retry_after - last).count());
    last = out.retry_after;
  }
}

TEST(admission, caller_in_its_turn_goes_before_one_that_comes_anew) {
  admission_control control;
  control.decide("pool", make_job(1), make_backlog(150), now);
  control.decide("pool", make_job(2), make_backlog(150), now);
  // Room has opened for one job.
  const pool_backlog room = make_backlog(80);
  const time_point later = now + milliseconds(7'000);
  CHECK_FALSE(control.decide("pool", make_job(3), room, later).admitted);
  CHECK_TRUE(control.decide("pool", make_job(1), room, later).admitted);
}

TEST(admission, caller_that_returns_at_once_gains_nothing) {
  admission_control control;
  const auto first =
      control.decide("pool", make_job(1), make_backlog(150), now);
  for (int i = 1; i <= 100; ++i) {
    const auto again = control.decide("pool", make_job(1), make_backlog(150),
                                      now + milliseconds(i));
    CHECK_FALSE(again.admitted);
    LONGS_EQUAL(first.retry_after.count(), again.retry_after.count());
  }
  LONGS_EQUAL(1, control.expected_callers("pool", now));
}

TEST(admission, caller_that_does_not_return_loses_its_turn) {
  admission_control control;
  const auto out = control.decide("pool", make_job(1), make_backlog(150), now);
  const time_point due = now + out.retry_after;
  LONGS_EQUAL(1, control.expected_callers("pool", due + milliseconds(1'999)));
  LONGS_EQUAL(0, control.expected_callers("pool", due + milliseconds(2'000)));
}

// The callers go elsewhere, and what they were promised would block the pool.
TEST(admission, callers_that_left_block_nobody) {
  admission_control control;
  for (uint64_t i = 1; i <= 50; ++i)
    CHECK_FALSE(
        control.decide("pool", make_job(i), make_backlog(150), now).admitted);
  // Later ones would be told to return after more than 30 s.
  LONGS_EQUAL(5, control.expected_callers("pool", now));
  for (uint64_t s = 0; s <= 40; ++s) {
    const time_point later = now + milliseconds(1'000) * static_cast<int>(s);
    CHECK_TRUE(control.decide("pool", make_job(100 + s), make_backlog(0), later)
                   .admitted);
  }
}

TEST(admission, caller_that_is_rejected_again_keeps_its_place) {
  admission_control control;
  for (uint64_t i = 1; i <= 3; ++i)
    control.decide("pool", make_job(i), make_backlog(150), now);
  const time_point due = now + milliseconds(14'000);
  const auto again =
      control.decide("pool", make_job(1), make_backlog(150), due);
  CHECK_FALSE(again.admitted);
  // By the work that was ahead of it at first, without the other callers'.
  LONGS_EQUAL(14'000, again.retry_after.count());
  LONGS_EQUAL(3, control.expected_callers("pool", due));
  // Room has opened for one job.
  const pool_backlog room = make_backlog(110);
  CHECK_FALSE(control.decide("pool", make_job(3), room, due).admitted);
  CHECK_TRUE(control.decide("pool", make_job(1), room, due).admitted);
}

TEST(admission, cancel_drops_the_turn) {
  admission_control control;
  control.decide("pool", make_job(1), make_backlog(150), now);
  control.forget(job_number(2));
  LONGS_EQUAL(1, control.expected_callers("pool", now));
  control.forget(job_number(1));
  LONGS_EQUAL(0, control.expected_callers("pool", now));
}

TEST(admission, turns_hold_for_their_kind_and_priority) {
  struct row {
    const char* name;
    bool backfill;
    uint32_t priority;
    bool admitted;
  };
  const row rows[] = {{"the same", false, 1, false},
                      {"less urgent", false, 2, false},
                      {"more urgent", false, 0, true},
                      {"other processors", true, 1, true}};
  for (const row& it : rows) {
    admission_control control;
    job_demand job = make_job(1);
    job.priority = 1;
    control.decide("pool", job, make_backlog(150), now);
    job.job = job_number(2);
    job.backfill = it.backfill;
    job.priority = it.priority;
    const auto out = control.decide("pool", job, make_backlog(110), now);
    CHECK_EQUAL_TEXT(it.admitted, out.admitted, it.name);
  }
}

TEST(admission, turns_are_bounded) {
  admission_control control;
  for (uint64_t i = 1; i <= 4'200; ++i)
    CHECK_FALSE(
        control.decide("pool", make_job(i, 0.001), make_backlog(160), now)
            .admitted);
  LONGS_EQUAL(4'096, control.expected_callers("pool", now));
}

TEST(admission, pools_do_not_wait_for_each_other) {
  admission_control control;
  control.decide("busy", make_job(1), make_backlog(150), now);
  CHECK_TRUE(
      control.decide("idle", make_job(2), make_backlog(110), now).admitted);
}

TEST(admission, long_running_jobs_need_unclaimed_processors) {
  struct row {
    const char* name;
    double asked;
    bool known;
    double cores;
    double free;
    bool admitted;
  };
  // Work ahead does not matter: it ends, and the job does not.
  const row rows[] = {{"fits", 4, true, 10, 10, true},
                      {"fits exactly", 10, true, 10, 10, true},
                      {"more than there is", 11, true, 10, 10, false},
                      {"all in use now", 10, true, 0, 10, true},
                      {"all in use now, too large", 11, true, 0, 10, false},
                      {"capacity unknown", 11, false, 0, 10, true}};
  for (const row& it : rows) {
    admission_control control;
    job_demand job = make_job(1, 0);
    job.lasting_cores = it.asked;
    const auto out =
        control.decide("pool", job, {it.known, it.cores, 1'000, it.free}, now);
    CHECK_EQUAL_TEXT(it.admitted, out.admitted, it.name);
    STRCMP_EQUAL_TEXT(it.admitted ? "" : "no-capacity", out.cause, it.name);
  }
}

TEST(admission, long_running_jobs_return_by_their_objective) {
  struct row {
    int64_t objective_ms;
    int64_t retry_after_ms;
  };
  for (const row& it :
       {row{0, 1'000}, row{5'000, 5'000}, row{7'200'000, 30'000}}) {
    admission_control control;
    job_demand job = make_job(1, 0);
    job.lasting_cores = 11;
    job.objective = milliseconds(it.objective_ms);
    const auto out = control.decide("pool", job, {true, 10, 0, 10}, now);
    LONGS_EQUAL(it.retry_after_ms, out.retry_after.count());
  }
}
