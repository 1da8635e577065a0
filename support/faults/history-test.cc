// Each check of a soak bites: what breaks one promise is told under its name,
// and what breaks none is not.
#include "support/faults/history.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <span>

using namespace kestrelreel;
using namespace kestrelreel::faults;

TEST_GROUP(soak_history){};

namespace {

const job_name job("5c0e7a21d94b36f8");
const task_name task("5c0e7a21d94b36f8.0.0.0");

run_record run_of(uint32_t n, int began) {
  run_record it;
  it.run = n;
  it.began = time_point(began);
  return it;
}

void tries(history& it, std::initializer_list<unsigned> statuses) {
  for (const unsigned status : statuses) {
    it.tried(job, {"e", time_point(1), time_point(2), status});
  }
}

/// A job that is taken at 2 ms, and a cancel acknowledged at 10 ms.
void cancels(history& it, unsigned status) {
  tries(it, {200});
  it.cancelled(job, {"e", time_point(8), time_point(10), status});
}

void reads(history& it, const char* state, unsigned status, int at) {
  it.state_read(job,
                {{"e", time_point(at), time_point(at + 2), status}, state});
}

constexpr int last_start = 10 + static_cast<int>(cancel_bound.count());
constexpr int last_alive = last_start + static_cast<int>(unheard_stop.count());
constexpr int known_from = 2 + static_cast<int>(known_within.count());

struct row {
  const char* name;
  /// The word that the only line begins with; empty for none.
  const char* word;
  std::function<void(history&)> seen;
};

const row run_rows[] = {
    {"a refused job runs", "REFUSED",
     [](history& it) {
       tries(it, {503, 429, 404});
       it.began(task, run_of(1, 5));
     }},
    {"a job runs one of whose tries got no answer", "",
     [](history& it) {
       tries(it, {503, 0});
       it.began(task, run_of(1, 5));
     }},
    {"a job runs one of whose tries was told unknown", "",
     [](history& it) {
       tries(it, {503, 504});
       it.began(task, run_of(1, 5));
     }},
    {"a refused job does not run", "",
     [](history& it) {
       tries(it, {503, 503});
     }},
    {"nobody asked", "UNASKED",
     [](history& it) { it.began(task_name("7.0.0.0"), run_of(1, 5)); }},
    {"two runs at once", "TWICE",
     [](history& it) {
       tries(it, {504});
       it.began(task, run_of(1, 5));
       it.began(task, run_of(2, 7));
       it.ended(task, 1, time_point(9), false);
     }},
    {"a run after the other", "",
     [](history& it) {
       tries(it, {504});
       it.began(task, run_of(1, 5));
       it.ended(task, 1, time_point(6), false);
       it.began(task, run_of(2, 7));
     }},
    {"a run after a good end that is known", "TWICE",
     [](history& it) {
       tries(it, {504});
       it.began(task, run_of(1, 5));
       it.ended(task, 1, time_point(6), true);
       it.noted(task, 1, time_point(7));
       it.began(task, run_of(2, 8));
     }},
    {"a run after a good end that nobody knows", "",
     [](history& it) {
       tries(it, {504});
       it.began(task, run_of(1, 5));
       it.ended(task, 1, time_point(6), true);
       it.began(task, run_of(2, 8));
     }},
    {"accepted and never done", "LOST",
     [](history& it) {
       tries(it, {503, 200});
     }},
};

/// Two runs after each other, the first with a good end on a worker that was
/// granted a lease at 4 ms, and again at each of these times.
void runs_again(history& it, std::initializer_list<int> granted, int again,
                bool crashes_between = false) {
  constexpr milliseconds hold{100};
  tries(it, {504});
  it.leases().granted("i-1", time_point(4), hold);
  run_record first = run_of(1, 5);
  first.worker = "i-1";
  it.began(task, first);
  it.ended(task, 1, time_point(6), true);
  for (const int at : granted) it.leases().granted("i-1", time_point(at), hold);
  if (crashes_between) it.leases().life_over("i-1");
  it.began(task, run_of(2, again));
}

const row again_rows[] = {
    {"after a good end, while its worker holds its lease", "AGAIN",
     [](history& it) {
       runs_again(it, {50, 120}, 200);
     }},
    {"after a good end, when its worker's lease is over", "",
     [](history& it) {
       runs_again(it, {50, 120}, 221);
     }},
    {"after a good end, when its worker has crashed", "",
     [](history& it) { runs_again(it, {}, 50, true); }},
    {"after a good end, and then its worker crashes", "AGAIN",
     [](history& it) {
       runs_again(it, {}, 50);
       it.leases().life_over("i-1");
     }},
    {"a worker is unheard for longer than its lease", "UNHEARD",
     [](history& it) {
       runs_again(it, {50, 151}, 252);
     }},
};

const row cancel_rows[] = {
    {"a start long after an acknowledged cancel", "CANCELLED",
     [](history& it) {
       cancels(it, 200);
       it.began(task, run_of(1, last_start + 1));
       it.ended(task, 1, time_point(last_start + 2), false);
     }},
    {"a start long after a cancel told that no such job is", "CANCELLED",
     [](history& it) {
       cancels(it, 410);
       it.began(task, run_of(1, last_start + 1));
       it.ended(task, 1, time_point(last_start + 2), false);
     }},
    {"a start whose order was on its way", "",
     [](history& it) {
       cancels(it, 200);
       it.began(task, run_of(1, last_start));
       it.ended(task, 1, time_point(last_alive), false);
     }},
    {"a start after a cancel that nobody acknowledged", "",
     [](history& it) {
       cancels(it, 0);
       it.began(task, run_of(1, last_start + 1));
     }},
    {"a cancelled run that goes on", "CANCELLED",
     [](history& it) {
       cancels(it, 200);
       it.began(task, run_of(1, 5));
     }},
    {"a cancelled run that ends late", "CANCELLED",
     [](history& it) {
       cancels(it, 200);
       it.began(task, run_of(1, 5));
       it.ended(task, 1, time_point(last_alive + 1), true);
     }},
    {"cancelled and never done", "", [](history& it) { cancels(it, 200); }},
    {"a cancel without an answer and never done", "",
     [](history& it) { cancels(it, 504); }},
    {"a refused cancel and never done", "LOST",
     [](history& it) { cancels(it, 503); }},
};

const row state_rows[] = {
    {"accepted and not known", "STATE",
     [](history& it) {
       tries(it, {200});
       it.began(task, run_of(1, 5));
       it.ended(task, 1, time_point(6), true);
       reads(it, "", 410, known_from + 1);
     }},
    {"accepted just now and not known", "",
     [](history& it) {
       tries(it, {200});
       it.began(task, run_of(1, 5));
       it.ended(task, 1, time_point(6), true);
       reads(it, "", 410, known_from);
     }},
    {"cancelled long after it was accepted and not known", "STATE",
     [](history& it) {
       tries(it, {200});
       const time_point at(known_from + 1);
       it.cancelled(job, {"e", at, at, 410});
     }},
    {"shown as succeeded before it ended", "STATE",
     [](history& it) {
       tries(it, {200});
       reads(it, "succeeded", 200, 3);
       it.began(task, run_of(1, 5));
       it.ended(task, 1, time_point(6), true);
     }},
    {"shown as succeeded once it ended", "",
     [](history& it) {
       tries(it, {200});
       it.began(task, run_of(1, 5));
       it.ended(task, 1, time_point(6), true);
       reads(it, "succeeded", 200, 6);
     }},
    {"shown as cancelled though nobody did", "STATE",
     [](history& it) {
       tries(it, {200});
       it.began(task, run_of(1, 5));
       it.ended(task, 1, time_point(6), true);
       reads(it, "canceled", 200, 6);
     }},
};

/// So many runs of the task, one after the other; all crash their workers.
void crash_runs(history& it, uint32_t n) {
  tries(it, {200});
  it.plan_crash(job);
  for (uint32_t run = 1; run <= n; ++run) {
    const int began = 5 + 2 * static_cast<int>(run);
    it.began(task, run_of(run, began));
    it.crashes(task, run);
    it.ended(task, run, time_point(began + 1), false);
  }
}

const row crash_rows[] = {
    {"three starts after three crashes", "BUDGET",
     [](history& it) { crash_runs(it, 6); }},
    {"two starts after three crashes", "",
     [](history& it) { crash_runs(it, 5); }},
    {"a crashing job is shown as failed", "",
     [](history& it) {
       crash_runs(it, 2);
       reads(it, "failed", 200, 50);
     }},
    {"one that can be done is shown as failed", "STATE",
     [](history& it) {
       tries(it, {200});
       it.began(task, run_of(1, 5));
       it.ended(task, 1, time_point(6), true);
       reads(it, "failed", 200, 50);
     }},
    {"a start over the room", "LIMIT",
     [](history& it) {
       tries(it, {200});
       it.began(task, run_of(1, 5));
       it.over_room(task, "w", 3);
       it.ended(task, 1, time_point(6), true);
     }},
};

const row config_rows[] = {
    {"an older configuration is read", "CONFIG",
     [](history& it) {
       auto& seen = it.configurations();
       seen.sent(config_number(6));
       seen.sent(config_number(7));
       seen.acknowledged(config_number(7), time_point(8));
       const auto begun = seen.begin_read(time_point(8));
       seen.end_read(begun, config_number(6), time_point(10));
     }},
    {"a read that was under way", "",
     [](history& it) {
       auto& seen = it.configurations();
       seen.sent(config_number(6));
       seen.sent(config_number(7));
       const auto begun = seen.begin_read(time_point(7));
       seen.acknowledged(config_number(7), time_point(8));
       seen.end_read(begun, config_number(6), time_point(10));
     }},
};

const row stop_rows[] = {
    {"a planned stop cuts a request off", "CUT",
     [](history& it) {
       it.stops().told_to_stop("e", time_point(8));
       it.stops().cut({"e", time_point(7), time_point(9), ""});
     }},
    {"a request is cut off without one", "",
     [](history& it) {
       it.stops().cut({"e", time_point(7), time_point(9), ""});
     }},
};

void check_rows(std::span<const row> rows) {
  for (const row& it : rows) {
    history seen;
    seen.plan_job(job, {task});
    it.seen(seen);
    const auto lines = seen.broken(true);
    const bool clean = *it.word == '\0';
    LONGS_EQUAL_TEXT(clean ? 0 : 1, lines.size(), it.name);
    if (!clean) CHECK_TRUE_TEXT(lines[0].starts_with(it.word), it.name);
  }
}

}  // namespace

TEST(soak_history, runs) { check_rows(run_rows); }
TEST(soak_history, runs_again) { check_rows(again_rows); }
TEST(soak_history, cancels) { check_rows(cancel_rows); }
TEST(soak_history, crashes) { check_rows(crash_rows); }
TEST(soak_history, states) { check_rows(state_rows); }
TEST(soak_history, configurations) { check_rows(config_rows); }
TEST(soak_history, stops) { check_rows(stop_rows); }

TEST(soak_history, all_is_done_once_what_was_accepted_ended_well) {
  history it;
  it.plan_job(job, {task});
  CHECK_TRUE(it.all_done());
  tries(it, {200});
  CHECK_FALSE(it.all_done());
  it.began(task, run_of(1, 5));
  CHECK_FALSE(it.all_done());
  it.ended(task, 1, time_point(6), true);
  CHECK_TRUE(it.all_done());
}
