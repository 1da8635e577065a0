// The exchanges of the book with its workers.
#include <algorithm>
#include <utility>

#include "placement/task-book.h"
#include "record/spec.h"

namespace kestrelreel {
namespace detail {

void set_ref(proto::task_ref& ref, const task_id& id, attempt_number attempt) {
  ref.set_task(id.str());
  ref.set_attempt(attempt.value());
}

bool is_over(const proto::task_report& report) {
  return report.phase() == proto::task_done ||
         report.phase() == proto::task_failed ||
         report.phase() == proto::task_gone;
}

bool has_orders(const proto::sync_request& request) {
  return request.starts_size() > 0 || request.stops_size() > 0 ||
         request.forgets_size() > 0;
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
  if (!it.synced) return request;
  add_orders(it, request);
  add_renewals(it, request);
  return request;
}

/// Starts, stops and forgets.
void task_book::add_orders(worker_entry& worker, proto::sync_request& request) {
  const time_point now = clock_.now();
  for (task_entry* task : worker.tasks) {
    task_run& run = *task->run;
    const bool drained = now >= run.drain_end;
    if (run.phase == run_phase::draining && drained) {
      run.phase = run_phase::stopping;
    }
    if (run.phase == run_phase::stopping) {
      detail::set_ref(*request.add_stops(), *task->id, run.attempt);
    } else if (run.phase == run_phase::starting) {
      add_start(*task, request);
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

/// Renews all that should go on. With no order to give, one digest stands for
/// all of them, and the worker need not report what it reported before.
void task_book::add_renewals(worker_entry& worker,
                             proto::sync_request& request) {
  const time_point lease_end =
      worker.last_answer + settings_.lease_with_drift();
  const bool short_form = !detail::has_orders(request);
  uint64_t digest = 0;
  for (task_entry* task : worker.tasks) {
    task_run& run = *task->run;
    if (run.phase == run_phase::stopping) continue;
    run.lease_end = std::max(run.lease_end, lease_end);
    if (run.first_sequence == 0) run.first_sequence = request.sequence();
    digest += run.digest;
    const bool starts = run.phase == run_phase::starting;
    if (starts) run.last_start = request.sequence();
    if (short_form || starts) continue;
    detail::set_ref(*request.add_renews(), *task->id, run.attempt);
  }
  if (!short_form) return;
  request.set_renew_digest(digest);
  request.set_have_report(worker.have_report);
}

void task_book::add_start(const task_entry& task,
                          proto::sync_request& request) {
  const task_shape& shape = *task.wanted->shape;
  proto::task_order& order = *request.add_starts();
  order.set_task(task.id->str());
  order.set_attempt(task.run->attempt.value());
  *order.mutable_size() = to_proto(task.run->size);
  if (shape.is_service()) order.set_service(shape.owner);
  order.set_run_time_ms(static_cast<uint64_t>(shape.run_time.count()));
  order.set_slots(shape.slots);
  order.set_connections(shape.connections);
}

bool task_book::may_forget(const task_id& id) const {
  const auto it = tasks_.find(id);
  return it == tasks_.end() || !it->second.done;
}

void task_book::start_draining(worker_entry& worker) {
  for (task_entry* task : worker.tasks) {
    task_run& run = *task->run;
    if (!run.counted || run.phase != run_phase::running) continue;
    run.phase = run_phase::draining;
    run.drain_end = clock_.now() + settings_.drain_time;
  }
}

void task_book::on_no_reply(const worker_id& worker) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return;
  it->second.in_flight = false;
}

/// True when the refusal only tells of a later request of this same reign, or
/// of an earlier reign.
bool task_book::overtaken(const proto::sync_reply& reply) const {
  if (reply.epoch() != epoch_.value()) return reply.epoch() < epoch_.value();
  return reply.holder() == holder_;
}

std::optional<epoch_number> task_book::on_reply(
    const proto::sync_reply& reply) {
  const auto found = workers_.find(worker_id(reply.worker()));
  if (found == workers_.end()) return std::nullopt;
  worker_entry& worker = found->second;
  if (reply.refused()) {
    if (reply.sequence() == worker.sequence) worker.in_flight = false;
    if (overtaken(reply)) return std::nullopt;
    return epoch_number(reply.epoch());
  }
  if (reply.epoch() != epoch_.value()) return std::nullopt;
  if (reply.sequence() <= worker.answered_sequence) return std::nullopt;
  if (reply.sequence() > worker.sequence) return std::nullopt;
  worker.in_flight = false;
  worker.answered_sequence = reply.sequence();
  worker.last_answer = clock_.now();
  worker.echo_ms = reply.clock_ms();
  worker.incarnation = reply.incarnation();
  if (reply.whole()) {
    // What an earlier holder started must be renewed soon: its leases run out.
    if (!std::exchange(worker.synced, true)) prompt(worker);
    worker.have_report = reply.report_digest();
    note_reports(worker, reply);
    ++counters_.whole_reports;
    update_row(worker);
  }
  if (reply.leaving() && !worker.info.leaving) {
    worker.info.leaving = true;
    start_draining(worker);
    update_row(worker);
  }
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
                                  [](const task_entry* task) {
                                    return task->run->first_sequence == 0;
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
        [&, &task = id, attempt = stray.attempt](const auto& it) {
          return it.task() == task.str() && it.attempt() == attempt.value();
        });
    if (!still) worker.committed -= stray.size;
    return !still;
  });
}

void task_book::note_stray(worker_entry& worker,
                           const proto::task_report& report) {
  const stray_run stray{attempt_number(report.attempt()),
                        to_amount(report.size())};
  if (!worker.strays.emplace(task_id(report.task()), stray).second) return;
  ++counters_.strays;
  worker.committed += stray.size;
}

void task_book::note_report(worker_entry& worker,
                            const proto::task_report& report) {
  const auto found = tasks_.find(task_id(report.task()));
  const bool known = found != tasks_.end() && found->second.run != nullptr;
  if (!known) return adopt(worker, report);
  task_entry& task = found->second;
  task_run& run = *task.run;
  const bool this_run =
      run.worker == &worker && run.attempt.value() == report.attempt();
  if (!this_run) return note_stray(worker, report);
  if (detail::is_over(report)) return note_end(task, report);
  if (report.phase() == proto::task_running &&
      run.phase == run_phase::starting) {
    run.phase = run_phase::running;
  }
  run.address = report.address();
}

/// Takes over a run that an earlier holder started, or stops it when nothing
/// wants it.
void task_book::adopt(worker_entry& worker, const proto::task_report& report) {
  task_entry& task = entry(task_id(report.task()));
  auto run = std::make_unique<task_run>();
  run->worker = &worker;
  run->attempt = attempt_number(report.attempt());
  run->size = to_amount(report.size());
  run->address = report.address();
  run->first_sequence = worker.sequence;
  run->lease_end = clock_.now() + settings_.lease_with_drift();
  const bool go_on = task.wanted && !task.done;
  run->phase = go_on ? run_phase::running : run_phase::stopping;
  stop_waiting(task);
  attach(task, std::move(run));
  if (detail::is_over(report)) return note_end(task, report);
  if (!go_on) prompt(worker);
}

void task_book::note_end(task_entry& task, const proto::task_report& report) {
  worker_entry& worker = *task.run->worker;
  const bool done = report.phase() == proto::task_done;
  if (done && task.wanted && !task.done) {
    task.done = true;
    done_.insert(&task);
    ++counters_.completed;
  }
  if (report.phase() == proto::task_failed) {
    ++counters_.failed;
    task.not_before = clock_.now() + backoff(task.failures);
    ++task.failures;
  }
  worker.ended.emplace(*task.id, task.run->attempt);
  end_run(task);
}

/// Ends the runs that were announced to the worker and that it no longer has.
void task_book::end_missing(worker_entry& worker, uint64_t sequence,
                            const std::set<task_id>& reported) {
  const std::vector<task_entry*> tasks = worker.tasks;
  for (task_entry* task : tasks) {
    if (reported.contains(*task->id)) continue;
    const task_run& run = *task->run;
    const bool never_announced =
        run.first_sequence == 0 && run.phase == run_phase::stopping;
    // A later order to start it may still be on its way.
    const uint64_t last = std::max(run.first_sequence, run.last_start);
    const bool announced = run.first_sequence != 0 && last <= sequence;
    if (!announced && !never_announced) continue;
    if (run.phase == run_phase::starting) {
      task->not_before = clock_.now() + backoff(task->failures);
      ++task->failures;
      ++counters_.failed;
    } else if (run.phase != run_phase::stopping) {
      ++counters_.lost;
    }
    end_run(*task);
  }
}

}  // namespace kestrelreel
