// Guards against heartbeats of an earlier incarnation that end a live one: a
// lagging leader asks for calls about a second apart, which is also when a
// worker calls again that got no answer.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr const char* live = "live";
constexpr const char* earlier = "earlier";
/// A worker without an answer calls again after this time.
constexpr milliseconds answer_limit{1'000};

/// Each tick comes 0.2 s late, so that the leader lags as far as it may.
class lagging_world : public test_world {
 public:
  explicit lagging_world(uint64_t max_heartbeats_per_s)
      : test_world(make_lagging(max_heartbeats_per_s)) {
    configure();
    lag(milliseconds(2'400));
  }

  void lag(milliseconds n) {
    constexpr milliseconds gap{300};
    for (milliseconds at{0}; at < n; at += gap) {
      clock.advance(gap);
      controller.tick();
      commit();
    }
  }
  /// Sends a heartbeat from the machine that both incarnations share.
  fleet::worker_orders call(const std::string& worker, milliseconds clock_ms) {
    fleet::worker_beat& it = next_heartbeat(worker);
    it.set_machine("m");
    it.set_clock_ms(static_cast<uint64_t>(clock_ms.count()));
    fleet::fleet_request request;
    *request.mutable_beat() = it;
    return ask(request).orders();
  }
  size_t runs_at(const std::string& worker) {
    return controller.book().runs_on(worker_id(worker)).size();
  }

 private:
  static controller_settings make_lagging(uint64_t max_heartbeats_per_s) {
    controller_settings settings = make_settings();
    settings.max_heartbeats_per_s = max_heartbeats_per_s;
    return settings;
  }
};

}  // namespace

TEST_GROUP(stretched_pause){};

TEST(stretched_pause, unanswered_heartbeats_end_a_live_incarnation) {
  struct row {
    const char* name;
    // For two workers; a leader of a large site allows 4,000 for all.
    uint64_t max_heartbeats_per_s;
    uint64_t pause_ms;
  };
  const row rows[] = {{"few workers", 4'000, 800},
                      {"as 890 workers", 9, 888},
                      {"as 1,000 workers", 8, 1'000},
                      {"as 1,140 workers", 7, 1'140}};
  std::string failures;
  for (const row& it : rows) {
    lagging_world world(it.max_heartbeats_per_s);
    world.call(live, milliseconds(5'000));
    world.submit(7, {test_world::make_step(1)});
    world.call(live, milliseconds(5'100));
    LONGS_EQUAL_TEXT(1, world.runs_at(live), it.name);
    // The live incarnation is cut off; its lease lasts for 4 s.
    world.lag(milliseconds(300));
    for (int i = 0; i < 3; ++i) {
      const fleet::worker_orders orders =
          world.call(earlier, milliseconds(900'000) + answer_limit * i);
      if (i == 0) LONGS_EQUAL_TEXT(it.pause_ms, orders.next_beat_ms(), it.name);
      world.lag(milliseconds(900));
    }
    if (world.runs_at(live) != 1) failures += std::string(it.name) + "\n";
  }
  CHECK_TRUE_TEXT(failures.empty(), failures.c_str());
}
