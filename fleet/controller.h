// The leader of a seeded deployment: handles requests of callers, workers and
// operators, replicates every durable change through the log, and responds once
// the change is committed.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "base/clock.h"
#include "fleet/controller-settings.h"
#include "fleet/job-book.h"
#include "fleet/leader-lag.h"
#include "fleet/scheduler.h"
#include "fleet/task-outages.h"
#include "fleet/version-history.h"
#include "fleet/worker-table.h"
#include "kernel/metrics.h"
#include "scheduling/admission.h"

namespace kestrelreel {

/// The replicated log as the controller uses it.
class fleet_log {
 public:
  virtual ~fleet_log() = default;
  /// True while this replica leads, no other replica can lead, and this
  /// replica's job book contains every committed command.
  virtual bool may_decide() = 0;
  /// The current leadership term; fences the orders sent to workers.
  virtual term_number term() const = 0;
  /// Proposes a command; once committed, the command comes back through
  /// `fleet_controller::applied`.
  virtual absl::Status propose(const fleet::fleet_command& command) = 0;
};

/// Makes the leader's decisions. Not thread-safe.
class fleet_controller {
 public:
  using respond_function = std::function<void(fleet::fleet_response)>;

  fleet_controller(controller_settings settings, clock_source& clock,
                   fleet_log& log, metrics_registry& metrics);

  /// Responds exactly once, either immediately or when the log has committed
  /// the request.
  void request(const fleet::fleet_request& request,
               const respond_function& respond);
  /// Handles another box's heartbeats; answers each once, under its sequence.
  using answer_function = std::function<void(fleet::beat_answer)>;
  void take_heartbeats(const fleet::beat_batch& batch,
                       const answer_function& answer);
  /// Applies a committed command, in log order; called on every replica.
  void applied(const fleet::fleet_command& command);
  /// Replaces the whole state by that of a snapshot; called on every replica.
  absl::Status installed(const std::string& bytes);
  /// Tells whether this box leads; may be called repeatedly with the same
  /// value. Nothing recorded in memory during an earlier term is kept.
  void set_leading(bool now);
  /// Makes the decisions that the events since the last call allow.
  void decide();
  /// Runs the periodic reviews; due every 100 ms.
  void tick();
  bool leading() const { return leads_; }
  /// True when `decide` has work to do.
  bool has_pending_decisions() const { return has_pending_decisions_; }
  /// How long to wait for further events before calling `decide`.
  milliseconds decision_interval() const {
    return answers_deferred_ ? settings_.decision_interval
                             : lag_.stretched(settings_.decision_interval);
  }

  const job_book& book() const { return book_; }
  /// The version of `evacuations` that this box had applied at that time.
  uint64_t evacuations_known_at(time_point at) const {
    return evacuation_versions_.at(at);
  }
  const worker_table& workers() const { return workers_; }
  job_progress& progress() { return scheduler_.progress(); }

 private:
  // Requests of callers and operators: controller.cc.
  void on_job(const fleet::job_call& call, const respond_function& respond);
  void on_state(const fleet::job_call& call, const fleet::queue_route& queue,
                const respond_function& respond);
  void on_cancel(job_number job, const fleet::queue_route& queue,
                 const respond_function& respond);
  void on_put_config(const fleet::fleet_config& config,
                     const respond_function& respond);
  void on_get_config(const respond_function& respond);
  // Submissions: controller-submissions.cc.
  void on_submit(const fleet::job_call& call, const fleet::queue_route& queue,
                 const respond_function& respond);
  void commit_submission(fleet::fleet_command command,
                         const respond_function& respond);
  bool refuse_if_overloaded(const fleet::job_call& call,
                            const fleet::queue_route& queue,
                            const respond_function& respond);
  uint64_t live_tasks() const;
  // Admission: controller-admission.cc.
  bool knows_capacity() const;
  void log_refusal(const job_demand& demand, const pool_backlog& backlog,
                   const fleet::queue_route& queue,
                   const admission_decision& decision);
  admission_decision review_admission(job_number job,
                                      const fleet::fleet_job_spec& spec,
                                      const fleet::queue_route& queue);
  bool is_known_submission(const fleet::job_call& call) const;
  bool join_pending_submission(job_number job, const respond_function& respond);
  // Evacuations: controller-evacuations.cc.
  void on_evacuation(const fleet::evacuation_order& order,
                     const respond_function& respond);
  bool is_data_centre(const std::string& name) const;
  bool is_overtaken(const fleet::evacuation_order& order) const;
  void reject_overtaken(const fleet::evacuation_order& order,
                        const respond_function& respond);
  void settle_evacuation(const std::string& data_centre);
  void log_evacuation(const fleet::evacuation_order& order) const;
  bool accepts_starts(const worker_view& it) const;
  bool is_overcommitted(worker_view& it);
  bool guards_capacity(const std::string& pool) const;
  void update_unrecorded_runs(worker_view& it) const;
  uint64_t commit(fleet::fleet_command command, respond_function respond);
  // Proposals: the commands of one turn form one log entry.
  void add_command(fleet::fleet_command command);
  void flush();
  void undo_proposal(const fleet::fleet_command& command,
                     const absl::Status& status);
  void settle_loss(const worker_id& worker);
  void mark_runs_changed(const std::string& worker);
  void forget_worker(const std::string& worker, bool over);
  void mark_left(const std::string& worker);
  void apply_one(const fleet::fleet_command& command);
  uint64_t pending_of(const fleet::queue_route& queue) const;

  // Heartbeats and placement: controller-workers.cc and
  // controller-lives.cc.
  /// `held` is called if the answer is held back. An empty `held` forbids
  /// holding.
  void on_heartbeat(const fleet::worker_beat& beat,
                    const respond_function& respond,
                    const std::function<void()>& held = {});
  void request_whole(const fleet::worker_beat& beat,
                     const respond_function& respond);
  void accept_heartbeat(worker_view& it, bool timely,
                        const respond_function& respond,
                        const std::function<void()>& held);
  static bool is_pending_call(const worker_view& it,
                              const fleet::worker_beat& beat);
  static void join_call(worker_view& it, const respond_function& respond);
  void on_leave(const std::string& name, uint64_t born,
                const respond_function& respond);
  bool names_pool(const fleet::worker_beat& beat) const;
  const char* find_fault(const fleet::worker_beat& beat);
  void reject_heartbeat(const fleet::worker_beat& beat, const char* fault,
                        const respond_function& respond);
  std::optional<worker_id> find_leaving_incarnation(const std::string& name,
                                                    uint64_t born);
  bool is_over(const worker_id& worker);
  void log_overtaken(const fleet::worker_beat& beat, const worker_view& it);
  void log_new_incarnation(const worker_view& it) const;
  /// What was known of a worker before its call.
  struct earlier_call {
    size_t runs_lost = 0;
    bool heard = false;
    uint64_t sequence = 0;
    time_point at{};
  };
  static earlier_call earlier_call_of(const worker_view* it);
  void log_heard_again(const worker_view& it, const earlier_call& last) const;
  bool is_starting_or_leaving(const worker_view& it) const;
  // Ends of runs: controller-ends.cc.
  using listed_ends = google::protobuf::RepeatedPtrField<fleet::run_end>;
  /// The call that lists ends was read in time or late, or waits elsewhere.
  enum class end_source { timely, late, waiting };
  void record_ends(worker_view& it, const listed_ends& ends, end_source source);
  void record_end(worker_view& it, const fleet::run_end& end);
  void record_ends_only(const fleet::worker_beat& beat);
  void record_waiting_ends(const fleet::worker_beat& beat);
  void settle_successes(const fleet::worker_report& report);
  void log_late_end(const std::string& worker, const job_book::late_end& it);
  // Workers that fail or refuse tasks: controller-avoidance.cc.
  void count_failure(worker_view& it, const fleet::run_end& end);
  void count_refusals(worker_view& it, const fleet::worker_report& report);
  void avoid_worker(worker_view& it, const char* cause, bool longer = true);
  static void end_recovery(worker_view& it);
  void observe_recovery(worker_view& it);
  void update_paces_if_due(worker_view& it);
  void move_starved_backfill();
  void reserve_capacity();
  void plan();
  void forget_old_jobs();
  void on_starts_applied(const fleet::run_starts& starts);

  // Answers to heartbeats: controller-orders.cc.
  std::vector<worker_view*> due_answers();
  bool reject_late_call(worker_view& it);
  bool awaits_start(const worker_view& it) const;
  bool answer_is_due(const worker_view& it, bool recorded) const;
  bool awaits_long_running_start(const worker_view& it) const;
  void answer(worker_view& it);
  milliseconds heartbeat_interval(const worker_view& it) const;
  milliseconds interval_for(uint64_t calls_per_s) const;
  bool may_hold_calls() const;
  bool is_idle(const worker_view& it) const;
  bool hold_call(worker_view& it);
  fleet::worker_orders orders_for(worker_view& it);
  void log_orders(worker_view& it, const fleet::worker_orders& orders) const;
  // Starts in answers: controller-starts.cc.
  std::vector<run_key> starts_for(worker_view& it);
  void sort_by_age(std::vector<run_key>& runs) const;
  fleet::start_order make_start(const run_key& run) const;
  void add_starts(worker_view& it, fleet::worker_orders& orders);
  void put_off_starts(worker_view& it, const std::vector<run_key>& runs);
  void add_stops(worker_view& it, fleet::worker_orders& orders);
  void add_paces(worker_view& it, fleet::worker_orders& orders);
  bool should_stop(const run_key& run) const;
  bool must_vacate(const worker_view& it) const;
  void record_vacated(worker_view& it);
  bool is_long_running(const run_key& run) const;
  time_point last_order_of(const worker_view& it, const run_key& run) const;
  bool lacks_order(const worker_view& it, const run_key& run) const;
  bool offer_expired(const worker_view& it, const run_key& run) const;
  bool may_be_given_up(const worker_view& it, const start_offer& offer) const;
  void record_offer(worker_view& it, const run_key& run) const;

  // Outages of long-running tasks: controller-outages.cc.
  bool counts_as_begun(const worker_view& it, const run_key& run) const;
  void observe_begun_runs(worker_view& it);
  void await_recorded_starts();
  void log_outage(const run_key& run, const worker_view& worker,
                  const task_outage& outage) const;

  // The leader's lag: controller-lag.cc.
  struct order_backlog {
    uint64_t unsent = 0;
    uint64_t unsent_long_running = 0;
    uint64_t unlisted = 0;
  };
  /// Work done since the last `leader-load` log line.
  struct load_counters {
    time_point since{};
    milliseconds longest_lag{0};
    uint64_t heartbeats = 0;
    uint64_t late = 0;
    uint64_t turns = 0;
    uint64_t answers = 0;
    uint64_t looks = 0;
  };
  void review_lag();
  void review_placement();
  void record_looks();
  void report_load();
  order_backlog count_order_backlog() const;

  // Declaring runs lost: controller-reviews.cc.
  enum class loss_cause {
    lease,
    unsent,
    unstarted,
    silent,
    replaced,
    restarted,
    left
  };
  static const char* name_of(loss_cause cause);
  void propose_loss(worker_view& it, const std::vector<run_key>& runs,
                    loss_cause cause);
  // Worker crashes: controller-crashes.cc.
  static bool shows_crash(const worker_view& it, loss_cause cause);
  bool crashed_with_others(const worker_view& it) const;
  void add_crash_findings(const worker_view& it, const std::set<run_key>& runs,
                          fleet::worker_loss& loss);
  std::optional<fleet::run_progress> progress_of(const run_key& run,
                                                 const worker_view& it) const;
  bool order_is_recorded(const run_key& run) const;
  bool record_orders(worker_view& it);
  void record_all_orders();
  void record_progress(const run_key& run, const worker_id& worker,
                       fleet::run_progress progress);
  void review_suspects();
  void record_given_up_tasks(const job_book::result& result);
  void add_places(fleet::run_starts& starts) const;
  void load_recorded_places();
  std::vector<run_key> unlisted_of(const worker_view& it,
                                   const std::vector<run_key>& runs) const;
  uint64_t failures_of(const std::vector<run_key>& runs) const;
  time_point left_worker_over_at(const worker_view& it) const;
  void review_leaves();
  void log_survivor(const worker_view& it, const worker_view& next) const;
  void review_restarts();
  /// True if the last tick is so long ago that the process has stalled.
  bool is_held_up() const;
  void review_read_delay();
  bool defers_losses() const;
  milliseconds loss_grace() const;
  void review_silence();
  // Starts that come to nothing: controller-unstarted.cc.
  milliseconds order_arrival_limit() const;
  time_point earlier_leases_end() const;
  bool listed_after_order(const worker_view& it, const run_key& run) const;
  bool earlier_orders_over(const worker_view& it, const run_key& run) const;
  bool orders_over(const worker_view& it, const run_key& run) const;
  void review_all_unstarted();
  void review_unstarted(worker_view& it);
  void review_unsent();
  void record_taken_back(const worker_view& it,
                         const std::vector<run_key>& runs);

  controller_settings settings_;
  clock_source& clock_;
  fleet_log& log_;
  metrics_registry& metrics_;
  job_book book_;
  task_outages outages_;
  worker_table workers_;
  fleet_scheduler scheduler_;
  admission_control admission_;
  bool leads_ = false;
  // The term of the current or the most recent leadership of this box.
  term_number led_term_;
  bool has_pending_decisions_ = false;
  uint64_t next_token_ = 1;
  std::map<uint64_t, respond_function> pending_responses_;
  // Tokens of the submissions in `pending_responses_`.
  std::map<job_number, uint64_t> pending_submissions_;
  // Commands not yet proposed to the log.
  fleet::command_batch batch_;
  // Number of losses proposed and not yet applied, by worker.
  std::map<worker_id, unsigned> pending_losses_;
  // The tasks of successful ends that are proposed and not yet applied: no run
  // of them is started.
  std::multiset<task_key> pending_successes_;
  // The data centres of evacuation orders that are proposed and not yet
  // applied.
  std::multiset<std::string> pending_evacuations_;
  version_history evacuation_versions_;
  // Backfill runs being stopped so that their tasks can run elsewhere.
  std::set<run_key> moving_;
  // Runs being stopped to free capacity for long-running tasks.
  std::set<run_key> evicting_;
  // When each recently crashed worker was last heard.
  std::deque<time_point> crash_times_;
  // The progress of suspects' runs as proposed to the log.
  std::map<run_key, fleet::run_progress> recorded_progress_;
  std::map<job_number, time_point> finished_since_;
  time_point jobs_reviewed_at_{};
  time_point led_since_{};
  // Heartbeats since the last tick, and how many of them were late.
  uint64_t heartbeats_since_tick_ = 0;
  uint64_t late_heartbeats_since_tick_ = 0;
  time_point ticked_at_{};
  time_point unstarted_reviewed_at_{};
  time_point catching_up_until_{};
  time_point losses_deferred_until_{};
  // Silence and leaves were reviewed since losses were last deferred.
  bool losses_reviewed_ = true;
  leader_lag lag_;
  // How often each task was placed since a start of it was last sent.
  std::map<task_key, unsigned> placed_in_vain_;
  // The last turn left some due answers to the next turn.
  bool answers_deferred_ = false;
  time_point placement_reviewed_at_{};
  load_counters load_;
};

/// Builds a response with only a status and a reason.
fleet::fleet_response make_response(fleet::fleet_status status,
                                    std::string reason = "");

}  // namespace kestrelreel
