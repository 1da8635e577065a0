// One task, two workers and two control boxes, driven by single events. A
// sequence of events always leads to the same state, so that a search replays
// it.
#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fleet/slow-test-parts.h"

namespace kestrelreel::order_states {

/// What happens next. Messages that are never delivered are lost.
enum class event_kind : uint8_t {
  call,     // a heartbeat reaches the leader at once
  delay,    // a heartbeat stays in transit
  put_off,  // a box puts the call off and sends its ends ahead
  delay_put_off,
  arrive,   // message `n` in transit reaches the leader
  answer,   // the waiting answer reaches the worker
  commit,   // the log commits its next entry
  done,     // the run on the worker is done
  wait,     // time passes
  silence,  // only the other worker calls until shortly before the lease ends
  elect,    // the other box leads; `n` uncommitted entries are kept
  leave,    // the worker leaves as planned
  restart,  // the worker crashed or left, and returns under its id
};
constexpr size_t event_kinds = 13;
constexpr const char* event_names[event_kinds] = {
    "call", "delay", "put-off", "delay-put-off", "arrive", "answer", "commit",
    "done", "wait",  "silence", "elect",         "leave",  "restart"};

struct event {
  event_kind kind;
  uint8_t worker = 0;
  uint8_t n = 0;
};
using event_list = std::vector<event>;
/// How often each kind of event may happen.
using event_limits = std::array<uint8_t, event_kinds>;

inline std::string to_text(const event_list& events) {
  std::string out;
  for (const event& it : events) {
    out += std::string(out.empty() ? "" : ", ") +
           event_names[static_cast<size_t>(it.kind)] + " " +
           static_cast<char>('a' + it.worker);
    if (it.n > 0) out += std::to_string(it.n);
  }
  return out;
}

constexpr int workers = 2;
constexpr int boxes = 2;
constexpr milliseconds wait_time{500};
constexpr milliseconds tick_time{100};
/// A silence ends this long before the worker's lease does.
constexpr milliseconds silence_margin{200};
constexpr int worker_clock_percent = 98;

class state_text;

class order_world {
 public:
  /// `max_ended`: as in heartbeats; 0 for complete lists of ends.
  explicit order_world(uint32_t max_ended = 0) : max_ended_(max_ended) {
    for (box& it : boxes_) {
      it.log.world = this;
      it.log.box = &it;
      it.controller = std::make_unique<fleet_controller>(
          test_world::make_settings(), clock_, it.log, metrics_);
    }
    boxes_[0].controller->set_leading(true);
    fleet::fleet_command config;
    *config.mutable_config() = test_world::make_config(1, 99);
    apply(config);
    for (int i = 0; i < workers; ++i) {
      workers_[i].name = std::string(1, static_cast<char>('a' + i));
      start_life(workers_[i]);
      run({event_kind::call, static_cast<uint8_t>(i)});
      run({event_kind::answer, static_cast<uint8_t>(i)});
    }
    leader().request(test_world::make_submit(1, {test_world::make_step(1)}),
                     [](const fleet::fleet_response&) {});
    leader().decide();
    commit();
  }
  order_world(const order_world&) = delete;
  order_world& operator=(const order_world&) = delete;

  bool is_enabled(const event& e) const;
  void run(const event& e);
  /// The events that are possible now.
  event_list enabled() const;
  /// The first violated rule, or an empty string.
  const std::string& violation() const { return violation_; }
  /// Equal states have equal texts, apart from what the controllers keep in
  /// private; see order-states-test-key.h.
  std::string canonical() const;
  /// The job has succeeded and nothing is left in transit.
  bool is_settled() const {
    return succeeded() && log_.empty() && transit_.empty() &&
           answers_.empty() &&
           std::all_of(workers_.begin(), workers_.end(), [](const auto& it) {
             return it.runs.empty() && it.ended.empty();
           });
  }
  bool succeeded() const {
    return std::all_of(boxes_.begin(), boxes_.end(), [](const box& it) {
      const job_entry* job = it.controller->book().find(job_number(1));
      return job != nullptr && job->phase == fleet::job_succeeded;
    });
  }

 private:
  struct box;
  class box_log final : public fleet_log {
   public:
    bool may_decide() override { return leads(); }
    term_number term() const override { return term_number(world->term_); }
    absl::Status propose(const fleet::fleet_command& command) override {
      if (!leads()) return absl::UnavailableError("does not lead");
      world->log_.push_back(command);
      return absl::OkStatus();
    }
    bool leads() const { return &world->boxes_[world->leader_] == box; }

    order_world* world = nullptr;
    const order_world::box* box = nullptr;
  };
  struct box {
    box_log log;
    std::unique_ptr<fleet_controller> controller;
  };
  /// A heartbeat in transit, or the ends of a call that was put off.
  struct message {
    std::string life;
    fleet::worker_beat beat;
    bool ends_only;
  };
  /// A life that is over, and the end of its lease.
  struct past_life {
    std::string id;
    time_point lease;
  };
  struct done_end {
    std::string life;
    uint64_t number;
    bool acknowledged = false;
    // The lease lapsed before the acknowledgement: the end need not count.
    bool lapsed = false;
    bool started_after = false;
  };

  fleet_controller& leader() { return *boxes_[leader_].controller; }
  const fleet_controller& leader() const { return *boxes_[leader_].controller; }
  const slow::simulated_worker* find_life(const std::string& id) const;
  void add_workers(state_text& out) const;
  void add_view(state_text& out, const worker_view& it) const;
  void fail(const std::string& what) {
    if (violation_.empty()) violation_ = what;
  }
  void apply(const fleet::fleet_command& command) {
    for (box& it : boxes_) it.controller->applied(command);
    leader().decide();
  }
  void commit() {
    const fleet::fleet_command command = log_.front();
    log_.pop_front();
    apply(command);
  }
  void start_life(slow::simulated_worker& it) {
    const std::string name = it.name;
    it = slow::simulated_worker();
    it.name = name;
    it.address = name + ":1";
    it.born = clock_.now();
    it.born_ms = slow::start_unix_ms + ++lives_;
    it.id = incarnation_of(name, it.born_ms).str();
    it.clock_percent = worker_clock_percent;
  }
  fleet::worker_beat next_beat(slow::simulated_worker& it) {
    ++it.sequence;
    it.pending = it.sequence;
    it.sent = clock_.now();
    fleet::worker_beat beat = slow::make_beat(it, clock_.now());
    if (max_ended_ == 0) return beat;
    beat.set_max_ended(max_ended_);
    while (beat.ended_size() > static_cast<int>(max_ended_))
      beat.mutable_ended()->RemoveLast();
    return beat;
  }
  void deliver(const message& it);
  void handle(slow::simulated_worker& it, const fleet::worker_orders& orders);
  void start_run(slow::simulated_worker& it, const fleet::start_order& start);
  /// The acknowledgement in an answer reached the worker.
  void acknowledge(const std::string& life, uint64_t last);
  void release_ends(const std::string& life);
  void end_run(slow::simulated_worker& it, run_key run,
               fleet::run_outcome outcome);
  void end_life(slow::simulated_worker& it);
  void take_answer(int i);
  void pass(milliseconds n, int calling = -1);
  void expire_leases();
  void elect(size_t kept);

  test_clock clock_;
  metrics_registry metrics_;
  std::array<box, boxes> boxes_;
  std::array<slow::simulated_worker, workers> workers_;
  std::array<bool, workers> left_{};
  std::vector<past_life> past_;
  std::vector<message> transit_;
  std::vector<slow::answer> answers_;
  std::deque<fleet::fleet_command> log_;
  std::vector<done_end> done_;
  size_t leader_ = 0;
  uint64_t term_ = 1;
  time_point led_since_{};
  uint64_t lives_ = 0;
  uint32_t max_ended_;
  std::string violation_;
};

}  // namespace kestrelreel::order_states
