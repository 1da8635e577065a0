#include "placement/task-book.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/text.h"

namespace kestrelreel {

const char* to_string(run_phase phase) {
  switch (phase) {
    case run_phase::starting:
      return "starting";
    case run_phase::running:
      return "running";
    case run_phase::stopping:
      return "stopping";
    case run_phase::draining:
      return "draining";
  }
  return "running";
}

const char* to_string(wait_reason reason) {
  switch (reason) {
    case wait_reason::none:
      return "";
    case wait_reason::waiting:
      return "waiting for its turn";
    case wait_reason::failed_lately:
      return "waits after a failure";
    case wait_reason::no_room:
      return "no worker has room now";
    case wait_reason::too_large:
      return "larger than any worker of this data centre";
    case wait_reason::evacuated:
      return "this data centre is evacuated";
  }
  return "";
}

resource_amount worker_entry::free() const {
  resource_amount room = info.capacity;
  room -= committed;
  return room;
}

task_book::task_book(book_settings settings, const placement_policy& policy,
                     clock_source& clock)
    : settings_(settings), policy_(policy), clock_(clock) {}

void task_book::begin(epoch_number epoch, const std::string& holder) {
  epoch_ = epoch;
  holder_ = holder;
  barrier_end_ = clock_.now() + settings_.lease_with_drift();
  attempts_ = 0;
  std::vector<worker_info> listed;
  for (const auto& [id, it] : workers_) {
    if (it.listed) listed.push_back(it.info);
  }
  waiting_.clear();
  done_.clear();
  tasks_.clear();
  workers_.clear();
  rack_replicas_.clear();
  index_ = worker_index();
  rows_.clear();
  set_workers(listed);
}

task_entry& task_book::entry(const task_id& id) {
  const auto [it, fresh] = tasks_.try_emplace(id);
  if (fresh) it->second.id = &it->first;
  return it->second;
}

void task_book::want(const task_id& id, const task_spec& spec) {
  task_entry& task = entry(id);
  if (task.wanted == spec) return;
  stop_waiting(task);
  task.wanted = spec;
  if (!task.run && !task.done) wait(task);
}

void task_book::unwant(task_entry& task) {
  if (!task.wanted) return;
  stop_waiting(task);
  done_.erase(&task);
  task.wanted.reset();
  task.done = false;
  if (task.run) {
    task.run->phase = run_phase::stopping;
    prompt(*task.run->worker);
  }
  drop_if_unused(task);
}

void task_book::set_range(task_iterator it, task_iterator end,
                          const task_specs& tasks) {
  while (it != end) {
    task_entry& task = it->second;
    const bool wanted = tasks.contains(it->first);
    ++it;
    if (!wanted) unwant(task);
  }
  for (const auto& [id, spec] : tasks) want(id, spec);
}

void task_book::set_tasks(const task_specs& tasks) {
  set_range(tasks_.begin(), tasks_.end(), tasks);
}

void task_book::set_tasks(const std::string& prefix, const task_specs& tasks) {
  const auto begin = tasks_.lower_bound(task_id(prefix));
  auto end = begin;
  while (end != tasks_.end() && end->first.str().starts_with(prefix)) ++end;
  set_range(begin, end, tasks);
}

void task_book::set_workers(const std::vector<worker_info>& workers) {
  for (auto& [id, it] : workers_) it.listed = false;
  for (const worker_info& info : workers) {
    const auto [it, fresh] = workers_.try_emplace(info.id);
    worker_entry& worker = it->second;
    if (fresh) {
      worker.row = index_.add();
      rows_.resize(std::max(rows_.size(), worker.row + 1));
      rows_[worker.row] = &worker;
    }
    worker.info = info;
    worker.listed = true;
    if (info.leaving) start_draining(worker);
  }
  for (auto it = workers_.begin(); it != workers_.end();) {
    worker_entry& worker = (it++)->second;
    update_row(worker);
    const bool unused = worker.tasks.empty() && worker.strays.empty();
    if (worker.listed || !unused) continue;
    index_.remove(worker.row);
    workers_.erase(worker_id(worker.info.id));
  }
}

/// What was ordered and is not known to run is stopped: it must not begin long
/// after the order.
void task_book::set_evacuated(bool now) {
  if (std::exchange(evacuated_, now) || !now) return;
  for (auto& [id, task] : tasks_) {
    if (!task.run || task.run->phase != run_phase::starting) continue;
    task.run->phase = run_phase::stopping;
    prompt(*task.run->worker);
  }
}

void task_book::update_row(worker_entry& worker) {
  const bool usable = worker.listed && !worker.info.leaving && worker.synced;
  index_.set(worker.row, worker.free(), usable);
}

bool task_book::start_order::operator()(const task_entry* a,
                                        const task_entry* b) const {
  const task_shape& x = *a->wanted->shape;
  const task_shape& y = *b->wanted->shape;
  if (x.kind != y.kind) return x.kind < y.kind;
  if (x.priority != y.priority) return x.priority > y.priority;
  return *a->id < *b->id;
}

void task_book::wait(task_entry& task) {
  waiting_.insert(&task);
  if (task.reason == wait_reason::none) task.reason = wait_reason::waiting;
}

void task_book::stop_waiting(task_entry& task) {
  if (task.wanted) waiting_.erase(&task);
}

void task_book::drop_if_unused(task_entry& task) {
  if (!task.wanted && !task.run) tasks_.erase(task_id(*task.id));
}

void task_book::attach(task_entry& task, std::unique_ptr<task_run> run) {
  worker_entry& worker = *run->worker;
  worker.committed += run->size;
  worker.tasks.push_back(&task);
  if (task.wanted && task.wanted->shape->is_service()) {
    run->counted = task.wanted->shape;
    ++worker.replicas[run->counted->owner];
    ++rack_replicas_[worker.info.rack][run->counted->owner];
  }
  run->digest = run_digest(*task.id, run->attempt);
  task.reason = wait_reason::none;
  task.run = std::move(run);
  update_row(worker);
}

void task_book::end_run(task_entry& task) {
  worker_entry& worker = *task.run->worker;
  worker.committed -= task.run->size;
  std::erase(worker.tasks, &task);
  if (task.run->counted) {
    --worker.replicas[task.run->counted->owner];
    --rack_replicas_[worker.info.rack][task.run->counted->owner];
  }
  task.run.reset();
  update_row(worker);
  if (task.wanted && !task.done) wait(task);
  drop_if_unused(task);
}

void task_book::prompt(worker_entry& worker) const {
  const time_point soon = clock_.now() + settings_.prompt_interval;
  worker.next_sync = std::min(worker.next_sync, soon);
}

void task_book::expire() {
  const time_point now = clock_.now();
  for (auto& [id, worker] : workers_) {
    const milliseconds silent = now - worker.last_answer;
    if (worker.synced && silent < settings_.task_lease / 2) continue;
    const std::vector<task_entry*> tasks = worker.tasks;
    for (task_entry* task : tasks) {
      if (task->run->lease_end > now) continue;
      ++counters_.lost;
      end_run(*task);
    }
  }
}

milliseconds task_book::backoff(uint32_t failures) const {
  constexpr uint32_t most_doublings = 10;
  const uint32_t doublings = std::min(failures, most_doublings);
  const milliseconds wait = settings_.retry_wait * (1 << doublings);
  return std::min(wait, settings_.retry_wait_most);
}

bool task_book::could_ever_fit(const task_shape& shape) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& it) {
    return shape.size.fits(it.second.info.capacity);
  });
}

worker_entry* task_book::choose(const task_shape& shape) {
  worker_entry* best = nullptr;
  double lowest = std::numeric_limits<double>::infinity();
  index_.search(shape.size, [&](size_t row) {
    worker_entry& it = *rows_[row];
    worker_room room{it.info.capacity, it.free(), 0, 0};
    if (shape.is_service()) {
      room.replicas_here = it.replicas[shape.owner];
      room.replicas_in_rack = rack_replicas_[it.info.rack][shape.owner];
    }
    const double score = policy_.score(room, shape);
    if (score >= lowest) return;
    lowest = score;
    best = &it;
  });
  return best;
}

void task_book::assign(task_entry& task, worker_entry& worker) {
  constexpr unsigned attempt_bits = 32;
  auto run = std::make_unique<task_run>();
  run->worker = &worker;
  run->attempt = attempt_number((epoch_.value() << attempt_bits) | ++attempts_);
  run->size = task.wanted->shape->size;
  // Before the first exchange that names it, it can't run.
  run->lease_end = clock_.now() + settings_.lease_with_drift();
  prompt(worker);
  ++counters_.started;
  attach(task, std::move(run));
}

/// Starts the task, or tells why it can't start now.
wait_reason task_book::try_place(task_entry& task,
                                 std::vector<resource_amount>& too_large) {
  if (clock_.now() < task.not_before) return wait_reason::failed_lately;
  const task_shape& shape = *task.wanted->shape;
  const bool hopeless =
      std::any_of(too_large.begin(), too_large.end(),
                  [&](const auto& tried) { return tried.fits(shape.size); });
  worker_entry* worker = hopeless ? nullptr : choose(shape);
  if (worker != nullptr) {
    assign(task, *worker);
    return wait_reason::none;
  }
  if (hopeless && task.reason == wait_reason::too_large) return task.reason;
  if (!hopeless) too_large.push_back(shape.size);
  return could_ever_fit(shape) ? wait_reason::no_room : wait_reason::too_large;
}

void task_book::place() {
  if (clock_.now() < barrier_end_) return;
  if (evacuated_) {
    for (task_entry* task : waiting_) task->reason = wait_reason::evacuated;
    return;
  }
  size_t n = 0;
  std::vector<resource_amount> too_large;
  for (auto it = waiting_.begin();
       it != waiting_.end() && n < settings_.starts_at_once;) {
    task_entry& task = **it;
    task.reason = try_place(task, too_large);
    if (task.reason != wait_reason::none) {
      ++it;
      continue;
    }
    it = waiting_.erase(it);
    ++n;
  }
}

std::map<std::string, std::vector<uint32_t>> task_book::completions() const {
  std::map<std::string, std::vector<uint32_t>> result;
  for (const task_entry* task : done_) {
    result[task->wanted->shape->owner].push_back(task->wanted->index);
  }
  return result;
}

bool task_book::settled() const {
  if (clock_.now() >= barrier_end_) return true;
  return !workers_.empty() &&
         std::all_of(workers_.begin(), workers_.end(),
                     [](const auto& it) { return it.second.synced; });
}

resource_amount task_book::free_room() const {
  resource_amount room;
  if (evacuated_) return room;
  for (const auto& [id, it] : workers_) {
    if (it.listed && !it.info.leaving && it.synced) room += it.free();
  }
  return room;
}

}  // namespace kestrelreel
