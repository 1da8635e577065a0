// Guards against long-running tasks that stay without a run, although room
// could be made for them, because starts of theirs came to nothing.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "fleet/task-outage-test-world.h"

using namespace kestrelreel;

namespace {

using outage::vain_start;

/// Users bear 6 s, and 9 s where there is capacity.
constexpr milliseconds max_outage{9'000};
/// A start that was sent may have begun: no other follows before it is known to
/// be lost. It takes this much after that to find room.
constexpr milliseconds max_wait_after_loss{3'000};

milliseconds limit_of(const outage::outcome& it) {
  if (!it.last_loss_was_sent) return max_outage;
  return std::max(max_outage, it.last_loss + max_wait_after_loss);
}

std::string to_text(const outage::row& it, const outage::outcome& out) {
  return std::string(it.name) + ", " + std::to_string(it.vain_starts) +
         " in vain " + std::to_string(it.gap.count()) +
         " ms apart: listed after " +
         (out.listed ? std::to_string(out.listed->count()) : "(never)") +
         " of " + std::to_string(limit_of(out).count()) + " ms, in vain " +
         std::to_string(out.vain_starts) + ", last lost at " +
         std::to_string(out.last_loss.count()) + ", stops " +
         std::to_string(out.stops) + "\n";
}

/// Runs each row with up to `most` starts in vain, at several gaps.
void check(std::vector<outage::row> rows, int most = 3) {
  std::string failures;
  for (outage::row& it : rows) {
    for (const int gap_ms : {0, 1'000, 1'900, 2'700}) {
      for (int n = 0; n <= most; ++n) {
        it.gap = milliseconds(gap_ms);
        it.vain_starts = n;
        const outage::outcome out = outage::world(it).run();
        if (!out.listed || *out.listed > limit_of(out))
          failures += to_text(it, out);
      }
    }
  }
  CHECK_TRUE_TEXT(failures.empty(), failures.c_str());
}

}  // namespace

TEST_GROUP(task_outage){};

TEST(task_outage, ends_in_time_when_starts_are_not_sent) {
  check(
      {{.name = "not sent", .way = vain_start::unsent},
       {.name = "not sent, lapsed", .way = vain_start::unsent, .lapses = true},
       {.name = "not sent, lapsed, many workers",
        .way = vain_start::unsent,
        .lapses = true,
        .others = 600}});
}

TEST(task_outage, ends_in_time_when_workers_are_lost) {
  check({{.name = "worker lost", .way = vain_start::worker_lost},
         {.name = "worker lost, lapsed",
          .way = vain_start::worker_lost,
          .lapses = true}});
}

TEST(task_outage, ends_in_time_when_workers_leave) {
  check({{.name = "worker left", .way = vain_start::worker_left},
         {.name = "worker drains", .way = vain_start::worker_drains}});
}

TEST(task_outage, ends_in_time_when_starts_do_not_fit) {
  check({{.name = "capacity shrunk", .way = vain_start::capacity_shrunk},
         {.name = "refused", .way = vain_start::refused}});
}

// Two restarts would be evidence of a task that crashes its workers.
TEST(task_outage, ends_in_time_when_a_worker_restarts) {
  check({{.name = "restarted", .way = vain_start::worker_restarted}}, 1);
}

// Another leader can't tell which starts were sent.
TEST(task_outage, ends_in_time_when_the_leader_changes) {
  check({{.name = "not sent, leader changes",
          .way = vain_start::unsent,
          .leader_changes = true},
         {.name = "worker lost, leader changes",
          .way = vain_start::worker_lost,
          .leader_changes = true}});
}
