#include "fleet/pool-load.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "fleet/scheduler.h"

namespace kestrelreel {
namespace detail {

constexpr double milli = 1'000;
constexpr double ms_per_s = 1'000;
constexpr unsigned percent = 100;
/// How long the loads of the live jobs are used before they are computed anew:
/// a job advances by little in that time.
constexpr milliseconds job_load_lifetime{100};

/// Work that so many processors can do in the time, in core-seconds.
double work_in(milliseconds time, double cores) {
  return std::max(0.0, static_cast<double>(time.count()) / ms_per_s * cores);
}

}  // namespace detail

double lasting_cores(const fleet::fleet_job_spec& spec) {
  double cores = 0;
  for (const fleet::step_spec& it : spec.steps()) {
    if (!it.long_running() || it.fills()) continue;
    cores += it.count() * static_cast<double>(it.cpu_milli()) / detail::milli;
  }
  return cores;
}

std::optional<double> fleet_scheduler::cores_at_best(const std::string& pool,
                                                     bool backfill) {
  const pool_use& use = pool_use_of(pool);
  if (use.workers == 0) return std::nullopt;
  const uint64_t taken =
      backfill
          ? use.long_running * settings_.serving_use_percent / detail::percent
          : use.long_running;
  return static_cast<double>(use.cpu - std::min(use.cpu, taken)) /
         detail::milli;
}

job_load fleet_scheduler::load_of_job(job_number number, const job_entry& job) {
  const fleet::queue_route& queue = book_.queue_of(job);
  job_load out{number, queue.pool(), has_backfill(job.spec), queue.priority()};
  out.lasting_cores = lasting_cores(job.spec);
  // The repetitions of a job are due later.
  if (job.spec.times() > 0) return out;
  const job_tracking& tracking = tracking_of(number);
  const milliseconds objective = progress_.objective(number);
  const time_point end = clock_.now() + progress_.remaining(number).expected;
  out.deadline = tracking.accepted + objective;
  out.useful_until = tracking.accepted + objective * late_factor;
  out.in_time = !tracking.overload.passed_over && end <= out.deadline;
  if (end <= out.useful_until) out.work = progress_.remaining_work(number);
  return out;
}

void fleet_scheduler::update_job_loads() {
  const time_point now = clock_.now();
  if (now - job_loads_at_ < detail::job_load_lifetime) return;
  job_loads_at_ = now;
  job_loads_.clear();
  for (const auto& [order, number] : book_.live())
    job_loads_.push_back(load_of_job(number, *book_.find(number)));
  std::erase_if(admitted_, [this](const auto& p) {
    return book_.find(p.first) != nullptr;
  });
}

/// Loads of the pool's jobs that are live or admitted and not yet in the book.
std::vector<const job_load*> fleet_scheduler::current_job_loads(
    const std::string& pool) {
  update_job_loads();
  std::vector<const job_load*> out;
  const auto add = [&](const job_load& it) {
    if (it.pool != pool) return;
    const job_entry* job = book_.find(it.job);
    if (job == nullptr || job->live()) out.push_back(&it);
  };
  for (const job_load& it : job_loads_) add(it);
  for (const auto& [number, it] : admitted_) add(it);
  return out;
}

/// A job goes before others until it is late, or of no use: processors do no
/// more of its work in that time than they can.
double fleet_scheduler::work_ahead(const job_load& job, double cores) {
  const time_point now = clock_.now();
  double work = 0;
  for (const job_load* it : current_job_loads(job.pool)) {
    if (it->backfill != job.backfill || it->priority > job.priority) continue;
    const bool urgent = it->priority < job.priority;
    if (!urgent && (!it->in_time || it->deadline > job.deadline)) continue;
    const time_point until = urgent ? it->useful_until : it->deadline;
    work += std::min(it->work, detail::work_in(until - now, cores));
  }
  return work;
}

double fleet_scheduler::unclaimed_cores(const std::string& pool) {
  double cores = 0;
  for (const auto& [id, it] : workers_.views()) {
    const bool gone = !it.has_heartbeat || it.loss_proposed || it.superseded ||
                      it.is_leaving || it.beat.draining() || is_evacuated(it);
    if (gone || it.beat.pool() != pool) continue;
    cores += static_cast<double>(it.beat.cpu_milli()) / detail::milli;
  }
  for (const job_load* it : current_job_loads(pool)) cores -= it->lasting_cores;
  return std::max(0.0, cores);
}

void fleet_scheduler::add_admitted(const job_load& job) {
  admitted_.insert_or_assign(job.job, job);
}

}  // namespace kestrelreel
