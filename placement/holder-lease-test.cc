// At no time do two boxes hold a data centre's lease: random runs with loss,
// delay, restarts, freezes and clocks that drift.
#include "placement/holder-lease.h"

#include <CppUTest/TestHarness.h>

#include <memory>

#include "base/text.h"

using namespace kestrelreel;

namespace {

/// A clock that runs at its own pace and stops while the box is frozen.
struct drifting_clock final : clock_source {
  time_point now() const override {
    return milliseconds(static_cast<int64_t>(at));
  }
  double at = 5'000;
  double pace = 1;
};

struct letter {
  size_t from;
  size_t to;
  proto::peer_message m;
};

struct lease_world {
  explicit lease_world(uint64_t seed, size_t boxes) : random(seed) {
    for (size_t i = 0; i < boxes; ++i) names.emplace_back(str_cat("b", i));
    clocks.resize(boxes);
    leases.resize(boxes);
    for (size_t i = 0; i < boxes; ++i) {
      // Within the stated drift of 5 percent between any two.
      clocks[i].pace =
          0.98 + 0.04 * static_cast<double>(random.below(100)) / 100.0;
      start(i);
    }
  }

  void start(size_t i) {
    leases[i] = std::make_unique<holder_lease>(
        names[i], data_centre_id("d"), names, lease_settings(), clocks[i],
        [this, i](const box_id& to, proto::peer_message m) {
          for (size_t j = 0; j < names.size(); ++j) {
            if (names[j] == to) mail.push_back({i, j, std::move(m)});
          }
        });
  }

  void deliver_some() {
    for (size_t n = random.below(4); n > 0 && !mail.empty(); --n) {
      const size_t k = random.below(mail.size());
      const letter it = mail[k];
      mail[k] = mail.back();
      mail.pop_back();
      if (random.below(10) == 0) continue;
      if (it.m.has_lease()) {
        leases[it.to]->on_request(names[it.from], it.m.lease());
      } else {
        leases[it.to]->on_reply(names[it.from], it.m.leased());
      }
    }
  }

  size_t holders() const {
    size_t n = 0;
    for (const auto& it : leases) n += it->held() ? 1 : 0;
    return n;
  }

  std::vector<box_id> names;
  std::vector<drifting_clock> clocks;
  std::vector<std::unique_ptr<holder_lease>> leases;
  std::vector<letter> mail;
  seeded_random random;
};

}  // namespace

TEST_GROUP(holder_lease){};

TEST(holder_lease, two_boxes_never_hold_it_at_once) {
  unsigned steps_held = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    lease_world world(seed, seed % 3 == 0 ? 5 : 3);
    for (int step = 0; step < 3'000; ++step) {
      for (auto& it : world.clocks) it.at += 20 * it.pace;
      world.deliver_some();
      const size_t i = world.random.below(world.names.size());
      world.leases[i]->tick(false);
      if (world.random.below(700) == 0) world.start(i);
      if (world.random.below(900) == 0) world.leases[i]->resign();
      CHECK_TEXT(world.holders() <= 1, str_cat("seed ", seed).c_str());
      steps_held += world.holders() == 1 ? 1 : 0;
    }
  }
  CHECK_TRUE(steps_held > 60'000);
}

TEST(holder_lease, small_data_centres_have_grantors_elsewhere) {
  struct {
    std::vector<const char*> boxes;
    std::vector<const char*> grantors;
  } const rows[] = {
      {{"d1", "d2", "d3", "e1"}, {"d1", "d2", "d3"}},
      {{"e1", "d1", "d2", "e2"}, {"d1", "d2", "e1"}},
      {{"e1", "d1", "e2", "e3"}, {"d1", "e1", "e2"}},
      {{"d1", "d2"}, {"d1", "d2"}},
      {{"d1", "d2", "d3", "d4"}, {"d1", "d2", "d3", "d4"}},
  };
  for (const auto& row : rows) {
    std::vector<box_entry> entries;
    for (const char* it : row.boxes) {
      entries.push_back(
          {box_id(it), data_centre_id(std::string(1, it[0])), "", false});
    }
    drifting_clock clock;
    const box_table table(box_id("d1"), entries, clock);
    std::vector<box_id> wanted;
    for (const char* it : row.grantors) wanted.emplace_back(it);
    CHECK_TRUE(lease_grantors(table, data_centre_id("d")) == wanted);
  }
}

TEST(holder_lease, epochs_rise) {
  lease_world world(7, 3);
  uint64_t last = 0;
  size_t holder = 99;
  for (int step = 0; step < 4'000; ++step) {
    for (auto& it : world.clocks) it.at += 20;
    world.deliver_some();
    for (size_t i = 0; i < 3; ++i) {
      world.leases[i]->tick(false);
      if (!world.leases[i]->held() || holder == i) continue;
      CHECK_TRUE(world.leases[i]->epoch().value() > last);
      last = world.leases[i]->epoch().value();
      holder = i;
    }
    if (step % 900 == 899) world.start(holder % 3);
  }
  CHECK_TRUE(last >= 2);
}

TEST(holder_lease, a_restarted_grantor_waits_out_the_lease_it_forgot) {
  lease_world world(1, 3);
  proto::lease_request request;
  request.set_epoch(9);
  request.set_round(1);
  world.leases[1]->on_request(world.names[0], request);
  CHECK_FALSE(world.mail.back().m.leased().granted());
  world.clocks[1].at += 3'200;
  world.leases[1]->on_request(world.names[0], request);
  CHECK_TRUE(world.mail.back().m.leased().granted());
}

// Found by the demo: a box whose first try met the dead holder's grant waited
// 4.2 s before the next, and the tasks' leases ended.
TEST(holder_lease, a_refused_box_tries_again_soon) {
  lease_world world(1, 3);
  for (auto& it : world.clocks) it.at += 4'000;
  proto::lease_request other;
  other.set_epoch(5);
  other.set_round(1);
  for (const size_t i : {1, 2}) {
    world.leases[i]->on_request(box_id("dead"), other);
  }
  world.mail.clear();
  const double begun = world.clocks[0].at;
  while (!world.leases[0]->held() && world.clocks[0].at < begun + 9'000) {
    for (auto& it : world.clocks) it.at += 20;
    world.leases[0]->tick(false);
    while (!world.mail.empty()) {
      const letter it = world.mail.back();
      world.mail.pop_back();
      if (it.m.has_lease()) {
        world.leases[it.to]->on_request(world.names[it.from], it.m.lease());
      } else {
        world.leases[it.to]->on_reply(world.names[it.from], it.m.leased());
      }
    }
  }
  // The grant that it meets lasts 3.15 s by the grantor's clock.
  CHECK_TRUE(world.clocks[0].at - begun < 4'000);
}

TEST(holder_lease, outbid_ends_the_reign_and_goes_above) {
  lease_world world(1, 1);
  world.clocks[0].at += 4'000;
  world.leases[0]->tick(false);
  CHECK_TRUE(world.leases[0]->held());
  world.leases[0]->outbid(epoch_number(12));
  CHECK_FALSE(world.leases[0]->held());
  world.leases[0]->tick(false);
  CHECK_TRUE(world.leases[0]->held());
  CHECK_EQUAL(13, world.leases[0]->epoch().value());
}
