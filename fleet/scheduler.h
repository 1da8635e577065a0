// Which waiting task starts on which worker, and how hard fill tasks may work.
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
#include "fleet/load-forecast.h"
#include "fleet/scheduler-settings.h"
#include "fleet/short-demand.h"
#include "fleet/worker-load.h"
#include "fleet/worker-table.h"

namespace kestrelreel {

/// Decides; keeps only what it derives from the book and the workers.
class fleet_scheduler {
 public:
  fleet_scheduler(scheduler_settings settings, const job_book& book,
                  worker_table& workers, clock_source& clock)
      : settings_(settings), book_(book), workers_(workers), clock_(clock) {}

  /// The starts that can be made now, the most urgent first; each is noted as
  /// proposed at its worker. `wall_ms` is the time of day, for jobs that are
  /// due at a time; until the next plan it is taken to go on from there.
  /// With a stretch, in percent, for a leader that is behind, steps that wait
  /// are tried again so much later, and only workers whose call waits for an
  /// answer get any, so that no order lies in the book for longer than the log
  /// and a turn take.
  fleet::run_starts plan(uint64_t wall_ms, unsigned stretch_percent = 100);
  /// True when the worker's call waits for an answer that it will still take.
  bool is_open(const worker_view& it) const;
  /// True when the last plan left steps to the next one.
  bool cut_short() const { return cut_short_; }
  /// Runs of fill tasks that are held back hard where they are, and could work
  /// elsewhere; at most a few at a time.
  std::vector<run_key> moves();
  /// What is taken of the worker.
  worker_load load_of(const worker_view& it);
  /// Learns from a heartbeat's readings and sets the pace of its fill tasks.
  void pace(worker_view& it);
  /// Forgets what belongs to a job that is over.
  void forget(job_number job);
  /// A run that gives way to a lasting task of that step.
  struct eviction {
    run_key run;
    task_key step;
  };
  struct rooms_made {
    // Rooms that are kept, those among them that are new, tasks for which there
    // is none, and tasks of steps that were not looked at for a while.
    size_t all = 0;
    size_t kept = 0;
    size_t without = 0;
    size_t left_alone = 0;
    // Workers that were looked at in full.
    size_t looks = 0;
    std::vector<eviction> evictions;
  };
  /// Keeps room for lasting tasks that have waited too long, and tells which
  /// runs are to be stopped for it; `stopping` are being stopped already.
  rooms_made keep_rooms(const std::set<run_key>& stopping);
  /// Logs what stands in the way of lasting tasks that have waited for more
  /// than a second: once a second, and for a few steps at most.
  void report_waits();
  /// How often a worker was looked at for a task since the last call.
  uint64_t take_looks() { return std::exchange(looks_, 0); }

  /// True for a task of which a start is proposed and not yet in the book.
  bool is_proposed(const task_key& task) const;

 private:
  /// A step whose tasks are being placed.
  struct step_to_place {
    const fleet::step_spec& spec;
    const std::string& pool;
    task_key first;
    image_id image;
    bool starved;
    uint32_t priority;
    // Lasting tasks of it were interrupted.
    bool urgent;
  };
  struct serving_task {
    run_key run;
    const fleet::step_spec* step;
    image_id image;
    // Its tail's share of the target, and what that says of its load.
    double tail_share;
    double load;
  };
  struct fill_task {
    run_key run;
    const fleet::step_spec* step;
    image_id image;
    // Processors used by the reading, and at full pace, as of `fill_use`.
    double use;
    double full_use;
    double share;
  };
  struct waiting_job {
    job_order order;
    job_number number;
    const job_entry* entry;
    // Nothing of it has run for long: one task starts wherever it can.
    bool starved;
  };
  struct placement {
    task_key task;
    run_number run;
    worker_view* where;
  };
  /// What is kept of a live job beside the book.
  struct job_plan {
    time_point accepted;
    // Since when a lasting job has had tasks that wait.
    std::optional<time_point> waits_since;
    // Since when it waits without anything running.
    std::optional<time_point> idle_since;
    // Its work is counted in what short jobs ask for.
    bool noted = false;
  };

  /// The processors of a pool's usable workers, and of what lasts there.
  struct pool_use {
    uint64_t workers = 0;
    uint64_t cpu = 0;
    uint64_t lasting = 0;
  };

  /// What would come free on a worker if some of its runs gave way.
  struct gain {
    uint64_t cpu = 0;
    uint64_t memory_mb = 0;
    uint64_t accelerators = 0;

    void add(const gain& it);
    void take(const gain& it);
    bool covers(const gain& need) const;
  };
  /// How a run there may come to its end: in how long, and at what loss.
  struct way_out {
    run_key run;
    gain more;
    double seconds;
    double cost;
    bool stop;
  };
  struct worker_ways {
    worker_view* where;
    std::vector<way_out> ways;
    // What all of them would leave.
    gain most;
  };
  using chosen_ways = std::vector<const way_out*>;
  using ways_by_priority = std::map<uint32_t, std::vector<worker_ways>>;
  /// Room that can be made at a worker: in how long, at what cost in all, and
  /// by which stops.
  struct opening {
    worker_view* where;
    double seconds;
    double cost;
    std::vector<run_key> stops;
  };
  /// A step with lasting tasks that wait.
  struct long_wait {
    uint32_t priority;
    time_point since;
    task_key first;
    uint32_t tasks;
    uint64_t cpu;
    // None of those counted more than in an earlier wait has begun before.
    bool fresh;
  };
  /// One look for rooms: what is being stopped, how each worker's runs may end,
  /// and how often all workers were looked at.
  struct room_look {
    std::set<run_key> stopping;
    ways_by_priority ways;
    size_t most = 0;
    // Choices made, and how many may be.
    size_t choices = 0;
    size_t most_choices = 0;
    // How long it takes until each wait had its turn.
    milliseconds round{0};
    rooms_made made;
  };
  /// A room among those of a worker.
  struct room_place {
    worker_view* where;
    size_t at;
  };
  /// What would come free at one worker without what does not last there.
  struct yielding {
    worker_view* where;
    gain fills;
    gain lesser;
    gain same;
  };

  /// Workers that have room, or would without what does not last there.
  struct places {
    uint64_t usable = 0;
    uint64_t barred = 0;
    uint64_t fit = 0;
    uint64_t fit_cpu = 0;
    uint64_t fit_memory = 0;
    uint64_t without_fills = 0;
    uint64_t without_lesser = 0;
    uint64_t without_short = 0;
    uint64_t most_cpu = 0;
    uint64_t most_memory = 0;
  };

  std::vector<waiting_job> waiting_jobs();
  job_plan& plan_of(job_number number);
  bool can_be_tried(job_number number, const job_entry& job);
  std::vector<worker_view*> candidates();
  std::vector<worker_view*> places_now();
  std::vector<worker_view*> open_places();
  bool is_usable(const worker_view& it) const;
  bool is_evacuated(const worker_view& it) const;
  bool is_cold(const worker_view& it) const;
  bool calls_soon(const worker_view& it) const;
  step_to_place place_of(const job_entry& job, const task_key& first,
                         bool starved);
  void plan_job(const waiting_job& job, std::vector<worker_view*>& all,
                fleet::run_starts& out);
  void plan_step(const waiting_job& job, uint32_t time, uint32_t step,
                 std::vector<worker_view*>& all, fleet::run_starts& out);
  size_t count_proposed(const task_key& first) const;
  size_t place_where_open(const waiting_job& job, const step_to_place& step,
                          size_t wanted, fleet::run_starts& out);
  void take_back(const std::vector<placement>& placed);
  void start(const std::vector<placement>& placed, const step_to_place& step,
             fleet::run_starts& out);
  std::vector<placement> place_tasks(const waiting_job& job,
                                     const step_to_place& step,
                                     std::vector<worker_view*>& all);
  /// Workers by how well a task would stand there; of two alike the first.
  using ranked = std::pair<double, std::ptrdiff_t>;
  using ranking = std::priority_queue<ranked>;
  ranking rank(const step_to_place& step, const std::vector<worker_view*>& all);
  static std::optional<size_t> take_best(ranking& best,
                                         const step_to_place& step,
                                         const std::vector<worker_view*>& all);
  static run_number last_run(const step_entry& step);
  static std::vector<uint32_t> turns_of(const step_entry& step);
  // Tasks under which a worker crashed: suspects.cc.
  bool has_unproven(const worker_view& it) const;
  void note_tries();
  void note_try(const worker_id& id, const task_key& task);
  bool has_interrupted(const task_key& first) const;
  bool awaits_fate(const task_key& key, const task_entry& task) const;
  static bool is_trying(const worker_view& it, const step_to_place& step);
  std::optional<double> value_for_suspect(const step_to_place& step,
                                          const worker_view& it,
                                          std::optional<double> least) const;
  std::optional<size_t> place_for_suspect(const step_to_place& step,
                                          const std::vector<worker_view*>& all);
  pool_use& use_of(const std::string& pool);
  uint64_t room_for_fresh(const std::string& pool, uint32_t priority,
                          const job_plan& plan);
  std::optional<double> value_of(const step_to_place& step,
                                 const worker_view& it) const;
  bool is_starved(const job_plan& plan) const;
  job_order order_now(job_plan& plan, const job_entry& job);
  bool may_try(const task_key& step) const;
  std::vector<worker_view*> take_freed();
  void count_looks(uint64_t n);
  milliseconds retry_pause(size_t workers, bool lasts) const;
  bool may_fit_where_freed(const fleet::step_spec& spec) const;
  bool fits_where_freed(const job_entry& job, const task_key& first);
  bool fits(const worker_view& it, const step_to_place& step) const;
  bool bears(const worker_view& it, const step_to_place& step) const;
  double score(const worker_view& it, const step_to_place& step) const;
  double alike(const worker_view& it, image_id image) const;
  int64_t left_over(const worker_view& it) const;
  // Pacing: pacing.cc.
  std::vector<serving_task> serving_tasks(const worker_view& it);
  std::vector<fill_task> fill_tasks(const worker_view& it);
  void learn(worker_view& it, const serving_task& task,
             const std::vector<image_use>& use);
  void hold_back(const worker_view& it, const serving_task& task,
                 std::vector<fill_task>& fills);
  double added(image_id serving, const std::vector<image_use>& use) const;
  double own_load(const task_key& serving, milliseconds ahead) const;
  void guard(worker_view& it, const std::vector<serving_task>& serving,
             std::vector<fill_task>& fills);
  void note_held(worker_view& it, const std::vector<fill_task>& fills);
  bool may_move(const worker_view& it, const run_key& run) const;
  worker_view* better_place(const worker_view& from, const run_key& run,
                            const std::vector<worker_view*>& all);
  bool bears_all(const worker_view& it) const;
  double expected_share(const worker_view& it, const step_to_place& step) const;
  // Lasting tasks that wait: waits.cc.
  std::optional<time_point> due_since(const job_entry& job,
                                      uint32_t time) const;
  uint32_t unplaced(const task_key& first, bool fresh_too) const;
  std::vector<long_wait> long_waits(milliseconds least);
  void add_waits(const job_entry& job, const task_key& first, time_point since,
                 std::vector<long_wait>& out) const;
  std::vector<yielding> yielding_to(uint32_t priority);
  places count_places(const step_to_place& step,
                      const std::vector<yielding>& workers) const;
  void report_wait(const step_to_place& step, uint64_t tasks,
                   milliseconds waited, const std::vector<yielding>& workers);
  const char* ruled_out_by(const worker_view& it) const;
  void report_processors();
  void report_late_start(const placement& it, bool lasts);
  void report_if_barred(const step_to_place& step,
                        const std::vector<worker_view*>& usable);
  bool may_carry(const worker_view& it, const step_to_place& step) const;
  // Room kept for them: kept-rooms.cc.
  bool may_yield(const run_key& run, uint32_t priority) const;
  double cost_of_stop(const worker_view& it, const run_key& run) const;
  uint32_t priority_of(const task_key& step) const;
  bool binds(const capacity_reservation& kept, uint32_t priority) const;
  gain shortage(const worker_view& it, const step_to_place& step) const;
  std::vector<way_out> ways_out(const worker_view& it, uint32_t priority,
                                const std::set<run_key>& stopping) const;
  std::vector<worker_ways> all_ways(uint32_t priority,
                                    const std::set<run_key>& stopping);
  static std::optional<chosen_ways> enough_ways(
      const gain& need, const std::vector<way_out>& ways, milliseconds limit);
  std::optional<opening> open_up(const worker_ways& worker, const gain& need,
                                 const step_to_place& step,
                                 milliseconds limit) const;
  std::optional<opening> best_opening(const step_to_place& step,
                                      std::vector<worker_ways>& workers,
                                      milliseconds limit, size_t& looks) const;
  void keep_room(const opening& it, const step_to_place& step,
                 std::vector<worker_ways>& workers, room_look& look);
  std::optional<room_place> lesser_room(uint32_t priority);
  void drop_lesser_rooms(worker_view& where, uint32_t priority,
                         room_look& look);
  size_t drop_rooms();
  void release_room(worker_view& where, const task_key& step);
  void keep_for(const long_wait& wait, uint32_t& have, room_look& look);

  scheduler_settings settings_;
  const job_book& book_;
  worker_table& workers_;
  clock_source& clock_;
  interference_model model_;
  short_demand short_demand_;
  // By pool, as of the present plan or look.
  std::map<std::string, pool_use> uses_;
  // Of serving steps, by the key of their first task.
  std::map<task_key, load_forecast> forecasts_;
  std::unordered_map<job_number, job_plan> plans_;
  // Steps of which it was told that only evacuated workers could carry them.
  std::set<task_key> barred_told_;
  // When a step that found no room is tried again, by its first task.
  std::map<task_key, time_point> try_again_;
  // Until when a step is left alone for which no room could be made.
  std::map<task_key, time_point> no_opening_until_;
  // Workers where runs ended since the last plan.
  std::vector<worker_view*> freed_;
  // The most that any of them has free of each kind.
  gain freed_most_;
  // Workers whose call is held, as of the present plan; filled by the first
  // step that is tried there.
  std::optional<std::vector<worker_view*>> open_;
  // Looks that the present plan may still make.
  uint64_t looks_left_ = 0;
  bool cut_short_ = false;
  // Workers that were looked at for suspects: the next look goes on from there.
  size_t suspect_looks_ = 0;
  bool only_open_ = false;
  unsigned stretch_percent_ = 100;
  // Tasks whose start is proposed and not yet in the book.
  std::map<task_key, worker_id> proposed_;
  // Workers on which suspects are being tried.
  std::vector<worker_id> trying_;
  time_point waits_reported_at_{};
  time_point rooms_kept_at_{};
  // The time of day, and when it was told.
  uint64_t wall_ms_ = 0;
  time_point wall_told_at_{};
  // Where the last look for runs to move ended: the worker's ordinal.
  uint64_t moves_from_ = 0;
  uint64_t looks_ = 0;
};

/// True when the worker bears the label.
bool has_label(const fleet::worker_beat& beat, const std::string& label);

}  // namespace kestrelreel
