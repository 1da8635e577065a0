// The leader's view of the workers, built from their heartbeats. The view is
// not replicated: a new leader rebuilds it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/task-key.h"
#include "fleet/worker-life.h"
#include "fleet/worker-load.h"
#include "fleet/worker-set.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// Upper bound of a worker's lease, whatever the platform allows. The tasks of
/// a lost worker start elsewhere only after the lease has expired, and users
/// tolerate an outage of 9 s of a serving task where there is free capacity.
/// 7 s plus 2 % clock drift, two heartbeats, a commit and an order take less
/// than 8.5 s. Network cuts of up to 6.5 s are survived.
constexpr milliseconds max_lease_duration{7'000};

/// Lease of a worker and the clock error that it allows for.
struct lease_settings {
  /// Lease granted by each answer, counted from when the worker sent its
  /// heartbeat.
  milliseconds duration{6'000};
  /// Maximum rate by which a worker's clock runs slow.
  unsigned drift_percent = 2;
  /// Covers the timer inaccuracy of both sides.
  milliseconds slack{100};
  /// A worker drops answers that arrive later than this.
  milliseconds answer_limit{1'000};

  /// Time from the arrival of a heartbeat until every run whose lease the
  /// heartbeat renewed has ended.
  milliseconds expiry_delay() const {
    return duration + duration * drift_percent / 100 + slack;
  }
};

/// An incarnation whose heartbeats span this time is alive. Heartbeats of a
/// dead incarnation that a network cut delayed arrive together.
constexpr milliseconds incarnation_proof_time{800};

/// Maximum delay of a worker's call after its due time: the transit of the
/// previous answer, the transit of the call, and one postponement by a box.
constexpr milliseconds max_call_delay{800};

/// Pace of a task that is not throttled, in percent.
constexpr unsigned full_pace_percent = 100;

/// Capacity reserved for a waiting task, so that no smaller task takes it.
struct capacity_reservation {
  /// The task's step, named by its first task, and the demand of one task.
  task_key step;
  uint64_t cpu = 0;
  uint64_t memory_mb = 0;
  uint32_t accelerators = 0;
  time_point until{};
};

/// Progress of a run, from its start if this leader ordered it and it began
/// without a checkpoint, else from the first progress that was heard of.
struct run_state {
  /// The start was seen, and the run began without a checkpoint.
  bool begin_seen = false;
  /// Progress from which `worked` counts; 0 if the begin was seen.
  uint32_t first_percent = 0;
  /// Work since then, as time at full pace.
  milliseconds worked{0};
  time_point observed_at{};
  /// When the reported progress last rose.
  time_point advanced_at{};
  /// As last reported, at most 100.
  uint32_t percent = 0;
};

/// True when the worker may have ended more runs than the heartbeat lists.
inline bool may_omit_ends(const fleet::worker_beat& beat) {
  const auto listed = static_cast<uint32_t>(beat.ended_size());
  return beat.max_ended() > 0 && listed >= beat.max_ended();
}

/// The orders by which this leader told a worker to start a run.
struct start_offer {
  time_point first_sent_at{};
  /// The worker's clock in the last call whose answer carried the order.
  uint64_t call_clock_ms = 0;
  /// This leader placed the run: no earlier one can have sent an order for it.
  bool placed_here = false;
};

/// A run by which a worker that was avoided shows whether it is sound again.
struct recovery_trial {
  run_key run;
  /// Since when the worker has listed the run.
  std::optional<time_point> listed_since;
};

/// One incarnation of a worker.
struct worker_view {
  worker_id id;
  /// Increases in the order in which the workers became known.
  uint64_t ordinal = 0;
  /// The last heartbeat, without its rows.
  fleet::worker_beat beat;
  /// Arrival of the last heartbeat that was recent enough to grant a lease.
  time_point last_timely_heartbeat_at{};
  /// False before the first heartbeat.
  bool has_heartbeat = false;
  /// Arrival of the first heartbeat and of the last one of any age, and the
  /// worker's clock in the first.
  time_point first_heartbeat_at{};
  time_point last_heartbeat_at{};
  uint64_t first_clock_ms = 0;
  /// Transit time of the last heartbeat beyond that of the fastest one.
  milliseconds delay{0};
  /// Expiry of every lease that this leader or an earlier one granted.
  time_point lease_expires_at{};
  /// The worker shuts down in order: it gets no new tasks and no start orders,
  /// and the ends that it still lists count.
  bool is_leaving = false;
  /// When the leave was recorded in the log, or repeated after that.
  std::optional<time_point> leave_recorded_at;
  /// Stops were ordered for its runs, as the worker is about to leave.
  bool vacated = false;
  /// The loss of this incarnation was proposed: its heartbeats are ignored.
  bool loss_proposed = false;
  /// A loss was proposed after which the worker is forgotten: a start recorded
  /// behind it would belong to no known worker.
  bool forget_proposed = false;
  /// The incarnation that was at the same place at the first heartbeat.
  std::optional<worker_id> predecessor;
  /// Another incarnation of the worker called later: this one gets no new
  /// tasks until it calls again.
  bool superseded = false;
  /// The worker's clock when it sent the lists below; 0 if not told.
  uint64_t listed_clock_ms = 0;
  /// The runs that the last heartbeat listed.
  std::map<run_key, fleet::running_row> rows;
  /// The runs whose end the last heartbeat listed, and those that have ended
  /// since they were listed as running, without room for their end in an
  /// incomplete list.
  std::set<run_key> listed_ends;
  std::set<run_key> unlisted_ends;
  /// Progress of the runs that have an end, if run times are learned.
  std::map<run_key, run_state> run_states;
  /// When the start order of a run was last sent.
  std::map<run_key, time_point> starts_sent_at;
  std::map<run_key, start_offer> start_offers;
  /// Recorded runs of long-running tasks that no heartbeat has listed yet.
  std::set<run_key> awaited_runs;
  /// Committed starts that no answer has carried yet, with the time until which
  /// they wait for one.
  std::map<run_key, time_point> unsent_starts;
  /// By when the worker should have called again for starts that the last
  /// answer didn't carry: they are not withdrawn before.
  time_point starts_kept_until{};
  /// Runs declared lost since the last heartbeat because their lease expired.
  /// The worker may still turn out to have crashed.
  std::set<run_key> lapsed;
  /// When unsent starts were last recalled: the worker gets no tasks until it
  /// calls.
  time_point starts_recalled_at{};
  /// Number of the last end that was proposed to the log.
  uint64_t last_end_proposed = 0;
  /// Number of the last end that an answer acknowledged.
  uint64_t last_end_acknowledged = 0;
  /// Starts that are proposed and not yet committed.
  std::map<run_key, fleet::step_spec> proposed_starts;
  /// Capacity used by the recorded and the proposed runs; outdated while
  /// `load_is_stale`.
  worker_load load;
  bool load_is_stale = true;
  /// The worker lists runs that are not recorded: they use capacity until they
  /// end.
  bool lists_unrecorded = false;
  /// Runs on the worker ended since waiting tasks were last placed.
  bool freed = true;
  /// The step of a suspect task that was started on this worker and is not
  /// listed yet: nothing else is started in the meantime.
  std::optional<task_key> trial_step;
  /// Capacity reserved on this worker; dropped with the worker or with the
  /// leadership.
  std::vector<capacity_reservation> reservations;
  /// Pace of each backfill task in percent: the wanted one, and the last one
  /// sent to the worker.
  std::map<run_key, unsigned> pace;
  std::map<run_key, unsigned> sent_paces;
  /// Time of the heartbeat from which the paces were last computed.
  time_point paced_at{};
  /// Measured load of serving tasks beyond the model's prediction, as a share.
  std::map<run_key, double> load_excess;
  /// Since when serving tasks have exceeded their target without a break.
  std::map<run_key, time_point> over_target_since;
  /// Images of backfill tasks that were throttled hard on this worker for long:
  /// no more tasks of them are placed before this time.
  std::map<image_id, time_point> image_barred_until;
  /// Since when backfill tasks have been throttled hard.
  std::map<run_key, time_point> throttled_since;
  /// Consecutive ends with outcome `failed`, the job of the last one, and the
  /// number of jobs, which counts a job again if another job came between.
  unsigned failures = 0;
  job_number failed_job;
  unsigned failed_jobs = 0;
  /// Consecutive heartbeats that listed refused starts and no run that was
  /// done.
  unsigned refusals = 0;
  /// The worker gets no new tasks before this time, except long-running ones
  /// that fit nowhere else.
  time_point avoided_until{};
  /// While the worker is avoided: such a task may be tried from this time on.
  time_point retry_from{};
  /// Avoidances since the worker was sound: each one doubles the duration of
  /// the next, up to a limit. Above 0 the worker runs one task at a time until
  /// a run shows that it is sound.
  unsigned avoided_times = 0;
  std::optional<recovery_trial> recovery;
  /// Answers the pending call of the worker.
  std::function<void(fleet::fleet_response)> respond;
  /// Arrival of the pending call.
  time_point call_received_at{};
  /// Until when the call is held, and when the worker is next checked for
  /// missing heartbeats; 0 for never.
  time_point held_until{};
  time_point silence_check_at{};
  /// The call was held because a task may become ready for the worker.
  bool was_held = false;
  /// The last answer ordered starts that no heartbeat has listed completely.
  bool awaits_start = false;
  /// When the next call is due by the last answer, and the interval that the
  /// answer set; 0 before the first answer.
  time_point call_due{};
  milliseconds call_interval{0};
  /// The timing of its calls shows that the worker got an answer of this
  /// leader, so they are not delayed calls of a dead incarnation.
  bool got_answer = false;
  /// Smallest difference between the leader's clock and the worker's so far.
  /// The difference of a heartbeat beyond this is the heartbeat's delay.
  int64_t clock_offset = INT64_MAX;
  time_point offset_at{};
  /// Drift since `offset_at` that is too small for the offset, in hundredths of
  /// a millisecond.
  int64_t drift_remainder = 0;

  /// Time by which the next call of a live worker has arrived.
  time_point overdue_at() const { return call_due + max_call_delay; }
};

/// The workers by id.
class worker_table {
 public:
  worker_table(lease_settings leases, clock_source& clock)
      : leases_(leases), clock_(clock) {}

  /// Forgets all workers. Each worker that may run something must then be
  /// registered with `expect`.
  void clear();
  /// True for an incarnation that has just started to call at the place of
  /// another one, until a crash of the other one can be decided.
  bool is_unsettled(const worker_view& it) const {
    return it.predecessor && views_.contains(*it.predecessor) &&
           clock_.now() - it.first_heartbeat_at <
               incarnation_proof_time + leases_.slack;
  }
  /// Registers a worker to which an earlier leader may have granted a lease
  /// until now.
  worker_view& expect(const worker_id& id);
  /// Result of receiving a heartbeat.
  struct arrival {
    /// Null when the heartbeat was rejected, or a later one was received
    /// before.
    worker_view* view = nullptr;
    /// False when the heartbeat is so old that the worker drops the answer: its
    /// content is valid, but it must not grant a lease.
    bool timely = false;
    /// The heartbeat is a difference that does not match the last one received
    /// here, and was rejected.
    bool wants_whole = false;
    /// The heartbeat can't be of the worker that it names, and was rejected.
    bool inconsistent = false;
  };
  arrival receive_heartbeat(const fleet::worker_beat& beat);
  void erase(const worker_id& id);
  /// Forgets an incarnation that has ended, except for its id: a heartbeat of
  /// it that arrives later must not count as a new incarnation.
  void end_incarnation(const worker_id& id);
  /// True while a heartbeat of an ended incarnation may still arrive. Kept on
  /// every replica, as the next leader needs it.
  bool is_ended(const worker_id& id);
  /// True while a heartbeat of an ended incarnation, or of one with a known
  /// later start, counts as delayed. An incarnation that keeps calling for
  /// `incarnation_proof_time` by the leader's clock and by its own, without a
  /// call of the later one or of an answered one at its machine or address, was
  /// declared ended by mistake and is reinstated:
  /// the clocks that start times are read from may be set back.
  bool stays_ended(const fleet::worker_beat& beat);
  worker_view* find(const worker_id& id);
  /// The incarnations of a worker that are not known to have ended, by start
  /// time. The reference is valid until a worker is added or removed.
  const std::vector<worker_view*>& incarnations_of(
      const std::string& name) const {
    return by_name_.at(name);
  }
  /// The incarnations at a machine or an address.
  const std::vector<worker_view*>& at_place(const std::string& place) const {
    return by_place_.at(place);
  }
  /// True when an incarnation of that worker has ended, or several are known.
  bool has_earlier_incarnation(const std::string& name);
  /// Names of the workers with several incarnations, updated by each call.
  std::set<std::string> shared_names();
  worker_groups& groups() { return groups_; }
  std::map<worker_id, worker_view>& views() { return views_; }
  const std::map<worker_id, worker_view>& views() const { return views_; }
  const lease_settings& leases() const { return leases_; }
  /// Records that the worker's answer was sent, which renewed its lease and
  /// asked for the next call after `call_interval`.
  void granted(worker_view& it, milliseconds call_interval) {
    it.lease_expires_at = it.last_timely_heartbeat_at + leases_.expiry_delay();
    it.call_due = clock_.now() + call_interval;
    it.call_interval = call_interval;
  }

 private:
  bool shows_answer(const worker_view& it,
                    const fleet::worker_beat& next) const;
  bool is_timely(worker_view& it, const fleet::worker_beat& beat) const;
  static void apply_whole(worker_view& it, const fleet::worker_beat& beat);
  static bool apply_difference(worker_view& it, const fleet::worker_beat& beat);
  static void update_ends(worker_view& it);
  worker_view& find_or_add(const worker_id& id);
  void drop(worker_view& it);
  void update_place(worker_view& it, const fleet::worker_beat& beat);
  std::optional<worker_id> find_predecessor(const worker_view& it) const;
  const worker_view* later_incarnation(const worker_id& id);
  bool successor_called(const fleet::worker_beat& beat, time_point since) const;
  void update_superseded(const std::string& name);
  void drop_old_incarnations();

  lease_settings leases_;
  clock_source& clock_;
  std::map<worker_id, worker_view> views_;
  std::unordered_map<std::string_view, worker_view*> by_id_;
  // Sorted by start time.
  worker_index by_name_;
  // By machine and by address.
  worker_index by_place_;
  worker_groups groups_;
  uint64_t last_ordinal_ = 0;
  // Names that had several incarnations at the last check.
  std::set<std::string> shared_names_;
  /// The first heartbeat that arrived after its incarnation had ended.
  struct late_call {
    bool received = false;
    time_point at{};
    uint64_t clock_ms = 0;
  };
  // Ended incarnations, and their end times in order.
  std::map<worker_id, late_call> ended_;
  std::deque<std::pair<time_point, worker_id>> ended_at_;
};

}  // namespace kestrelreel
