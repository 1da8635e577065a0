// What comes, and how it reaches the leader.
#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

#include "base/text.h"
#include "support/emulator/emulation.h"

namespace kestrelreel::emulator {
namespace detail {

constexpr milliseconds tick_time{100};
/// Jobs come while serving tasks are settled.
constexpr milliseconds lead{3'000};
/// What comes late has so long to end.
constexpr milliseconds tail{15'000};
/// Amounts per processor of a worker with 32, as the users' recorded days show.
constexpr double harmless = 0.01, harmful = 0.12;

}  // namespace detail

emulation::emulation(const load_pattern& pattern,
                     const scheduler_settings& settings, uint64_t seed)
    : pattern_(pattern),
      random_(seed),
      controller_(make_settings(settings), clock_, log_, metrics_) {
  controller_.set_leading(true);
  configure();
  add_workers();
  for (unsigned i = 0; i < pattern_.serving_jobs; ++i) submit_serving(i);
}

load_outcome emulation::play() {
  const time_point begin = begin_ = clock_.at + detail::lead;
  const time_point end =
      begin +
      milliseconds(static_cast<int64_t>(pattern_.seconds * detail::ms_per_s));
  time_point next_tick = clock_.at;
  while (clock_.at < end + detail::tail) {
    clock_.at += detail::step_time;
    const bool suspended =
        is_within(begin, pattern_.suspend_at_s, pattern_.suspend_for_s);
    if (clock_.at >= begin && clock_.at < end && !suspended) arrive(begin);
    const bool counts = clock_.at >= begin && clock_.at < end;
    resize_rooms(begin);
    for (emulated_worker& it : workers_) crash_or_return(it);
    for (emulated_worker& it : workers_) work(it, counts);
    if (counts) look_at_serving();
    for (emulated_worker& it : workers_) {
      if (clock_.at >= it.next_beat && it.back_at == time_point{}) call(it);
    }
    if (suspended) continue;
    const auto before = std::chrono::steady_clock::now();
    if (clock_.at >= next_tick) {
      controller_.tick();
      next_tick += detail::tick_time;
    }
    commit();
    spent_ += std::chrono::steady_clock::now() - before;
    ledger_.look(controller_.book(), clock_.at, out_);
  }
  const auto steps = (end + detail::tail - begin) / detail::tick_time;
  out_.decide_us = std::chrono::duration<double, std::micro>(spent_).count() /
                   static_cast<double>(steps);
  count_failed();
  return out_;
}

controller_settings emulation::make_settings(
    const scheduler_settings& scheduling) {
  controller_settings settings;
  settings.scheduling = scheduling;
  settings.decisions = scheduling.decisions;
  settings.wall_clock_ms = [this] {
    return static_cast<uint64_t>(clock_.at.count());
  };
  return settings;
}

double emulation::chance() {
  constexpr uint64_t steps = 1'000'000;
  return static_cast<double>(random_.below(steps)) / steps;
}

double emulation::between(double low, double high) {
  return low + (high - low) * chance();
}

void emulation::ask(const fleet::fleet_request& request) {
  controller_.request(request, [](const auto&) {});
  commit();
}

void emulation::commit() {
  controller_.decide();
  while (!log_.proposed.empty()) {
    const fleet::fleet_command command = std::move(log_.proposed.front());
    log_.proposed.pop_front();
    controller_.applied(command);
    if (log_.proposed.empty()) controller_.decide();
  }
}

void emulation::configure() {
  fleet::fleet_request request;
  fleet::fleet_config& config = *request.mutable_put_config();
  config.set_version(1);
  config.add_pools()->set_name("pool");
  add_queue(config, "serving", 0, 2, 3'000);
  for (const job_kind& it : pattern_.kinds) {
    add_queue(config, it.queue, it.priority, it.stretch, it.objective_ms);
  }
  config.set_source("emulated");
  ask(request);
}

void emulation::add_queue(fleet::fleet_config& config, const std::string& name,
                          uint32_t priority, double stretch,
                          uint64_t objective_ms) {
  fleet::queue_route& queue = *config.add_queues();
  queue.set_name(name);
  queue.set_host(name);
  queue.set_path_prefix("/" + name + "/");
  queue.set_timeout_ms(3'000);
  queue.set_objective_ms(objective_ms);
  queue.set_priority(priority);
  queue.set_pool("pool");
  queue.set_max_attempts(3);
  queue.set_stretch(stretch);
}

void emulation::add_workers() {
  costs_.resize(pattern_.images);
  for (auto& row : costs_) {
    for (unsigned i = 0; i < pattern_.images; ++i) {
      const bool bad = chance() < pattern_.harmful;
      row.push_back(bad ? detail::harmful : detail::harmless);
    }
  }
  workers_.resize(pattern_.workers);
  for (size_t i = 0; i < workers_.size(); ++i) {
    fleet::worker_beat& beat = workers_[i].beat;
    beat.set_worker(str_cat("w", i));
    beat.set_pool("pool");
    beat.set_address(str_cat("w", i, ":1"));
    beat.set_machine(str_cat("m", i));
    beat.set_cpu_milli(pattern_.worker_cpu_milli);
    beat.set_memory_mb(pattern_.worker_memory_mb);
    workers_[i].next_beat =
        clock_.at + milliseconds(static_cast<int64_t>(
                        i * 200 / std::max<size_t>(1, workers_.size())));
  }
}

void emulation::submit(const std::string& queue,
                       const std::vector<fleet::step_spec>& steps) {
  fleet::fleet_request request;
  fleet::job_call& call = *request.mutable_job();
  const job_number number(++last_job_);
  call.set_host(queue);
  call.set_path(str_cat("/", queue, "/", to_text(number)));
  call.set_job(last_job_);
  for (const auto& it : steps) *call.mutable_submit()->add_steps() = it;
  ask(request);
}

void emulation::submit_serving(unsigned i) {
  fleet::step_spec step;
  step.set_count(pattern_.serving_width);
  step.set_cpu_milli(pattern_.serving_cpu_milli);
  step.set_memory_mb(pattern_.serving_memory_mb);
  step.set_long_running(true);
  step.set_target_ms(pattern_.target_ms);
  step.set_image(str_cat("s", i % pattern_.images));
  submit("serving", {step});
  phases_[last_job_] = between(0, 2 * std::numbers::pi);
}

void emulation::arrive(time_point begin) {
  const double at =
      static_cast<double>((clock_.at - begin).count()) / detail::ms_per_s;
  const bool burst = at >= pattern_.burst_at_s &&
                     at < pattern_.burst_at_s + pattern_.burst_for_s;
  const double dt = detail::step_s;
  for (const job_kind& it : pattern_.kinds) {
    if (chance() < it.per_s * (burst ? it.burst : 1) * dt) submit_kind(it);
  }
}

void emulation::submit_kind(const job_kind& it) {
  std::vector<fleet::step_spec> steps;
  double chain = 0;
  double work = 0;
  const auto image = random_.below(pattern_.images);
  for (uint32_t i = 0; i < it.steps; ++i) {
    fleet::step_spec& step = steps.emplace_back();
    step.set_count(
        static_cast<uint32_t>(std::max(1.0, it.width * between(0.5, 1.5))));
    step.set_cpu_milli(it.cpu_milli);
    step.set_memory_mb(it.memory_mb);
    step.set_fills(it.fills);
    step.set_saves_progress(true);
    step.set_image(str_cat(it.fills ? "f" : "b", image));
    const double ms = it.work_ms * between(0.6, 1.4);
    step.set_estimate_ms(static_cast<uint64_t>(
        ms * between(1 - it.estimate_off, 1 + it.estimate_off)));
    if (i > 0) step.add_depends_on(i - 1);
    work_ms_[{last_job_ + 1, i}] = ms;
    chain += ms;
    work += ms * step.count() * static_cast<double>(it.cpu_milli);
  }
  submit(it.queue, steps);
  // No draw where none crashes: equal seeds give equal loads.
  if (pattern_.crashing > 0 && chance() < pattern_.crashing) {
    crashing_.insert(last_job_);
    ++out_.crashing_jobs;
    return;
  }
  const double mean =
      it.work_ms * it.steps * it.width * static_cast<double>(it.cpu_milli);
  asked_job job;
  job.queue = it.queue;
  job.came = clock_.at;
  job.objective = milliseconds(static_cast<int64_t>(
      it.stretch * chain + static_cast<double>(it.objective_ms)));
  job.worth = std::min(4.0, 0.3 + 0.7 * work / mean);
  ledger_.asked(job_number(last_job_), job, out_);
}

}  // namespace kestrelreel::emulator
