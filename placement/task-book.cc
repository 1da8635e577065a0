#include "placement/task-book.h"

#include <algorithm>
#include <limits>
#include <utility>

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
  tasks_.clear();
  waiting_.clear();
  rack_replicas_.clear();
  std::vector<worker_info> listed;
  for (const auto& [id, it] : workers_) {
    if (it.listed) listed.push_back(it.info);
  }
  workers_.clear();
  set_workers(listed);
}

void task_book::set_tasks(const task_specs& tasks) {
  for (const auto& [id, spec] : tasks) {
    task_entry& task = tasks_[id];
    if (task.wanted == spec) continue;
    stop_waiting(id, task);
    task.wanted = spec;
    if (!task.run && !task.done) wait(id, task);
  }
  for (auto it = tasks_.begin(); it != tasks_.end();) {
    const task_id id = it->first;
    task_entry& task = (it++)->second;
    if (!task.wanted || tasks.contains(id)) continue;
    stop_waiting(id, task);
    task.wanted.reset();
    task.done = false;
    if (task.run) {
      task.run->phase = run_phase::stopping;
      prompt(workers_.at(task.run->worker));
    }
    drop_if_unused(id);
  }
}

void task_book::set_workers(const std::vector<worker_info>& workers) {
  for (auto& [id, it] : workers_) it.listed = false;
  for (const worker_info& info : workers) {
    worker_entry& it = workers_[info.id];
    it.info = info;
    it.listed = true;
    if (info.leaving) start_draining(it);
  }
  std::erase_if(workers_, [](const auto& pair) {
    const worker_entry& it = pair.second;
    return !it.listed && it.tasks.empty() && it.strays.empty();
  });
}

void task_book::start_draining(worker_entry& worker) {
  for (const task_id& id : worker.tasks) {
    task_entry& task = tasks_.at(id);
    if (!task.wanted || !task.wanted->is_service()) continue;
    if (task.run->phase != run_phase::running) continue;
    task.run->phase = run_phase::draining;
    task.run->drain_end = clock_.now() + settings_.drain_time;
  }
}

task_book::waiting_key task_book::key_of(const task_id& id,
                                         const task_spec& spec) const {
  return {spec.kind, -static_cast<int64_t>(spec.priority), id};
}

void task_book::wait(const task_id& id, task_entry& task) {
  waiting_.insert(key_of(id, *task.wanted));
  if (task.reason.empty()) task.reason = "waiting";
}

void task_book::stop_waiting(const task_id& id, const task_entry& task) {
  if (task.wanted) waiting_.erase(key_of(id, *task.wanted));
}

void task_book::drop_if_unused(const task_id& id) {
  const auto it = tasks_.find(id);
  if (it == tasks_.end()) return;
  const task_entry& task = it->second;
  if (!task.wanted && !task.run) tasks_.erase(it);
}

void task_book::attach(const task_id& id, task_entry& task, task_run run) {
  worker_entry& worker = workers_.at(run.worker);
  worker.committed += run.size;
  worker.tasks.insert(id);
  if (task.wanted && task.wanted->is_service()) {
    run.service = task.wanted->owner;
    ++worker.replicas[run.service];
    ++rack_replicas_[worker.info.rack][run.service];
  }
  task.reason.clear();
  task.run = std::move(run);
}

void task_book::end_run(const task_id& id, task_entry& task) {
  worker_entry& worker = workers_.at(task.run->worker);
  worker.committed -= task.run->size;
  worker.tasks.erase(id);
  if (!task.run->service.empty()) {
    --worker.replicas[task.run->service];
    --rack_replicas_[worker.info.rack][task.run->service];
  }
  task.run.reset();
  if (task.wanted && !task.done) wait(id, task);
  drop_if_unused(id);
}

void task_book::prompt(worker_entry& worker) const {
  const time_point soon = clock_.now() + settings_.prompt_interval;
  worker.next_sync = std::min(worker.next_sync, soon);
}

void task_book::expire() {
  const time_point now = clock_.now();
  std::vector<task_id> over;
  for (const auto& [id, worker] : workers_) {
    const time_point silent = now - worker.last_answer;
    if (worker.synced && silent < settings_.task_lease / 2) continue;
    for (const task_id& task : worker.tasks) {
      if (tasks_.at(task).run->lease_end <= now) over.push_back(task);
    }
  }
  for (const task_id& id : over) {
    ++counters_.lost;
    end_run(id, tasks_.at(id));
  }
}

milliseconds task_book::backoff(uint32_t failures) const {
  constexpr uint32_t most_doublings = 10;
  const uint32_t doublings = std::min(failures, most_doublings);
  const milliseconds wait = settings_.retry_wait * (1 << doublings);
  return std::min(wait, settings_.retry_wait_most);
}

bool task_book::could_ever_fit(const task_spec& spec) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& it) {
    return spec.size.fits(it.second.info.capacity);
  });
}

worker_entry* task_book::choose(const task_spec& spec) {
  worker_entry* best = nullptr;
  double lowest = std::numeric_limits<double>::infinity();
  for (auto& [id, it] : workers_) {
    if (!it.listed || it.info.leaving || !it.synced) continue;
    worker_room room{it.info.capacity, it.free(), 0, 0};
    if (!spec.size.fits(room.free)) continue;
    if (spec.is_service()) {
      room.replicas_here = it.replicas[spec.owner];
      room.replicas_in_rack = rack_replicas_[it.info.rack][spec.owner];
    }
    const double score = policy_.score(room, spec);
    if (score >= lowest) continue;
    lowest = score;
    best = &it;
  }
  return best;
}

void task_book::assign(const task_id& id, task_entry& task,
                       worker_entry& worker) {
  constexpr unsigned attempt_bits = 32;
  task_run run;
  run.worker = worker.info.id;
  run.attempt = attempt_number((epoch_.value() << attempt_bits) | ++attempts_);
  run.size = task.wanted->size;
  // Before the first exchange that names it, it can't run.
  run.lease_end = clock_.now() + settings_.lease_with_drift();
  prompt(worker);
  ++counters_.started;
  attach(id, task, std::move(run));
}

void task_book::place() {
  const time_point now = clock_.now();
  if (now < barrier_end_) return;
  size_t n = 0;
  std::vector<resource_amount> too_large;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (n >= settings_.starts_at_once) return;
    const task_id id = std::get<task_id>(*it);
    task_entry& task = tasks_.at(id);
    const resource_amount& size = task.wanted->size;
    const bool hopeless =
        std::any_of(too_large.begin(), too_large.end(),
                    [&](const auto& tried) { return tried.fits(size); });
    worker_entry* worker = nullptr;
    if (!hopeless && now >= task.not_before) worker = choose(*task.wanted);
    if (worker != nullptr) {
      it = waiting_.erase(it);
      assign(id, task, *worker);
      ++n;
      continue;
    }
    ++it;
    if (now < task.not_before) {
      task.reason = "waits after a failure";
      continue;
    }
    if (!hopeless) too_large.push_back(size);
    task.reason = could_ever_fit(*task.wanted)
                      ? "no worker has room now"
                      : "larger than any worker of this data centre";
  }
}

std::map<std::string, std::vector<uint32_t>> task_book::completions() const {
  std::map<std::string, std::vector<uint32_t>> result;
  for (const auto& [id, task] : tasks_) {
    if (!task.done || !task.wanted) continue;
    result[task.wanted->owner].push_back(task.wanted->index);
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
  for (const auto& [id, it] : workers_) {
    if (it.listed && !it.info.leaving && it.synced) room += it.free();
  }
  return room;
}

}  // namespace kestrelreel
