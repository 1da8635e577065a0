// Assigns pending tasks to workers and paces backfill tasks.
#pragma once

#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fleet/interference.h"
#include "fleet/job-book.h"
#include "fleet/job-order.h"
#include "fleet/job-progress.h"
#include "fleet/job-tracking.h"
#include "fleet/load-forecast.h"
#include "fleet/pool-load.h"
#include "fleet/reservation-types.h"
#include "fleet/scheduler-settings.h"
#include "fleet/short-demand.h"
#include "fleet/task-outages.h"
#include "fleet/worker-load.h"
#include "fleet/worker-table.h"

namespace kestrelreel {

class log_event;

/// Makes all placement decisions of the leader. Its state is derived from the
/// job book and the workers' heartbeats.
class fleet_scheduler {
 public:
  fleet_scheduler(scheduler_settings settings, const job_book& book,
                  const task_outages& outages, worker_table& workers,
                  clock_source& clock)
      : settings_(settings),
        book_(book),
        outages_(outages),
        workers_(workers),
        clock_(clock),
        progress_(book, workers, clock, settings.decisions.learn_run_times) {}

  /// Begins a new leadership: the pools' capacity is known from then on, when
  /// all live workers have called.
  void begin_leadership(time_point capacity_known_at);
  /// Returns the starts that are possible now, the most urgent first, and
  /// records each as proposed at its worker. `wall_ms` is the time of day, for
  /// jobs with a start time; it advances with the clock until the next plan.
  /// A lagging leader passes `stretch_percent` above 100: retry pauses grow by
  /// that factor, and only workers with an open call get tasks, so that no
  /// order waits in the book for longer than a log write and a turn take.
  fleet::run_starts plan(uint64_t wall_ms, unsigned stretch_percent = 100);
  /// True if the worker waits for an answer and will still accept one.
  bool has_open_call(const worker_view& it) const;
  /// True if the last plan left steps to the next one.
  bool cut_short() const { return cut_short_; }
  /// Selects a few throttled backfill runs that should move to other workers.
  std::vector<run_key> moves();
  /// Capacity used by the recorded, proposed and listed runs of the worker.
  worker_load load_of(const worker_view& it);
  /// Updates the interference model from a heartbeat's readings and sets the
  /// pace of the worker's backfill tasks.
  void pace(worker_view& it);
  /// Drops all state of a job that is over.
  void forget(job_number job);
  /// The box begins or ends to lead. It doesn't know how old the jobs are that
  /// it finds then: they have no slack.
  void reset_slack();
  /// Reserves capacity for long-running tasks that are pending for too long and
  /// returns the runs to evict; runs in `stopping` have been ordered to stop.
  reservation_result reserve_capacity(const std::set<run_key>& stopping);
  /// Logs why tasks have been pending for more than a second: at most once a
  /// second, for a few long-running and a few short steps.
  void report_waits();
  /// Processors of the pool's usable workers that short jobs can use; with
  /// `backfill`, those that backfill tasks can expect to find unused.
  double usable_cores(const std::string& pool, bool backfill);
  // What a new job finds: pool-load.cc.
  /// Processors that short jobs of the pool, or its backfill jobs, get at best:
  /// what short tasks hold is free within a second. None without a usable
  /// worker.
  std::optional<double> cores_at_best(const std::string& pool, bool backfill);
  /// Work in core-seconds that surely goes before the job on so many
  /// processors, a lower estimate: of its kind and priority what can be in time
  /// and is due no later, of more urgent priorities what is of use.
  double work_ahead(const job_load& job, double cores);
  /// Processors of the pool that no long-running job asks for. Counts workers
  /// that are silent or avoided for the moment.
  double unclaimed_cores(const std::string& pool);
  /// Counts an admitted job until it is in the book or dropped.
  void add_admitted(const job_load& job);
  void drop_admitted(job_number job) { admitted_.erase(job); }
  /// Number of evaluations of a worker for a step since the last call.
  uint64_t take_worker_evaluations() { return std::exchange(evaluations_, 0); }

  /// Number of paces lowered at the cost of slack since the last call.
  uint64_t take_throttled_by_slack() {
    return std::exchange(throttled_by_slack_, 0);
  }
  /// Number of jobs passed over for the first time since the last call.
  uint64_t take_passed_over() { return std::exchange(passed_over_, 0); }
  /// Number of jobs that gave way and came to go first since the last call.
  uint64_t take_gone_first() { return std::exchange(gone_first_, 0); }
  /// Progress of live jobs, which the controller feeds.
  job_progress& progress() { return progress_; }
  /// True if a start of the task is proposed but not yet in the book.
  bool is_proposed(const task_key& task) const;

 private:
  /// A step whose tasks are to be placed.
  struct pending_step {
    const fleet::step_spec& spec;
    const std::string& pool;
    task_key first;
    image_id image;
    bool starved;
    uint32_t priority;
    // The step has interrupted long-running tasks.
    bool urgent;
    // A start of such a task has come to nothing.
    bool start_failed;
  };
  struct serving_task {
    run_key run;
    const fleet::step_spec* step;
    image_id image;
    // Tail latency as a share of the target, and the load derived from it.
    double tail_share;
    double load;
  };
  struct backfill_task {
    run_key run;
    const fleet::step_spec* step;
    image_id image;
    // Processors in use by the last reading, and at full pace, scaled to the
    // reference worker.
    double use;
    double full_use;
    double share;  // Allowed pace, of full pace.
    // How long the task may stand still; zero if slack does not count.
    milliseconds slack{0};
  };
  struct waiting_job {
    job_order order;
    job_number number;
    const job_entry* entry;
    // No task has run for `starved_after`: one starts wherever it fits.
    bool starved;
  };
  struct placement {
    task_key task;
    run_number run;
    worker_view* worker;
  };
  std::vector<waiting_job> waiting_jobs();
  job_tracking& tracking_of(job_number number);
  bool has_tasks_to_place(job_number number, const job_entry& job);
  // Order in overload: overload.cc.
  struct contenders;
  void review_overload();
  void add_contender(job_number number, contenders& group);
  double running_work(job_number number);
  double choose_served(contenders& group, double cores, double work_ahead);
  void let_one_return(contenders& group, double cores);
  bool may_return(job_number number, double cores);
  void pass_over(job_number number, bool passed);
  void go_first(job_number number);
  void log_overload(const char* event, job_number number);
  job_order order_in_overload(job_number number, const job_entry& job);
  job_load load_of_job(job_number number, const job_entry& job);
  void update_job_loads();
  std::vector<const job_load*> current_job_loads(const std::string& pool);
  std::vector<worker_view*> candidates();
  std::vector<worker_view*> plan_candidates();
  std::vector<worker_view*> open_candidates();
  void drop_unreachable(std::vector<worker_view*>& all) const;
  bool is_usable(const worker_view& it) const;
  bool is_evacuated(const worker_view& it) const;
  bool is_cold(const worker_view& it) const;
  bool calls_or_due_soon(const worker_view& it) const;
  pending_step pending_step_of(const job_entry& job, const task_key& first,
                               bool starved);
  void plan_job(const waiting_job& job, fleet::run_starts& out);
  void plan_step(const waiting_job& job, uint32_t time, uint32_t step,
                 fleet::run_starts& out);
  size_t count_proposed(const task_key& first) const;
  size_t place_on_open_workers(const waiting_job& job, const pending_step& step,
                               size_t wanted, fleet::run_starts& out);
  void cancel_placements(const std::vector<placement>& placed);
  void start(const std::vector<placement>& placed, const pending_step& step,
             fleet::run_starts& out);
  std::vector<placement> place_tasks(const waiting_job& job,
                                     const pending_step& step,
                                     std::vector<worker_view*>& all);
  /// Score and negated index: equal scores rank in the workers' order.
  using ranked = std::pair<double, std::ptrdiff_t>;
  using ranking = std::priority_queue<ranked>;
  ranking rank(const pending_step& step, const std::vector<worker_view*>& all);
  std::optional<size_t> take_best(ranking& best, const pending_step& step,
                                  const std::vector<worker_view*>& all) const;
  static run_number last_run(const step_entry& step);
  static std::vector<uint32_t> placement_order(const step_entry& step);
  // Suspects of worker crashes: suspects.cc.
  bool has_unproven_run(const worker_view& it) const;
  void record_suspect_trials();
  void record_suspect_trial(const worker_id& id, const task_key& task);
  bool has_interrupted_tasks(const task_key& first) const;
  bool has_failed_start(const task_key& first) const;
  bool awaits_evidence(const task_key& key, const task_entry& task) const;
  static bool is_testing(const worker_view& it, const pending_step& step);
  std::optional<double> score_beside_suspect(const pending_step& step,
                                             const worker_view& it) const;
  std::optional<double> score_for_suspect(const pending_step& step,
                                          const worker_view& it,
                                          std::optional<double> least) const;
  std::optional<size_t> worker_for_suspect(
      const pending_step& step, const std::vector<worker_view*>& all);
  // Workers that were avoided: recovering-workers.cc.
  void record_recovery_trials();
  std::vector<worker_view*> retry_candidates();
  size_t place_on_avoided_workers(const waiting_job& job,
                                  const pending_step& step,
                                  fleet::run_starts& out);
  pool_use& pool_use_of(const std::string& pool);
  uint64_t new_task_capacity(const std::string& pool, uint32_t priority,
                             const job_tracking& tracking);
  std::optional<double> score_if_allowed(const pending_step& step,
                                         const worker_view& it) const;
  bool is_starved(const job_tracking& tracking) const;
  job_order current_job_order(job_number number, const job_entry& job);
  std::optional<time_point> interrupted_since(job_number number) const;
  std::optional<time_point> new_tasks_due_since(job_number number,
                                                const job_entry& job);
  bool retry_is_due(const task_key& step) const;
  std::vector<worker_view*> take_freed_workers();
  void count_evaluations(uint64_t n);
  milliseconds retry_pause(size_t workers, bool long_running) const;
  bool may_fit_on_freed_worker(const fleet::step_spec& spec) const;
  bool fits_on_freed_worker(const job_entry& job, const task_key& first);
  bool fits(const worker_view& it, const pending_step& step) const;
  bool allows_backfill(const worker_view& it, const pending_step& step) const;
  double score(const worker_view& it, const pending_step& step) const;
  double image_affinity(const worker_view& it, image_id image) const;
  int64_t expected_free_cpu(const worker_view& it) const;
  // Pace of backfill tasks: pacing.cc.
  std::vector<serving_task> serving_tasks(const worker_view& it);
  std::vector<backfill_task> backfill_tasks(const worker_view& it);
  void update_model(worker_view& it, const serving_task& task,
                    const std::vector<image_use>& use);
  milliseconds backfill_slack(const run_key& run);
  milliseconds pool_slack(const std::string& pool);
  static void log_pool_slack(const std::string& pool, milliseconds least,
                             size_t jobs, double cores);
  void throttle_backfill(const worker_view& it, const serving_task& task,
                         std::vector<backfill_task>& tasks);
  double added_load(image_id serving, const std::vector<image_use>& use) const;
  double own_load(const task_key& serving, milliseconds ahead) const;
  void enforce_targets(worker_view& it,
                       const std::vector<serving_task>& serving,
                       std::vector<backfill_task>& tasks);
  void mark_throttled(worker_view& it, const std::vector<backfill_task>& tasks);
  bool may_move(const worker_view& it, const run_key& run) const;
  worker_view* find_better_worker(const worker_view& from, const run_key& run,
                                  const std::vector<worker_view*>& all);
  bool tolerates_backfill(const worker_view& it) const;
  double expected_share(const worker_view& it, const pending_step& step) const;
  // Pending long-running tasks: delayed-steps.cc.
  std::optional<time_point> due_since(const job_entry& job,
                                      uint32_t time) const;
  uint32_t unplaced(const task_key& first, bool include_new) const;
  bool is_unplaced(const task_key& task) const;
  std::vector<delayed_step> delayed_steps(milliseconds min_wait);
  void add_delayed_steps(const job_entry& job, const task_key& first,
                         time_point due, milliseconds min_wait,
                         std::vector<delayed_step>& out) const;
  std::vector<reclaimable> reclaimable_for(uint32_t priority);
  fit_counts count_fits(const pending_step& step,
                        const std::vector<reclaimable>& workers) const;
  const char* exclusion_reason(const worker_view& it) const;
  const char* absence_reason(const worker_view& it) const;
  // Reports of pending steps: wait-reports.cc.
  using reclaimable_by_priority = std::map<uint32_t, std::vector<reclaimable>>;
  std::vector<waiting_short_step> waiting_short_steps();
  void report_wait(log_event& line, const task_key& first, uint64_t tasks,
                   milliseconds waited, reclaimable_by_priority& workers);
  void report_processors();
  void report_short_waits(const std::vector<waiting_short_step>& waits,
                          reclaimable_by_priority& workers);
  void report_late_start(const placement& it, bool long_running);
  void report_if_only_evacuated_fit(const pending_step& step,
                                    const std::vector<worker_view*>& usable);
  bool meets_constraints(const worker_view& it, const pending_step& step) const;
  // Capacity reservations: reservations.cc, releases.cc.
  bool may_evict(const run_key& run, uint32_t priority) const;
  double eviction_cost(const worker_view& it, const run_key& run) const;
  uint32_t priority_of(const task_key& step) const;
  bool blocks(const capacity_reservation& kept, uint32_t priority) const;
  resources shortage(const worker_view& it, const pending_step& step) const;
  std::vector<release_option> release_options(
      const worker_view& it, uint32_t priority,
      const std::set<run_key>& stopping) const;
  std::vector<worker_releases> all_releases(uint32_t priority,
                                            const std::set<run_key>& stopping);
  static std::optional<chosen_releases> choose_releases(
      const resources& need, const std::vector<release_option>& options,
      milliseconds limit);
  std::optional<reservation_plan> plan_reservation(
      const worker_releases& worker, const resources& need,
      const pending_step& step, milliseconds limit) const;
  std::optional<reservation_plan> best_plan(
      const pending_step& step, std::vector<worker_releases>& workers,
      milliseconds limit, size_t& examined) const;
  void add_reservation(const reservation_plan& it, const pending_step& step,
                       std::vector<worker_releases>& workers,
                       reservation_round& round);
  std::optional<reservation_ref> find_less_urgent(uint32_t priority);
  void drop_less_urgent(worker_view& worker, uint32_t priority,
                        reservation_round& round);
  size_t drop_stale();
  void release_reservation(worker_view& worker, const task_key& step);
  void reserve_for_step(const delayed_step& wait, uint32_t& reserved,
                        reservation_round& round);

  scheduler_settings settings_;
  const job_book& book_;
  const task_outages& outages_;
  worker_table& workers_;
  clock_source& clock_;
  job_progress progress_;
  interference_model model_;
  short_demand short_demand_;
  // By pool, cached for one plan or reservation pass.
  std::map<std::string, pool_use> pool_uses_;
  // Load forecasts of serving steps, by first task.
  std::map<task_key, load_forecast> forecasts_;
  std::unordered_map<job_number, job_tracking> tracked_jobs_;
  // Least slack of each pool's backfill jobs, for a short time.
  struct known_slack {
    time_point at{};
    milliseconds least = milliseconds::max();
  };
  std::map<std::string, known_slack> pool_slacks_;
  // Loads of the live jobs, for a short time, and of those admitted since that
  // were not in the book then.
  std::vector<job_load> job_loads_;
  time_point job_loads_at_{};
  std::map<job_number, job_load> admitted_;
  // Of the jobs that this leader found, the highest order.
  uint64_t last_inherited_order_ = 0;
  // Steps logged as possible only on evacuated workers.
  std::set<task_key> reported_only_evacuated_;
  // Next attempt for a step that did not fit, by first task.
  std::map<task_key, time_point> retry_at_;
  // Next attempt for a step without a reservation, by first task.
  std::map<task_key, time_point> no_reservation_until_;
  // Workers on which runs ended since the last plan.
  std::vector<worker_view*> freed_;
  // Largest free amount of each kind among them.
  resources freed_max_;
  // Workers with an open call; filled by the first step of a plan.
  std::optional<std::vector<worker_view*>> open_workers_;
  // The result of `plan_candidates` in the current plan, once a step needs it.
  std::optional<std::vector<worker_view*>> plan_workers_;
  // Worker evaluations left to the current plan.
  uint64_t evaluations_left_ = 0;
  bool cut_short_ = false;
  // Where the next scan for a suspect's worker begins.
  size_t suspect_scan_offset_ = 0;
  bool only_open_ = false;
  unsigned stretch_percent_ = 100;
  // Tasks whose start is proposed but not yet in the book.
  std::map<task_key, worker_id> proposed_;
  // Workers on which a suspect is being tried.
  std::vector<worker_id> suspect_workers_;
  time_point waits_reported_at_{};
  // Since when steps of short tasks wait, as of the last report.
  std::map<task_key, time_point> short_waits_;
  // Plans since the last report that left steps to the next one.
  uint64_t plans_cut_short_ = 0;
  time_point reserved_at_{};
  // Time of day, and the clock time at which it was read.
  uint64_t wall_ms_ = 0;
  time_point wall_read_at_{};
  // Ordinal of the worker at which the last search for moves ended.
  uint64_t last_move_ordinal_ = 0;
  uint64_t evaluations_ = 0;
  uint64_t throttled_by_slack_ = 0;
  uint64_t passed_over_ = 0;
  uint64_t gone_first_ = 0;
  time_point overload_review_due_{};
};

/// True if the worker's heartbeat lists the label.
bool has_label(const fleet::worker_beat& beat, const std::string& label);

}  // namespace kestrelreel
