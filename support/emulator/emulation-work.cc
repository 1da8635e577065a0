// What the workers do and tell.
#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

#include "base/text.h"
#include "support/emulator/emulation.h"

namespace kestrelreel::emulator {
namespace detail {

constexpr milliseconds beat_time{200};
constexpr double reference_cores = 32;
constexpr double target_x = 6, most_load = 0.98;
/// From the start of a crashing task to the end of its worker.
constexpr milliseconds crash_delay{10};

}  // namespace detail

double emulation::own_load(const emulated_run& it) const {
  const double at = static_cast<double>(clock_.at.count()) / detail::ms_per_s;
  const double phase = phases_.at(it.task.job());
  return pattern_.mean *
         (1 +
          pattern_.swing *
              std::sin(2 * std::numbers::pi * at / pattern_.period_s + phase));
}

double emulation::cost(const emulated_run& serving,
                       const emulated_run& fill) const {
  const auto number = [](const std::string& image) {
    return std::stoul(image.substr(1));
  };
  return costs_[number(serving.spec.image())][number(fill.spec.image())];
}

void emulation::share_processors(emulated_worker& it) const {
  auto left = static_cast<double>(pattern_.worker_cpu_milli);
  double wanted = 0;
  for (emulated_run& run : it.runs) {
    const auto cpu = static_cast<double>(run.spec.cpu_milli());
    if (run.spec.fills()) {
      wanted += cpu * run.pace;
      continue;
    }
    run.use_milli = run.spec.long_running() ? cpu * own_load(run) : cpu;
    left -= run.use_milli;
  }
  const double share = wanted > 0 ? std::clamp(left / wanted, 0.0, 1.0) : 1;
  for (emulated_run& run : it.runs) {
    if (!run.spec.fills()) continue;
    run.use_milli =
        static_cast<double>(run.spec.cpu_milli()) * run.pace * share;
  }
}

void emulation::disturb(emulated_worker& it, bool counts) {
  const double scale =
      detail::reference_cores / static_cast<double>(pattern_.worker_cpu_milli);
  const double dt = detail::step_s;
  for (emulated_run& run : it.runs) {
    if (!run.spec.long_running()) continue;
    double added = 0;
    for (const emulated_run& other : it.runs) {
      if (!other.spec.fills()) continue;
      added += cost(run, other) * other.use_milli * scale;
    }
    const double load =
        std::min(detail::most_load, own_load(run) * (1 + added));
    run.tail_ms = pattern_.target_ms / detail::target_x / (1 - load);
    const bool serves = clock_.at - run.since >= serving_start;
    if (!counts || !serves) continue;
    const bool over = run.tail_ms > pattern_.target_ms;
    out_.at_work_s += dt;
    if (over) out_.over_s += dt;
    auto& [at_work, missed] = looks_[run.task.job()];
    ++at_work;
    if (over) ++missed;
  }
}

void emulation::work(emulated_worker& it, bool counts) {
  const auto step = static_cast<double>(detail::step_time.count());
  share_processors(it);
  disturb(it, counts);
  for (size_t i = 0; i < it.runs.size();) {
    emulated_run& run = it.runs[i];
    const bool lasts = run.spec.long_running();
    if (!lasts) {
      run.done_ms +=
          step * run.use_milli / static_cast<double>(run.spec.cpu_milli());
    }
    if (lasts || run.done_ms < run.work_ms) {
      ++i;
      continue;
    }
    it.end(i, fleet::run_done, "", clock_.at);
  }
}

void emulation::call(emulated_worker& it) {
  it.next_beat = clock_.at + detail::beat_time;
  it.fill_beat(clock_.at);
  if (is_within(begin_, pattern_.suspend_at_s, pattern_.suspend_for_s)) {
    return;
  }
  fleet::fleet_request request;
  *request.mutable_beat() = it.beat;
  const auto before = std::chrono::steady_clock::now();
  controller_.request(request, [this, &it](const auto& response) {
    obey(it, response.orders());
  });
  commit();
  spent_ += std::chrono::steady_clock::now() - before;
}

void emulation::obey(emulated_worker& it, const fleet::worker_orders& orders) {
  if (orders.hold_ms() == 0) return;
  it.obey(orders, clock_.at);
  for (const fleet::start_order& start : orders.starts()) begin(it, start);
}

void emulation::begin(emulated_worker& it, const fleet::start_order& start) {
  if (it.find(start.task(), start.run()) < it.runs.size()) return;
  emulated_run run;
  run.task = start.task();
  run.number = start.run();
  run.spec = *controller_.book().find_step(to_key(start.task()));
  run.since = clock_.at;
  const auto work = work_ms_.find({start.task().job(), start.task().step()});
  if (work != work_ms_.end()) run.work_ms = work->second;
  if (!start.saved().empty()) run.done_ms = std::stod(start.saved());
  it.runs.push_back(std::move(run));
  ++out_.starts;
  check_room(it);
  const bool first = start.task().step() == 0 && start.task().index() == 0;
  if (first && crashing_.contains(start.task().job())) {
    it.crashes_at = clock_.at + detail::crash_delay;
  }
}

void emulation::look_at_serving() {
  constexpr double by_others = 4;
  const double n = pattern_.serving_width;
  for (const auto& [job, phase] : phases_) {
    const auto [at_work, missed] = looks_[job];
    served_ += std::max(0.0, (at_work - by_others * missed) / n);
    ++looked_;
  }
  looks_.clear();
  out_.served = looked_ == 0 ? 0 : served_ / static_cast<double>(looked_);
}

}  // namespace kestrelreel::emulator
