// What each event does in `order_world`.
#pragma once

#include <algorithm>
#include <string>
#include <utility>

#include "fleet/order-states-test-world.h"

namespace kestrelreel::order_states {

inline void order_world::deliver(const message& it) {
  if (it.ends_only) {
    fleet::beat_batch batch;
    *batch.add_waiting() = it.beat;
    leader().take_heartbeats(batch, [](const fleet::beat_answer&) {});
    return leader().decide();
  }
  fleet::fleet_request request;
  *request.mutable_beat() = it.beat;
  const auto respond = [this, life = it.life, n = it.beat.sequence()](
                           const fleet::fleet_response& response) {
    const fleet::worker_orders& orders = response.orders();
    for (const past_life& past : past_) {
      if (past.id == life && orders.hold_ms() > 0 && past.lease > clock_.now())
        acknowledge(life, orders.last_end());
    }
    for (slow::simulated_worker& w : workers_) {
      if (w.id != life || w.pending != n) continue;
      if (orders.hold_ms() == 0) {
        w.pending = 0;
      } else {
        answers_.push_back({clock_.now(), life, n, orders});
      }
    }
  };
  leader().request(request, respond);
  leader().decide();
}

inline void order_world::acknowledge(const std::string& life, uint64_t last) {
  for (done_end& it : done_) {
    if (it.life != life || it.number > last || it.acknowledged || it.lapsed)
      continue;
    it.acknowledged = true;
    if (it.started_after) fail("started after a success acknowledged later");
    if (!succeeded()) fail("an acknowledged success does not count");
  }
}

inline void order_world::release_ends(const std::string& life) {
  for (done_end& it : done_) {
    if (it.life == life && !it.acknowledged) it.lapsed = true;
  }
}

inline void order_world::handle(slow::simulated_worker& it,
                                const fleet::worker_orders& orders) {
  it.pending = 0;
  if (orders.fence() < it.fence) return;
  it.fence = orders.fence();
  const milliseconds hold(static_cast<int64_t>(orders.hold_ms()));
  it.lease = std::max(it.lease, it.sent + hold * 100 / it.clock_percent);
  std::erase_if(it.ended, [&](const auto& end) {
    return end.number() <= orders.last_end();
  });
  acknowledge(it.id, orders.last_end());
  for (const fleet::stop_order& stop : orders.stops()) {
    const run_key run{to_key(stop.task()), run_number(stop.run())};
    it.highest[run.task] = std::max(it.highest[run.task], run.run);
    if (it.runs.contains(run)) end_run(it, run, fleet::run_stopped);
  }
  for (const fleet::start_order& start : orders.starts()) start_run(it, start);
}

inline void order_world::start_run(slow::simulated_worker& it,
                                   const fleet::start_order& start) {
  const run_key run{to_key(start.task()), run_number(start.run())};
  if (run.run <= it.highest[run.task]) return;
  it.highest[run.task] = run.run;
  for (const slow::simulated_worker& other : workers_) {
    if (!other.runs.empty()) fail("two runs at once");
  }
  for (done_end& end : done_) {
    if (end.acknowledged) fail("started after an acknowledged success");
    end.started_after = true;
  }
  it.runs[run] = {};
}

inline void order_world::end_run(slow::simulated_worker& it, run_key run,
                                 fleet::run_outcome outcome) {
  it.runs.erase(run);
  const fleet::run_end& end = slow::list_end(it, run, outcome);
  if (outcome == fleet::run_done) done_.push_back({it.id, end.number()});
}

inline void order_world::end_life(slow::simulated_worker& it) {
  past_.push_back({it.id, it.lease});
  it.runs.clear();
  it.ended.clear();
  it.pending = 0;
}

inline void order_world::take_answer(int i) {
  slow::simulated_worker& it = workers_[i];
  for (const slow::answer& a : std::exchange(answers_, {})) {
    if (a.worker != it.id) {
      answers_.push_back(a);
    } else if (a.sequence == it.pending) {
      handle(it, a.orders);
    }
  }
}

inline void order_world::expire_leases() {
  const time_point now = clock_.now();
  for (slow::simulated_worker& it : workers_) {
    if (it.pending != 0 && now - it.sent >= slow::answer_limit) it.pending = 0;
    if (it.lease > now) continue;
    const auto runs = it.runs;
    for (const auto& [run, ends] : runs) end_run(it, run, fleet::run_lapsed);
    release_ends(it.id);
  }
  for (const past_life& it : past_) {
    if (it.lease <= now) release_ends(it.id);
  }
  std::erase_if(answers_, [this](const slow::answer& a) {
    return std::none_of(workers_.begin(), workers_.end(), [&](const auto& it) {
      return it.id == a.worker && it.pending == a.sequence;
    });
  });
}

/// Time passes; `calling` gets answers and calls again.
inline void order_world::pass(milliseconds n, int calling) {
  for (milliseconds at{0}; at < n; at += tick_time) {
    clock_.advance(tick_time);
    expire_leases();
    leader().tick();
    if (calling < 0 || left_[calling]) continue;
    take_answer(calling);
    if (workers_[calling].pending == 0)
      run({event_kind::call, static_cast<uint8_t>(calling)});
  }
}

inline void order_world::elect(size_t kept) {
  boxes_[leader_].controller->set_leading(false);
  leader_ = 1 - leader_;
  ++term_;
  led_since_ = clock_.now();
  for (const fleet::fleet_command& it : std::exchange(log_, {})) {
    if (kept == 0) break;
    --kept;
    apply(it);
  }
  leader().set_leading(true);
  leader().decide();
}

inline bool order_world::is_enabled(const event& e) const {
  const slow::simulated_worker& it = workers_[e.worker];
  const bool present = !left_[e.worker];
  switch (e.kind) {
    case event_kind::call:
    case event_kind::delay:
      return present && it.pending == 0;
    case event_kind::put_off:
    case event_kind::delay_put_off:
      return present && it.pending == 0 && !it.ended.empty();
    case event_kind::arrive:
      return e.n < transit_.size();
    case event_kind::answer:
      return std::any_of(answers_.begin(), answers_.end(), [&](const auto& a) {
        return a.worker == it.id && a.sequence == it.pending;
      });
    case event_kind::commit:
      return !log_.empty();
    case event_kind::done:
      return !it.runs.empty();
    case event_kind::wait:
      return true;
    case event_kind::silence:
      return it.lease - clock_.now() > milliseconds(1'000);
    case event_kind::elect:
      return e.n <= log_.size();
    case event_kind::leave:
      return present;
    case event_kind::restart:
      return true;
  }
  return false;
}

inline event_list order_world::enabled() const {
  event_list out;
  for (size_t kind = 0; kind < event_kinds; ++kind) {
    for (uint8_t w = 0; w < workers; ++w) {
      for (uint8_t n = 0; n < 4; ++n) {
        const event e{static_cast<event_kind>(kind), w, n};
        const bool has_worker =
            e.kind != event_kind::arrive && e.kind != event_kind::commit &&
            e.kind != event_kind::wait && e.kind != event_kind::elect;
        const bool has_n =
            e.kind == event_kind::arrive || e.kind == event_kind::elect;
        if ((!has_worker && w > 0) || (!has_n && n > 0)) continue;
        if (is_enabled(e)) out.push_back(e);
      }
    }
  }
  return out;
}

inline void order_world::run(const event& e) {
  slow::simulated_worker& it = workers_[e.worker];
  switch (e.kind) {
    case event_kind::call:
      return deliver({it.id, next_beat(it), false});
    case event_kind::delay:
      return transit_.push_back({it.id, next_beat(it), false});
    case event_kind::put_off:
    case event_kind::delay_put_off: {
      message m{it.id, next_beat(it), true};
      it.pending = 0;
      if (e.kind == event_kind::put_off) return deliver(m);
      return transit_.push_back(std::move(m));
    }
    case event_kind::arrive: {
      const message m = transit_[e.n];
      transit_.erase(transit_.begin() + e.n);
      return deliver(m);
    }
    case event_kind::answer:
      return take_answer(e.worker);
    case event_kind::commit:
      return commit();
    case event_kind::done:
      return end_run(it, it.runs.begin()->first, fleet::run_done);
    case event_kind::wait:
      return pass(wait_time);
    case event_kind::silence:
      return pass(it.lease - silence_margin - clock_.now(), 1 - e.worker);
    case event_kind::elect:
      return elect(e.n);
    case event_kind::leave: {
      fleet::fleet_request request;
      request.set_worker_leaves(it.name);
      request.set_leaver_born(it.born_ms);
      end_life(it);
      left_[e.worker] = true;
      leader().request(request, [](const fleet::fleet_response&) {});
      return leader().decide();
    }
    case event_kind::restart:
      if (!left_[e.worker]) end_life(it);
      left_[e.worker] = false;
      return start_life(it);
  }
}

}  // namespace kestrelreel::order_states
