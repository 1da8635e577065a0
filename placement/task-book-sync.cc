// The exchanges of the book with its workers.
#include <algorithm>
#include <utility>

#include "placement/task-book.h"

namespace kestrelreel {
namespace detail {

void set_ref(proto::task_ref& ref, const task_id& id, attempt_number attempt) {
  ref.set_task(id.str());
  ref.set_attempt(attempt.value());
}

}  // namespace detail

std::vector<worker_id> task_book::due() const {
  const time_point now = clock_.now();
  std::vector<worker_id> result;
  for (const auto& [id, it] : workers_) {
    if (!it.in_flight && it.next_sync <= now) result.push_back(id);
  }
  return result;
}

proto::sync_request task_book::next_sync(const worker_id& worker) {
  worker_entry& it = workers_.at(worker);
  proto::sync_request request;
  request.set_worker(worker.str());
  request.set_epoch(epoch_.value());
  request.set_holder(holder_);
  request.set_sequence(++it.sequence);
  request.set_lease_ms(static_cast<uint64_t>(settings_.task_lease.count()));
  request.set_incarnation(it.incarnation);
  request.set_echo_ms(it.echo_ms);
  it.in_flight = true;
  it.next_sync = clock_.now() + settings_.sync_interval;
  if (it.synced) add_orders(it, request);
  return request;
}

void task_book::add_orders(worker_entry& worker, proto::sync_request& request) {
  const time_point now = clock_.now();
  const time_point lease_end =
      worker.last_answer + settings_.lease_with_drift();
  for (const task_id& id : worker.tasks) {
    task_run& run = *tasks_.at(id).run;
    const bool drained = now >= run.drain_end;
    if (run.phase == run_phase::draining && drained) {
      run.phase = run_phase::stopping;
    }
    if (run.phase == run_phase::stopping) {
      detail::set_ref(*request.add_stops(), id, run.attempt);
      continue;
    }
    run.lease_end = std::max(run.lease_end, lease_end);
    if (run.first_sequence == 0) run.first_sequence = request.sequence();
    if (run.phase == run_phase::starting) {
      add_start(id, run, request);
    } else {
      detail::set_ref(*request.add_renews(), id, run.attempt);
    }
  }
  for (const auto& [id, stray] : worker.strays) {
    detail::set_ref(*request.add_stops(), id, stray.attempt);
  }
  for (const auto& [id, attempt] : worker.ended) {
    if (!may_forget(id)) continue;
    detail::set_ref(*request.add_forgets(), id, attempt);
  }
}

void task_book::add_start(const task_id& id, const task_run& run,
                          proto::sync_request& request) const {
  const task_spec& spec = *tasks_.at(id).wanted;
  proto::task_order& order = *request.add_starts();
  order.set_task(id.str());
  order.set_attempt(run.attempt.value());
  *order.mutable_size() = to_proto(run.size);
  order.set_service(run.service);
  order.set_run_time_ms(static_cast<uint64_t>(spec.run_time.count()));
  order.set_slots(spec.slots);
  order.set_connections(spec.connections);
}

bool task_book::may_forget(const task_id& id) const {
  const auto it = tasks_.find(id);
  return it == tasks_.end() || !it->second.done;
}

void task_book::on_no_reply(const worker_id& worker) {
  const auto it = workers_.find(worker);
  if (it != workers_.end()) it->second.in_flight = false;
}

std::optional<epoch_number> task_book::on_reply(
    const proto::sync_reply& reply) {
  const auto found = workers_.find(worker_id(reply.worker()));
  if (found == workers_.end()) return std::nullopt;
  worker_entry& worker = found->second;
  worker.in_flight = false;
  if (reply.refused()) {
    const bool overtaken =
        reply.epoch() < epoch_.value() ||
        (reply.epoch() == epoch_.value() && reply.holder() == holder_);
    if (overtaken) return std::nullopt;
    return epoch_number(reply.epoch());
  }
  if (reply.epoch() != epoch_.value()) return std::nullopt;
  if (reply.sequence() <= worker.answered_sequence) return std::nullopt;
  if (reply.sequence() > worker.sequence) return std::nullopt;
  worker.answered_sequence = reply.sequence();
  worker.synced = true;
  worker.last_answer = clock_.now();
  worker.echo_ms = reply.clock_ms();
  worker.incarnation = reply.incarnation();
  worker.info.leaving |= reply.leaving();
  if (worker.info.leaving) start_draining(worker);
  note_reports(worker, reply);
  return std::nullopt;
}

void task_book::note_reports(worker_entry& worker,
                             const proto::sync_reply& reply) {
  note_strays(worker, reply);
  std::set<task_id> reported;
  std::map<task_id, attempt_number> ended;
  std::swap(ended, worker.ended);
  for (const proto::task_report& it : reply.tasks()) {
    const task_id id(it.task());
    const attempt_number attempt(it.attempt());
    const auto old = ended.find(id);
    if (old != ended.end() && old->second == attempt) {
      worker.ended.emplace(id, attempt);
      continue;
    }
    reported.insert(id);
    note_report(worker, it);
  }
  end_missing(worker, reply.sequence(), reported);
  const bool orders = !worker.strays.empty() ||
                      std::any_of(worker.tasks.begin(), worker.tasks.end(),
                                  [&](const task_id& id) {
                                    const auto& run = tasks_.at(id).run;
                                    return run->first_sequence == 0;
                                  });
  if (orders) prompt(worker);
}

/// Gives back the room of strays that have stopped.
void task_book::note_strays(worker_entry& worker,
                            const proto::sync_reply& reply) {
  std::erase_if(worker.strays, [&](const auto& pair) {
    const auto& [id, stray] = pair;
    const bool still = std::any_of(
        reply.tasks().begin(), reply.tasks().end(),
        [&](const proto::task_report& it) {
          return it.task() == id.str() && it.attempt() == stray.attempt.value();
        });
    if (!still) worker.committed -= stray.size;
    return !still;
  });
}

void task_book::note_report(worker_entry& worker,
                            const proto::task_report& report) {
  const task_id id(report.task());
  const auto found = tasks_.find(id);
  const bool known = found != tasks_.end() && found->second.run.has_value();
  if (!known) return adopt(worker, report);
  task_entry& task = found->second;
  task_run& run = *task.run;
  const bool this_run =
      run.worker == worker.info.id && run.attempt.value() == report.attempt();
  if (!this_run) {
    const stray_run stray{attempt_number(report.attempt()),
                          to_amount(report.size())};
    if (!worker.strays.emplace(id, stray).second) return;
    ++counters_.strays;
    worker.committed += stray.size;
    return;
  }
  const bool over = report.phase() == proto::task_done ||
                    report.phase() == proto::task_failed ||
                    report.phase() == proto::task_gone;
  if (over) return note_end(id, task, report);
  if (report.phase() == proto::task_running &&
      run.phase == run_phase::starting) {
    run.phase = run_phase::running;
  }
  run.address = report.address();
}

/// Takes over a run that an earlier holder started, or stops it when nothing
/// wants it.
void task_book::adopt(worker_entry& worker, const proto::task_report& report) {
  const task_id id(report.task());
  task_entry& task = tasks_[id];
  task_run run;
  run.worker = worker.info.id;
  run.attempt = attempt_number(report.attempt());
  run.size = to_amount(report.size());
  run.address = report.address();
  run.first_sequence = worker.sequence;
  run.lease_end = clock_.now() + settings_.lease_with_drift();
  run.phase = task.wanted ? run_phase::running : run_phase::stopping;
  stop_waiting(id, task);
  const bool done = task.done;
  attach(id, task, std::move(run));
  const bool over = report.phase() == proto::task_done ||
                    report.phase() == proto::task_failed ||
                    report.phase() == proto::task_gone;
  if (over) return note_end(id, task, report);
  if (done) task.run->phase = run_phase::stopping;
}

void task_book::note_end(const task_id& id, task_entry& task,
                         const proto::task_report& report) {
  worker_entry& worker = workers_.at(task.run->worker);
  const attempt_number attempt = task.run->attempt;
  const bool done = report.phase() == proto::task_done;
  if (done && task.wanted && !task.done) {
    task.done = true;
    ++counters_.completed;
  }
  if (report.phase() == proto::task_failed) {
    ++counters_.failed;
    task.not_before = clock_.now() + backoff(task.failures);
    ++task.failures;
  }
  worker.ended.emplace(id, attempt);
  end_run(id, task);
}

/// Ends the runs that the worker was told of and no longer has.
void task_book::end_missing(worker_entry& worker, uint64_t sequence,
                            const std::set<task_id>& reported) {
  const std::set<task_id> tasks = worker.tasks;
  for (const task_id& id : tasks) {
    if (reported.contains(id)) continue;
    task_entry& task = tasks_.at(id);
    const task_run& run = *task.run;
    const bool never_told =
        run.first_sequence == 0 && run.phase == run_phase::stopping;
    const bool told = run.first_sequence != 0 && run.first_sequence <= sequence;
    if (!told && !never_told) continue;
    if (run.phase == run_phase::starting) {
      task.not_before = clock_.now() + backoff(task.failures);
      ++task.failures;
      ++counters_.failed;
    } else if (run.phase != run_phase::stopping) {
      ++counters_.lost;
    }
    end_run(id, task);
  }
}

}  // namespace kestrelreel
