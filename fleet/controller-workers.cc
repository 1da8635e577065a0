// Heartbeats, placement, and the decision cycle.
#include <algorithm>
#include <string>
#include <utility>

#include "fleet/controller.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";
/// How often finished jobs are reviewed.
constexpr milliseconds finished_jobs_review_interval{1'000};

}  // namespace detail

void fleet_controller::take_heartbeats(const fleet::beat_batch& batch,
                                       const answer_function& answer) {
  for (const fleet::worker_beat& it : batch.beats()) {
    const auto respond =
        [this, answer, worker = incarnation_of(it).str(), n = it.sequence(),
         taken_in = clock_.now()](fleet::fleet_response response) {
          fleet::beat_answer out;
          out.set_worker(worker);
          out.set_sequence(n);
          const milliseconds elapsed = clock_.now() - taken_in;
          out.set_leader_ms(static_cast<uint64_t>(elapsed.count()));
          out.set_overloaded(lag_.overloaded());
          *out.mutable_response() = std::move(response);
          answer(std::move(out));
        };
    const auto held = [answer, worker = incarnation_of(it).str(),
                       n = it.sequence()] {
      fleet::beat_answer out;
      out.set_worker(worker);
      out.set_sequence(n);
      out.set_held(true);
      answer(std::move(out));
    };
    if (leads_ && log_.may_decide()) {
      on_heartbeat(it, respond, held);
    } else {
      respond(make_response(fleet::fleet_unavailable, "no-leader"));
    }
  }
  if (!leads_ || !log_.may_decide()) return;
  for (const fleet::worker_beat& it : batch.waiting()) record_waiting_ends(it);
}

void fleet_controller::on_heartbeat(const fleet::worker_beat& beat,
                                    const respond_function& respond,
                                    const std::function<void()>& held) {
  ++metrics_.counter("kestrelreel_heartbeats_total");
  const worker_id incarnation = incarnation_of(beat);
  const worker_view* known_view = workers_.find(incarnation);
  if (const char* fault = find_fault(beat)) {
    return reject_heartbeat(beat, fault, respond);
  }
  const bool unheard = known_view == nullptr || !known_view->has_heartbeat;
  const bool over = known_view != nullptr && known_view->loss_proposed;
  if (over || (unheard && workers_.stays_ended(beat))) {
    log_event(detail::service_name, log_level::info, "heartbeat-after-end")
        .with("worker", incarnation.str())
        .with("sequence", beat.sequence())
        .with("ends", beat.ended_size());
    record_ends_only(beat);
    return respond(make_response(fleet::fleet_ok, "over"));
  }
  const earlier_call last = earlier_call_of(known_view);
  const auto [it, timely, wants_whole, inconsistent] =
      workers_.receive_heartbeat(beat);
  if (inconsistent) return reject_heartbeat(beat, "misfit", respond);
  if (wants_whole) return request_whole(beat, respond);
  if (it == nullptr) {
    worker_view& view = *workers_.find(incarnation);
    if (is_pending_call(view, beat)) return join_call(view, respond);
    log_overtaken(beat, view);
    return respond(make_response(fleet::fleet_ok, "overtaken"));
  }
  log_new_incarnation(*it);
  if (last.runs_lost > 0) log_heard_again(*it, last);
  accept_heartbeat(*it, timely, respond, held);
}

/// A difference that does not match the last heartbeat; only its ends count.
void fleet_controller::request_whole(const fleet::worker_beat& beat,
                                     const respond_function& respond) {
  const worker_id incarnation = incarnation_of(beat);
  const bool known = workers_.find(incarnation) != nullptr;
  log_event(detail::service_name, known ? log_level::debug : log_level::info,
            "heartbeat-baseless")
      .with("worker", incarnation.str())
      .with("sequence", beat.sequence())
      .with("base", beat.base())
      .with("ends", beat.ended_size())
      .with("life", known ? "known" : "unknown");
  record_ends_only(beat);
  fleet::fleet_response response = make_response(fleet::fleet_ok, "unknown");
  response.set_wants_whole(true);
  respond(std::move(response));
}

void fleet_controller::accept_heartbeat(worker_view& it, bool timely,
                                        const respond_function& respond,
                                        const std::function<void()>& held) {
  ++heartbeats_since_tick_;
  ++load_.heartbeats;
  lag_.record_delay(it.delay);
  update_unrecorded_runs(it);
  if (it.awaits_start) it.awaits_start = awaits_start(it);
  observe_begun_runs(it);
  if (it.recovery) observe_recovery(it);
  record_ends(it, it.beat.ended(),
              timely ? end_source::timely : end_source::late);
  // The worker no longer waits for the answer to a late heartbeat.
  if (!timely) {
    ++late_heartbeats_since_tick_;
    ++load_.late;
    ++metrics_.counter("kestrelreel_heartbeats_late_total");
    return respond(make_response(fleet::fleet_ok, "late"));
  }
  if (it.respond) {
    std::exchange(it.respond,
                  nullptr)(make_response(fleet::fleet_ok, "overtaken"));
  }
  scheduler_.progress().observe_rows(it);
  it.respond = respond;
  it.call_received_at = clock_.now();
  if (held && hold_call(it)) return held();
  workers_.groups().calling.add(it);
  update_paces_if_due(it);
  has_pending_decisions_ = true;
}

/// A box that loses sight of the leader forwards its pending calls again.
bool fleet_controller::is_pending_call(const worker_view& it,
                                       const fleet::worker_beat& beat) {
  return it.respond && it.beat.sequence() == beat.sequence() &&
         it.beat.clock_ms() == beat.clock_ms();
}

/// Gives the copy of a pending call the same answer: any other answer would
/// end the call before its orders arrive.
void fleet_controller::join_call(worker_view& it,
                                 const respond_function& respond) {
  it.respond = [first = std::move(it.respond),
                respond](const fleet::fleet_response& response) {
    first(response);
    respond(response);
  };
}

void fleet_controller::update_paces_if_due(worker_view& it) {
  constexpr uint64_t ms_per_s = 1'000;
  const milliseconds interval(static_cast<int64_t>(
      workers_.views().size() * ms_per_s / settings_.max_pace_reviews_per_s));
  if (it.last_timely_heartbeat_at - it.paced_at < lag_.stretched(interval))
    return;
  it.paced_at = it.last_timely_heartbeat_at;
  scheduler_.pace(it);
}

/// Logs an incarnation seen for the first time, which may be new, or already
/// over with heartbeats still arriving.
void fleet_controller::log_new_incarnation(const worker_view& it) const {
  if (it.first_heartbeat_at != it.last_heartbeat_at ||
      it.lease_expires_at != time_point{})
    return;
  log_event(detail::service_name, log_level::info, "life-appears")
      .with("worker", it.id.str())
      .with("machine", it.beat.machine())
      .with("sequence", it.beat.sequence())
      .with("ends", it.beat.ended_size())
      .with("draining", it.beat.draining() ? "yes" : "no");
}

/// True for a worker that drains or leaves, and for one that calls for the
/// first time: its list now decides whether its tasks are started again.
bool fleet_controller::is_starting_or_leaving(const worker_view& it) const {
  return it.is_leaving || it.beat.draining() ||
         it.first_heartbeat_at == it.last_heartbeat_at;
}

/// A leave only stops new work for the worker. The worker's last heartbeat may
/// arrive later, by a slower path: declaring the runs lost now would restart
/// tasks that are done and whose end is still in transit to the leader.
void fleet_controller::on_leave(const std::string& name, uint64_t born,
                                const respond_function& respond) {
  const std::optional<worker_id> leaver = find_leaving_incarnation(name, born);
  if (!leaver || is_over(*leaver)) {
    log_event(detail::service_name, log_level::info, "leave-after-end")
        .with("worker", name)
        .with("born", born)
        .with("life", leaver ? leaver->str() : "an earlier incarnation");
    return respond(make_response(fleet::fleet_ok, "over"));
  }
  const worker_id& worker = *leaver;
  worker_view* found = workers_.find(worker);
  worker_view& it = found == nullptr ? workers_.expect(worker) : *found;
  log_event(detail::service_name, log_level::info, "worker-leaves")
      .with("worker", worker.str())
      .with("runs", book_.runs_on(worker).size())
      .with("sequence", it.beat.sequence())
      .with("known", it.has_heartbeat ? "yes" : "no")
      .with("heard-ms-ago", (clock_.now() - it.last_heartbeat_at).count())
      .with("remaining-ms", it.beat.remaining_ms())
      .with("recorded", it.leave_recorded_at ? "yes" : "no");
  if (it.leave_recorded_at) {
    it.leave_recorded_at = clock_.now();
    return respond(make_response(fleet::fleet_ok, "left"));
  }
  it.is_leaving = true;
  fleet::fleet_command command;
  command.mutable_leave()->set_worker(worker.str());
  commit(std::move(command), respond);
}

bool fleet_controller::is_over(const worker_id& worker) {
  const worker_view* it = workers_.find(worker);
  return it == nullptr ? workers_.is_ended(worker) : it->loss_proposed;
}

/// Stops backfill tasks that make no progress where they run and would make
/// progress elsewhere.
void fleet_controller::move_starved_backfill() {
  std::erase_if(moving_, [&](const run_key& run) {
    const task_entry* task = book_.find(run.task);
    return task == nullptr || task->phase != task_phase::running ||
           task->run != run.run;
  });
  if (!moving_.empty()) return;
  for (const run_key& run : scheduler_.moves()) {
    moving_.insert(run);
    ++metrics_.counter("kestrelreel_evictions_total", {{"cause", "held-back"}});
    log_event(detail::service_name, log_level::info, "run-moves")
        .with("task", to_text(run.task))
        .with("run", run.run.value())
        .with("cause", "held back by serving tasks on the same worker");
  }
}

/// Reserves capacity for waiting long-running tasks and evicts less urgent runs
/// for them.
void fleet_controller::reserve_capacity() {
  std::erase_if(evicting_, [&](const run_key& run) {
    const task_entry* task = book_.find(run.task);
    return task == nullptr || task->phase != task_phase::running ||
           task->run != run.run;
  });
  const reservation_result reserved = scheduler_.reserve_capacity(evicting_);
  metrics_.counter("kestrelreel_rooms_kept_total") += reserved.added;
  metrics_.counter("kestrelreel_room_looks_total") += reserved.workers_examined;
  for (const auto& [run, step] : reserved.evictions) {
    evicting_.insert(run);
    ++metrics_.counter("kestrelreel_evictions_total", {{"cause", "lasting"}});
    log_event(detail::service_name, log_level::info, "run-gives-way")
        .with("task", to_text(run.task))
        .with("run", run.run.value())
        .with("cause", "a long-running task waits")
        .with("for", to_text(step));
  }
}

void fleet_controller::on_starts_applied(const fleet::run_starts& starts) {
  for (const fleet::run_start& it : starts.starts()) {
    worker_view* view = workers_.find(worker_id(it.worker()));
    if (view == nullptr) continue;
    const run_key run{to_key(it.task()), run_number(it.run())};
    // The load already counts a proposed run, which stays correct unless the
    // book rejected the start.
    const bool counted = view->proposed_starts.erase(run) > 0;
    if (leads_ && is_long_running(run)) view->awaited_runs.insert(run);
    if (counted && leads_) {
      view->unsent_starts[run] = clock_.now() + max_call_delay;
      workers_.groups().with_unsent_starts.add(*view);
      workers_.groups().held_calls.remove(*view);
      workers_.groups().calling.add(*view);
    }
    if (!counted || !book_.runs_on(view->id).contains(run)) {
      view->load_is_stale = true;
    }
  }
}

void fleet_controller::plan() {
  fleet::fleet_command command;
  *command.mutable_starts() =
      scheduler_.plan(settings_.wall_clock_ms(), lag_.stretch_percent());
  add_places(*command.mutable_starts());
  if (command.starts().starts_size() > 0) add_command(std::move(command));
  if (scheduler_.cut_short()) has_pending_decisions_ = true;
}

/// Forgets finished jobs after the retention time, but no job with a run that
/// may still be alive.
void fleet_controller::forget_old_jobs() {
  const time_point now = clock_.now();
  if (now - jobs_reviewed_at_ < detail::finished_jobs_review_interval) return;
  jobs_reviewed_at_ = now;
  std::set<job_number> due;
  for (const auto& [number, job] : book_.jobs()) {
    if (job.live()) continue;
    const auto [seen, fresh] = finished_since_.try_emplace(number, now);
    if (fresh) {
      const job_size size = size_of(job.spec);
      log_event(detail::service_name, log_level::info, "job-over")
          .with("job", to_text(number))
          .with("phase", fleet::job_phase_Name(job.phase))
          .with("widest-step", size.widest_step)
          .with("core-ms", size.core_ms);
    }
    const time_point since = seen->second;
    if (now - since >= settings_.finished_job_retention) due.insert(number);
  }
  for (const job_number number : book_.cancelled_early()) {
    const time_point since =
        finished_since_.try_emplace(number, now).first->second;
    if (now - since >= settings_.finished_job_retention) due.insert(number);
  }
  if (due.empty()) return;
  for (const auto& [worker, runs] : book_.runs()) {
    for (const run_key& it : runs) due.erase(it.task.job);
  }
  fleet::fleet_command command;
  for (const job_number number : due) {
    command.mutable_forget()->add_jobs(number.value());
    scheduler_.forget(number);
    finished_since_.erase(number);
  }
  if (command.has_forget()) add_command(std::move(command));
}

void fleet_controller::decide() {
  has_pending_decisions_ = false;
  if (!leads_) return;
  ++load_.turns;
  const bool decides = log_.may_decide();
  if (decides) {
    plan();
    record_all_orders();
  }
  record_looks();
  flush();
  if (!decides) return;
  for (worker_view* it : due_answers()) answer(*it);
}

void fleet_controller::tick() {
  if (!leads_) return;
  review_lag();
  review_read_delay();
  report_load();
  if (!log_.may_decide()) return;
  if (!defers_losses()) {
    losses_reviewed_ = true;
    review_restarts();
    review_silence();
    review_leaves();
  }
  review_placement();
  review_all_unstarted();
  review_unsent();
  review_suspects();
  forget_old_jobs();
  decide();
}

}  // namespace kestrelreel
