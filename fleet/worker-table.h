// What the leader knows of the workers from their heartbeats. Nothing of it is
// replicated: a new leader learns it anew.
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

/// A worker is granted no more than this, whatever the platform allows: what
/// ran on one that is lost for good starts elsewhere only when the grant is
/// over, and the users bear a serving task away for 9 s where there is room. 7
/// s with 2 % of drift, two heartbeats, a commit and an order stay below 8.5;
/// cuts of up to 6.5 s are survived.
constexpr milliseconds longest_hold{7'000};

/// How long workers may run on without a word, and what clocks may do.
struct lease_settings {
  /// What each answer grants, from when the worker sent its heartbeat.
  milliseconds hold{6'000};
  /// Most that a worker's clock runs slow.
  unsigned drift_percent = 2;
  /// Covers the timers of both sides.
  milliseconds slack{100};
  /// A worker drops an answer that comes later than this.
  milliseconds answer_limit{1'000};

  /// From the arrival of a heartbeat until nothing that it prolonged is alive.
  milliseconds over_after() const {
    return hold + hold * drift_percent / 100 + slack;
  }
};

/// Two heartbeats of a live worker lie this far apart; those of a dead one that
/// a cut held up arrive together.
constexpr milliseconds sure_life{800};

/// A call comes so much later than its worker was told to, at most: the way of
/// the answer before, its own, and once that a box puts it off.
constexpr milliseconds longest_call_way{800};

/// All of a task's work, in percent.
constexpr unsigned full_pace = 100;

/// Room that is kept for a task that waits, so that no smaller one takes it.
struct kept_room {
  /// The task's step, named by its first task, and what a task of it takes.
  task_key step;
  uint64_t cpu = 0;
  uint64_t memory_mb = 0;
  uint32_t accelerators = 0;
  time_point until{};
};

/// One life of a worker.
struct worker_view {
  worker_id id;
  /// Rises from worker to worker, in the order in which they became known.
  uint64_t ordinal = 0;
  /// The last heartbeat, without its rows.
  fleet::worker_beat beat;
  /// When the last heartbeat came whose answer still counts; `known` is false
  /// before the first heartbeat.
  time_point heard{};
  bool known = false;
  /// When the first heartbeat and the last one of any age were taken in, and
  /// what the worker's clock showed in the first.
  time_point first_told{};
  time_point told{};
  uint64_t first_clock_ms = 0;
  /// How much longer the last heartbeat was on its way than the quickest one.
  milliseconds delay{0};
  /// When everything that this leader or an earlier one let run is over.
  time_point over_at{};
  /// It leaves in order: it gets no new work and no starts, and what it still
  /// lists counts.
  bool leaves = false;
  /// Since when that is recorded.
  std::optional<time_point> left_at;
  /// What runs there was told to stop, as its time is nearly over.
  bool vacated = false;
  /// That its life is over is proposed: nothing more of it is taken in.
  bool over = false;
  /// The life that was at its place when it first called.
  std::optional<worker_id> follows;
  /// Another life of its worker called since: it gets no new work meanwhile.
  bool doubtful = false;
  /// What runs there by the last heartbeat.
  std::map<run_key, fleet::running_row> rows;
  /// When a start was last sent.
  std::map<run_key, time_point> sent;
  /// Until when starts that the log has, sent in no answer yet, wait for one.
  std::map<run_key, time_point> unsent;
  /// Runs that were given up on since its last heartbeat, as their lease was
  /// over: it may still show that it crashed.
  std::set<run_key> lapsed;
  /// When such starts were last taken back: it gets no work until it calls.
  time_point taken_back_at{};
  /// The last end that was proposed to the log.
  uint64_t end_proposed = 0;
  /// The last end that an answer acknowledged.
  uint64_t end_told = 0;
  /// Starts proposed and not yet in the book.
  std::map<run_key, fleet::step_spec> proposed;
  /// What is taken of it by its runs in the book and the proposed ones, unless
  /// they changed since.
  worker_load load;
  bool load_is_old = true;
  /// It lists runs that are not in the book: they take room until they end.
  bool lists_unrecorded = false;
  /// Runs there ended since waiting tasks were last placed.
  bool freed = true;
  /// The step of a suspect task that was started here and is not listed yet:
  /// nothing else is started meanwhile.
  std::optional<task_key> tries;
  /// Room kept here; it is gone with the worker and with the leadership.
  std::vector<kept_room> kept;
  /// The share that each fill task may work at, in percent, and what it was
  /// told.
  std::map<run_key, unsigned> pace;
  std::map<run_key, unsigned> paces;
  /// When its readings were last looked at.
  time_point paced_at{};
  /// What the loads of serving tasks exceed the model's by, as a share.
  std::map<run_key, double> excess;
  /// Since when serving tasks are over their target without a break.
  std::map<run_key, time_point> over_since;
  /// Images of fill tasks that were held back hard here for long: no more of
  /// them are placed before this.
  std::map<image_id, time_point> unfit_until;
  /// Since when fill tasks are held back hard.
  std::map<run_key, time_point> held_since;
  /// Ends `failed` in a row, and of how many jobs.
  unsigned failures = 0;
  job_number failed_job;
  unsigned failed_jobs = 0;
  /// Heartbeats in a row that listed refused starts, none that was done.
  unsigned refusals = 0;
  /// Gets no new work before this.
  time_point avoided_until{};
  unsigned avoided_times = 0;
  /// The answer that the worker waits for, and since when.
  std::function<void(fleet::fleet_response)> respond;
  time_point asked{};
  /// Until when the call is held, and when the worker is to be looked at for
  /// silence; 0 for never.
  time_point held_until{};
  time_point watch_at{};
  /// That call was held for work that might come.
  bool was_held = false;
  /// Its last answer ordered starts; until a heartbeat lists them all.
  bool awaits_start = false;
  /// When it is to call next, by its last answer, and how long after it; 0
  /// before the first one.
  time_point call_due{};
  milliseconds pause{0};
  /// It called as only one does that got an answer from here: its calls are no
  /// held-up ones of a life that is over.
  bool answered = false;
  /// Least difference of its clock to ours so far: how long ago a heartbeat
  /// was sent is told by how much this one differs.
  int64_t clock_offset = INT64_MAX;
  time_point offset_at{};

  /// When its next call has surely come if it lives.
  time_point overdue_at() const { return call_due + longest_call_way; }
};

/// The workers by id.
class worker_table {
 public:
  worker_table(lease_settings leases, clock_source& clock)
      : leases_(leases), clock_(clock) {}

  /// Forgets all; each worker that may run something is taken in with
  /// `expect`.
  void clear();
  /// True for a life that began to call just now at the place of another one:
  /// whether that one crashed will be known in a moment.
  bool is_unsettled(const worker_view& it) const {
    return it.follows && views_.contains(*it.follows) &&
           clock_.now() - it.first_told < sure_life + leases_.slack;
  }
  /// A worker that an earlier leader may have granted time just now.
  worker_view& expect(const worker_id& id);
  /// What a heartbeat came to.
  struct arrival {
    /// Null when a later one was taken in already.
    worker_view* view = nullptr;
    /// False when it was sent so long ago that the worker drops its answer:
    /// what it tells is true all the same, but nothing may be granted on it.
    bool timely = false;
    /// It tells the difference to one that was not the last taken in here, so
    /// that nothing of it was.
    bool wants_whole = false;
    /// It can't be of the worker that it names: nothing of it was taken in.
    bool misfit = false;
  };
  arrival heard(const fleet::worker_beat& beat);
  void erase(const worker_id& id);
  /// Forgets a worker whose life is surely over, but for that: a heartbeat of
  /// it that comes later must not pass for a new life.
  void end_life(const worker_id& id);
  /// True for so long as such a heartbeat may come; on every replica, as the
  /// next leader must know.
  bool is_over(const worker_id& id);
  /// A heartbeat of such a life, or of one with a later birth known: true while
  /// it is to be taken for a held-up one. A life that calls on for `sure_life`,
  /// by our clock and by its own, and without a word of the later one, was
  /// taken to be over wrongly and comes back: clocks that births are read from
  /// may be set back.
  bool stays_over(const fleet::worker_beat& beat);
  worker_view* find(const worker_id& id);
  /// The lives of that name that are not known to be over, the last born last;
  /// until a worker comes or goes.
  const std::vector<worker_view*>& lives_of(const std::string& name) const {
    return by_name_.at(name);
  }
  /// Those that name this machine, or this address.
  const std::vector<worker_view*>& at_place(const std::string& place) const {
    return by_place_.at(place);
  }
  /// True when a life of that name is over, or several are there.
  bool has_earlier_life(const std::string& name);
  /// Names of which there are several lives; looked at anew with each call.
  std::set<std::string> shared_names();
  worker_marks& marks() { return marks_; }
  std::map<worker_id, worker_view>& views() { return views_; }
  const std::map<worker_id, worker_view>& views() const { return views_; }
  const lease_settings& leases() const { return leases_; }
  /// The worker's answer was sent: what it runs may go on for that long, and
  /// after the pause it is to call again.
  void granted(worker_view& it, milliseconds pause) {
    it.over_at = it.heard + leases_.over_after();
    it.call_due = clock_.now() + pause;
    it.pause = pause;
  }

 private:
  bool shows_answer(const worker_view& it,
                    const fleet::worker_beat& next) const;
  bool is_timely(worker_view& it, const fleet::worker_beat& beat) const;
  static void take_whole(worker_view& it, const fleet::worker_beat& beat);
  static bool take_difference(worker_view& it, const fleet::worker_beat& beat);
  worker_view& view_of(const worker_id& id);
  void drop(worker_view& it);
  void take_place(worker_view& it, const fleet::worker_beat& beat);
  std::optional<worker_id> life_before(const worker_view& it) const;
  const worker_view* later_life(const worker_id& id);
  void review_doubts(const std::string& name);
  void drop_old_lives();

  lease_settings leases_;
  clock_source& clock_;
  std::map<worker_id, worker_view> views_;
  std::unordered_map<std::string_view, worker_view*> by_id_;
  // Sorted by birth.
  worker_index by_name_;
  // By machine and by address.
  worker_index by_place_;
  worker_marks marks_;
  uint64_t last_ordinal_ = 0;
  // Names that had several lives when last looked at.
  std::set<std::string> shared_names_;
  /// The first heartbeat that came of a life that is over.
  struct late_call {
    bool came = false;
    time_point at{};
    uint64_t clock_ms = 0;
  };
  // Lives that are over, and in the order of their ends since when.
  std::map<worker_id, late_call> over_;
  std::deque<std::pair<time_point, worker_id>> over_since_;
};

}  // namespace kestrelreel
