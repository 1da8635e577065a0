// Shared by the tests of cancelled jobs: control boxes that lead in turn, and
// workers that carry out orders late.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/beat-intake.h"
#include "fleet/fleet-test-world.h"

namespace kestrelreel::cancelled {

constexpr uint64_t job = 7;
/// Strictest limit of the users, from the acknowledgement of a cancel, or from
/// a late start after it, until the run is ordered to stop.
constexpr milliseconds max_cancel_delay{3'000};
/// Strictest limit of the users from the order to stop a run until its end.
constexpr milliseconds max_stop_time{900};
constexpr milliseconds heartbeat_interval{200};
/// An answer that takes longer is dropped.
constexpr milliseconds answer_expiry{900};
/// How long finished jobs are kept. Exceeds the time until a run that never
/// started or is silent is declared lost, so that a job outlives its runs.
constexpr milliseconds job_retention{5'000};
/// Exceeds the time after which the leader declares a run lost or forgets a
/// job.
constexpr milliseconds max_leader_timeout{12'000};

/// Whether heartbeats go to the leader or through another box.
enum class heartbeat_route { direct, intake };

/// Two control boxes with a shared log, one of which leads, and a third box
/// that forwards heartbeats.
class control_boxes {
 public:
  explicit control_boxes(
      controller_settings settings = test_world::make_settings()) {
    settings.finished_job_retention = job_retention;
    settings.wall_clock_ms = [this] {
      return static_cast<uint64_t>(clock.now().count());
    };
    for (test_log& log : logs_) {
      controllers_.push_back(
          std::make_unique<fleet_controller>(settings, clock, log, metrics_));
    }
    elect(0);
    fleet::fleet_request config;
    *config.mutable_put_config() = test_world::make_config(1);
    ask(config);
  }

  fleet_controller& leader() { return *controllers_[leader_index_]; }
  test_log& log() { return logs_[leader_index_]; }
  const job_book& book() { return leader().book(); }
  size_t leads() const { return leader_index_; }

  /// Makes a box the leader. Uncommitted proposals of the previous leader are
  /// lost.
  void elect(size_t box) {
    leader().set_leading(false);
    log().proposed.clear();
    leader_index_ = box;
    log().leader_term = ++term_;
    leader().set_leading(true);
    commit();
  }
  /// Applies the proposed commands on both boxes.
  void record() {
    while (!log().proposed.empty()) {
      const fleet::fleet_command command = log().proposed.front();
      log().proposed.pop_front();
      for (const auto& it : controllers_) it->applied(command);
    }
  }
  void commit() {
    constexpr int max_rounds = 20;
    for (int i = 0; i < max_rounds; ++i) {
      record();
      leader().decide();
      if (log().proposed.empty()) return;
    }
  }
  void pass(milliseconds n) {
    constexpr milliseconds step{100};
    for (milliseconds at{0}; at < n; at += step) {
      clock.advance(step);
      leader().tick();
      commit();
    }
  }
  fleet::fleet_response ask(const fleet::fleet_request& request) {
    last_ = fleet::fleet_response();
    leader().request(
        request, [this](fleet::fleet_response it) { last_ = std::move(it); });
    commit();
    return last_;
  }
  /// Sends a heartbeat through the third box.
  fleet::fleet_response forward(const fleet::worker_beat& beat) {
    last_ = fleet::fleet_response();
    intake_.take(beat,
                 [this](fleet::fleet_response it) { last_ = std::move(it); });
    while (intake_.has_pending_calls()) {
      answers_.clear_answers();
      leader().take_heartbeats(
          intake_.collect(std::to_string(leader_index_)),
          [this](const auto& it) { *answers_.add_answers() = it; });
      commit();
      intake_.handle_answers(answers_);
    }
    return last_;
  }

  test_clock clock;

 private:
  metrics_registry metrics_;
  test_log logs_[2];
  std::vector<std::unique_ptr<fleet_controller>> controllers_;
  size_t leader_index_ = 0;
  uint64_t term_ = 0;
  heartbeat_intake intake_{{}, clock, metrics_};
  fleet::beat_answers answers_;
  fleet::fleet_response last_;
};

/// A worker that may carry out a start order late, even after the order to stop
/// that run.
class late_worker {
 public:
  late_worker(control_boxes& boxes, const char* name, heartbeat_route route,
              uint64_t cpu_milli)
      : boxes_(boxes), route_(route) {
    beat_.set_worker(name);
    beat_.set_pool("pool");
    beat_.set_cpu_milli(cpu_milli);
    beat_.set_memory_mb(1'000);
  }

  fleet::worker_orders send_heartbeat() {
    beat_.set_sequence(beat_.sequence() + 1);
    beat_.set_clock_ms(static_cast<uint64_t>(boxes_.clock.now().count()));
    if (route_ == heartbeat_route::intake)
      return boxes_.forward(beat_).orders();
    fleet::fleet_request request;
    *request.mutable_beat() = beat_;
    return boxes_.ask(request).orders();
  }
  void start_run(const fleet::start_order& order) {
    fleet::running_row& row = *beat_.add_running();
    *row.mutable_task() = order.task();
    row.set_run(order.run());
  }
  /// Handles an answer. Runs that are ordered to stop end later.
  void handle_orders(const fleet::worker_orders& orders) {
    while (!beat_.ended().empty() &&
           beat_.ended(0).number() <= orders.last_end()) {
      beat_.mutable_ended()->DeleteSubrange(0, 1);
    }
    if (orders.stops().empty() || stopped_at_) return;
    stopped_at_ = boxes_.clock.now();
  }
  /// Ends all runs once `max_stop_time` has passed since the order to stop
  /// them.
  void end_stopped_runs() {
    if (!stopped_at_ || boxes_.clock.now() - *stopped_at_ < max_stop_time)
      return;
    for (const fleet::running_row& row : beat_.running()) {
      fleet::run_end& end = *beat_.add_ended();
      end.set_number(++ends_);
      *end.mutable_task() = row.task();
      end.set_run(row.run());
      end.set_outcome(fleet::run_stopped);
    }
    beat_.clear_running();
  }
  void drain() { beat_.set_draining(true); }
  /// Accounts for a heartbeat that the test sent itself.
  void skip_heartbeat() { beat_.set_sequence(beat_.sequence() + 1); }
  const fleet::worker_beat& beat() const { return beat_; }

 private:
  control_boxes& boxes_;
  heartbeat_route route_;
  fleet::worker_beat beat_;
  uint64_t ends_ = 0;
  std::optional<time_point> stopped_at_;
};

inline fleet::fleet_request make_cancel() {
  fleet::fleet_request request = test_world::make_call(job);
  request.mutable_job()->set_cancel(true);
  return request;
}

}  // namespace kestrelreel::cancelled
