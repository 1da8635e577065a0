// Which jobs are rejected, and when their callers may return.
#include <CppUTest/TestHarness.h>

#include "scheduling/admission.h"

using namespace kestrelreel;

namespace {

constexpr time_point now(50'000);

/// A job of 40 core-seconds that should end within 5 s and is of use for 15 s.
job_demand make_job(uint64_t number, double work = 40) {
  job_demand out;
  out.job = job_number(number);
  out.work = work;
  out.path = milliseconds(2'000);
  out.objective = milliseconds(5'000);
  out.useful_for = milliseconds(15'000);
  return out;
}

pool_backlog make_backlog(double ahead, double cores = 10) {
  return {cores, ahead, 0};
}

}  // namespace

TEST_GROUP(admission){};

TEST(admission, jobs_that_are_of_use_are_accepted) {
  struct row {
    const char* name;
    double work;
    double ahead;
    double cores;
    bool admitted;
  };
  const row rows[] = {{"idle", 40, 0, 10, true},
                      {"late, but of use", 40, 100, 10, true},
                      {"at the limit", 40, 110, 10, true},
                      {"of no use", 40, 111, 10, false},
                      {"too large by itself", 200, 0, 10, false},
                      {"more processors", 40, 1'000, 100, true},
                      {"estimate of 0", 0, 100, 10, true},
                      {"capacity unknown", 40, 1'000, 0, true}};
  for (const row& it : rows) {
    admission_control control;
    const auto out = control.decide("pool", make_job(1, it.work),
                                    make_backlog(it.ahead, it.cores), now);
    CHECK_EQUAL_TEXT(it.admitted, out.admitted, it.name);
    CHECK_EQUAL_TEXT(it.admitted, out.retry_after == milliseconds(0), it.name);
    LONGS_EQUAL_TEXT(it.admitted ? 0 : 1, control.expected_callers("pool", now),
                     it.name);
  }
}

TEST(admission, path_alone_can_be_too_long) {
  admission_control control;
  job_demand job = make_job(1);
  job.path = milliseconds(15'001);
  CHECK_FALSE(control.decide("pool", job, make_backlog(0), now).admitted);
}

// Estimates of days must neither overflow nor send a caller away for days.
TEST(admission, retry_is_bounded) {
  admission_control control;
  for (const double work : {200.0, 1e6, 1e300}) {
    const auto out =
        control.decide("pool", make_job(1, work), make_backlog(0), now);
    CHECK_FALSE(out.admitted);
    CHECK_TRUE(out.retry_after >= milliseconds(1'000));
    CHECK_TRUE(out.retry_after <= milliseconds(30'000));
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

TEST(admission, pools_do_not_wait_for_each_other) {
  admission_control control;
  control.decide("busy", make_job(1), make_backlog(150), now);
  CHECK_TRUE(
      control.decide("idle", make_job(2), make_backlog(110), now).admitted);
}

TEST(admission, long_running_jobs_need_unclaimed_processors) {
  struct row {
    double asked;
    double free;
    bool admitted;
  };
  const row rows[] = {{4, 10, true}, {10, 10, true}, {11, 10, false}};
  for (const row& it : rows) {
    admission_control control;
    job_demand job = make_job(1, 0);
    job.lasting_cores = it.asked;
    // Work ahead does not matter: it ends, and the job does not.
    const auto out = control.decide("pool", job, {10, 1'000, it.free}, now);
    CHECK_EQUAL(it.admitted, out.admitted);
  }
}
