// Summed over all entry boxes, a runner's slots are never exceeded: random
// runs with loss, delay, boxes that restart and holders that change.
#include "routing/slot-lender.h"

#include <CppUTest/TestHarness.h>

#include <memory>

#include "base/text.h"
#include "routing/runner-pool.h"

using namespace kestrelreel;

namespace {

struct virtual_clock final : clock_source {
  time_point now() const override { return at; }
  time_point at{50'000};
};

constexpr uint32_t slots = 8;
constexpr milliseconds longest_request{1'000};

/// An entry box with one runner and the requests that it has there.
struct entry_box {
  void use(clock_source& clock, bool busy, seeded_random& random) {
    const time_point now = clock.now();
    std::erase_if(ends, [&](time_point it) { return it <= now; });
    const milliseconds length(
        static_cast<int64_t>(1 + random.below(longest_request.count() - 1)));
    runner view;
    view.fixed_slots = fixed;
    view.lent_slots = lent;
    view.lent_until = lent_until;
    while (busy && ends.size() < view.slots(now + length)) {
      ends.push_back(now + length);
    }
  }
  uint32_t in_flight() const { return static_cast<uint32_t>(ends.size()); }
  uint32_t held() const {
    const uint32_t used = in_flight() > fixed ? in_flight() - fixed : 0;
    return std::max(lent, used);
  }

  uint64_t round = 0;
  uint64_t have_round = 0;
  std::map<uint64_t, time_point> asked;
  uint32_t fixed = 0;
  uint32_t lent = 0;
  time_point lent_until{};
  std::vector<time_point> ends;
};

struct letter {
  size_t box;
  bool is_table;
  proto::runner_request request;
  proto::runner_table table;
};

struct lender_world {
  lender_world(uint64_t seed, unsigned boxes_count) : random(seed) {
    for (unsigned i = 0; i < boxes_count; ++i) {
      names.emplace_back(str_cat("b", i));
    }
    boxes.resize(boxes_count);
    serving = names;
    lender = std::make_unique<slot_lender>(names, loan_settings(), clock);
    target.task = task_id("t");
    target.attempt = attempt_number(1);
    target.slots = slots;
  }

  void ask(size_t i) {
    entry_box& it = boxes[i];
    letter m{i, false, {}, {}};
    m.request.set_round(++it.round);
    m.request.set_have_round(it.have_round);
    it.asked[it.round] = clock.at;
    if (it.held() > 0) {
      auto& holding = *m.request.add_holdings();
      holding.set_task("t");
      holding.set_attempt(1);
      holding.set_slots(it.held());
    }
    mail.push_back(std::move(m));
  }

  void deliver(const letter& m) {
    entry_box& it = boxes[m.box];
    if (!m.is_table) {
      letter reply{m.box, true, {}, {}};
      reply.table = lender->answer(names[m.box], m.request, {target}, serving);
      mail.push_back(std::move(reply));
      return;
    }
    const auto asked = it.asked.find(m.table.round());
    if (asked == it.asked.end() || m.table.round() <= it.have_round) return;
    it.have_round = m.table.round();
    it.fixed = m.table.runners(0).fixed_slots();
    it.lent = m.table.runners(0).lent_slots();
    it.lent_until =
        asked->second + milliseconds(static_cast<int64_t>(m.table.valid_ms()));
  }

  uint32_t in_flight() const {
    uint32_t n = 0;
    for (const entry_box& it : boxes) n += it.in_flight();
    return n;
  }

  void step(unsigned loss, unsigned restart, unsigned new_holder) {
    clock.at += milliseconds(50);
    for (size_t i = 0; i < boxes.size(); ++i) {
      if (random.below(10) == 0) ask(i);
      boxes[i].use(clock, random.below(3) > 0, random);
    }
    std::vector<letter> now;
    std::swap(now, mail);
    for (const letter& it : now) {
      if (random.below(3) == 0) {
        mail.push_back(it);
      } else if (random.below(1'000) >= loss) {
        deliver(it);
      }
    }
    if (random.below(1'000) < restart) restart_one();
    if (random.below(1'000) < new_holder) lender->begin();
  }

  /// The box forgets all; its requests end with its connections.
  void restart_one() {
    const size_t i = random.below(boxes.size());
    boxes[i] = entry_box();
    serving = names;
    if (random.below(2) == 0) {
      serving.erase(serving.begin() + static_cast<long>(i));
    }
  }

  seeded_random random;
  virtual_clock clock;
  std::vector<box_id> names;
  std::vector<box_id> serving;
  std::vector<entry_box> boxes;
  std::unique_ptr<slot_lender> lender;
  lendable_runner target;
  std::vector<letter> mail;
};

}  // namespace

TEST_GROUP(slot_lender){};

TEST(slot_lender, boxes_together_never_exceed_a_runners_slots) {
  struct {
    const char* name;
    unsigned loss;
    unsigned restart;
    unsigned new_holder;
  } const rows[] = {{"calm", 0, 0, 0},
                    {"loss", 300, 0, 0},
                    {"restarts", 0, 20, 0},
                    {"new holders", 0, 0, 10},
                    {"all", 200, 10, 5}};
  for (const auto& row : rows) {
    for (unsigned boxes = 1; boxes <= 4; ++boxes) {
      for (uint64_t seed = 1; seed <= 40; ++seed) {
        lender_world world(seed, boxes);
        for (int i = 0; i < 800; ++i) {
          world.step(row.loss, row.restart, row.new_holder);
          CHECK_TEXT(
              world.in_flight() <= slots,
              str_cat(row.name, ", ", boxes, " boxes, seed ", seed).c_str());
        }
      }
    }
  }
}

TEST(slot_lender, calm_boxes_get_all_slots) {
  for (unsigned boxes = 1; boxes <= 4; ++boxes) {
    lender_world world(1, boxes);
    for (int i = 0; i < 800; ++i) world.step(0, 0, 0);
    uint32_t n = 0;
    for (const entry_box& it : world.boxes) n += it.fixed + it.lent;
    CHECK_EQUAL(slots, n);
  }
}

TEST(slot_lender, a_dead_boxs_loans_come_back) {
  lender_world world(1, 3);
  for (int i = 0; i < 800; ++i) world.step(0, 0, 0);
  world.serving.pop_back();
  world.boxes.pop_back();
  for (int i = 0; i < 800; ++i) world.step(0, 0, 0);
  uint32_t n = 0;
  for (const entry_box& it : world.boxes) n += it.fixed + it.lent;
  CHECK_EQUAL(slots - fixed_share(slots, 3), n);
}

TEST(slot_lender, fixed_shares_fit) {
  struct {
    uint32_t slots;
    size_t boxes;
    uint32_t share;
  } const rows[] = {{8, 3, 1}, {8, 2, 2},   {8, 1, 4}, {2, 3, 0},
                    {3, 3, 1}, {64, 3, 10}, {8, 0, 0}};
  for (const auto& row : rows) {
    CHECK_EQUAL(row.share, fixed_share(row.slots, row.boxes));
  }
}
