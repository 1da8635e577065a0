// Enumerates what may happen to one task between two workers and two control
// boxes, within bounds: the task never runs twice at once, and a success counts
// once it is acknowledged.
#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <span>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "fleet/order-states-test-key.h"
#include "fleet/order-states-test-steps.h"

using namespace kestrelreel;
using namespace kestrelreel::order_states;

namespace {

/// How often an event of each kind happens at most, of those that are faults
/// or take time; the others are not limited.
constexpr uint8_t max_faults = 1;
constexpr uint8_t max_done = 1;
constexpr uint8_t max_waits = 2;
constexpr uint8_t unlimited = 255;

/// The events that a search starts with, and its bounds.
struct scenario {
  const char* name;
  event_list start;
  size_t max_depth;
  std::vector<event_kind> faults;
  uint32_t max_ended = 0;

  event_limits limits() const {
    event_limits out{};
    const auto set = [&out](event_kind kind, uint8_t n) {
      out[static_cast<size_t>(kind)] = n;
    };
    for (const event_kind it : {event_kind::call, event_kind::answer,
                                event_kind::commit, event_kind::arrive})
      set(it, unlimited);
    set(event_kind::done, max_done);
    set(event_kind::wait, max_waits);
    for (const event_kind it : faults) set(it, max_faults);
    return out;
  }
};

struct findings {
  size_t states = 0;
  size_t sequences = 0;
  /// States in which the job has succeeded and nothing is left to happen.
  size_t settled = 0;
  std::string violation;
};

/// Visits each state once, breadth first: the first violation has the shortest
/// sequence of events.
class search {
 public:
  explicit search(const scenario& s) : scenario_(s), limits_(s.limits()) {}

  findings run() {
    std::vector<node> level;
    visit({}, level);
    for (size_t depth = 0; depth < scenario_.max_depth; ++depth) {
      std::vector<node> next;
      for (const node& it : level) {
        for (const event& e : it.enabled) {
          event_list events = it.events;
          events.push_back(e);
          visit(events, next);
          if (!out_.violation.empty()) return out_;
        }
      }
      level = std::move(next);
    }
    return out_;
  }

 private:
  struct node {
    event_list events;
    event_list enabled;
  };

  event_limits used(const event_list& events) const {
    event_limits out{};
    for (const event& it : events) {
      const auto kind = static_cast<size_t>(it.kind);
      if (limits_[kind] != unlimited) ++out[kind];
    }
    return out;
  }

  /// Replays the events, as a controller can't be copied.
  void visit(const event_list& events, std::vector<node>& next) {
    order_world world(scenario_.max_ended);
    for (const event& it : scenario_.start) {
      CHECK_TRUE_TEXT(world.is_enabled(it), scenario_.name);
      world.run(it);
    }
    for (const event& it : events) world.run(it);
    ++out_.sequences;
    if (!world.violation().empty()) {
      out_.violation = world.violation() + ": " + to_text(scenario_.start) +
                       "; " + to_text(events);
      return;
    }
    const event_limits n = used(events);
    std::string key = world.canonical();
    key.append(n.begin(), n.end());
    if (!seen_.insert(std::hash<std::string>()(key)).second) return;
    ++out_.states;
    if (world.is_settled()) {
      ++out_.settled;
      return;
    }
    event_list enabled = world.enabled();
    std::erase_if(enabled, [&](const event& it) {
      const auto kind = static_cast<size_t>(it.kind);
      return n[kind] >= limits_[kind];
    });
    next.push_back({events, std::move(enabled)});
  }

  const scenario& scenario_;
  event_limits limits_;
  std::unordered_set<size_t> seen_;
  findings out_;
};

event_list operator+(event_list left, const event_list& right) {
  left.insert(left.end(), right.begin(), right.end());
  return left;
}

}  // namespace

TEST_GROUP(order_states) {
  // Worker `a` runs the task, then lists its success.
  const event_list begun{
      {event_kind::commit}, {event_kind::call}, {event_kind::answer}};
  const event_list ended = begun + event_list{{event_kind::done}};

  static void check(std::span<const scenario> rows) {
    size_t settled = 0;
    for (const scenario& it : rows) {
      const findings out = search(it).run();
      std::printf("order-states row=\"%s\" states=%zu sequences=%zu\n", it.name,
                  out.states, out.sequences);
      STRCMP_EQUAL_TEXT("", out.violation.c_str(), it.name);
      settled += out.settled;
    }
    CHECK_TRUE(settled > 0);
  }
};

TEST(order_states, any_fault_at_any_time) {
  using enum event_kind;
  const std::vector<event_kind> all{delay, silence, elect, leave, restart};
  const scenario rows[] = {
      {"from the start", {}, 5, all},
      {"a run has begun", begun, 5, all},
      {"a run is done", ended, 5, {delay, put_off, silence, elect, leave}},
  };
  check(rows);
}

TEST(order_states, success_of_a_worker_that_is_gone) {
  using enum event_kind;
  const event_list in_transit = ended + event_list{{delay}};
  const scenario rows[] = {
      {"it restarts", in_transit + event_list{{restart}}, 7, {elect}},
      {"it left", in_transit + event_list{{leave}, {wait}, {wait}}, 6, {elect}},
      {"it left and returns",
       in_transit + event_list{{leave}, {wait}},
       6,
       {restart}},
      {"its lease ends",
       ended + event_list{{silence}},
       6,
       {put_off, delay_put_off, elect}},
      {"its lease ended",
       ended + event_list{{silence}, {wait}},
       6,
       {delay, put_off, elect}},
  };
  check(rows);
}

TEST(order_states, success_left_out_of_a_short_list) {
  using enum event_kind;
  // The only worker lists the lapsed run first.
  const event_list lapsed =
      begun + event_list{{leave, 1}, {silence}, {wait}, {commit}};
  const scenario rows[] = {
      {"cut off", lapsed, 8, {delay}, 1},
      {"and the leader changes", lapsed, 7, {elect}, 1},
  };
  check(rows);
}

TEST(order_states, leader_changes) {
  using enum event_kind;
  const scenario rows[] = {
      {"a run is done", ended + event_list{{call}, {elect}}, 6, {delay, leave}},
      {"a run goes on", begun + event_list{{elect}}, 8, {}},
      {"a later run is recorded",
       ended + event_list{{silence}, {wait}, {commit}, {commit}, {elect}},
       7,
       {put_off}},
  };
  check(rows);
}
