#include "support/emulator/emulator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <numbers>
#include <set>
#include <utility>
#include <vector>

#include "base/text.h"
#include "support/emulator/emulated-worker.h"
#include "support/emulator/job-ledger.h"

namespace kestrelreel::emulator {
namespace detail {

constexpr milliseconds step_time{20};
constexpr double step_s = 0.02;
constexpr milliseconds tick_time{100}, beat_time{200};
/// Jobs come while serving tasks are settled.
constexpr milliseconds lead{3'000};
/// What comes late has so long to end.
constexpr milliseconds tail{15'000};
constexpr double ms_per_s = 1'000;
/// Amounts per processor of a worker with 32, as the users' recorded days show.
constexpr double harmless = 0.01, harmful = 0.12;
constexpr double reference_cores = 32;
constexpr double target_x = 6, most_load = 0.98;
/// From the start of a crashing task to the end of its worker.
constexpr milliseconds crash_delay{10};
/// A room that shrank counts after so long.
constexpr milliseconds room_counts_after{4'000};

class virtual_clock final : public clock_source {
 public:
  time_point now() const override { return at; }
  time_point at{100'000};
};

/// What is proposed lasts at the next step.
class instant_log final : public fleet_log {
 public:
  bool may_decide() override { return true; }
  term_number term() const override { return term_number(1); }
  absl::Status propose(const fleet::fleet_command& command) override {
    proposed.push_back(command);
    return absl::OkStatus();
  }
  std::deque<fleet::fleet_command> proposed;
};

}  // namespace detail

class emulation {
 public:
  emulation(const load_pattern& pattern, const scheduler_settings& settings,
            uint64_t seed)
      : pattern_(pattern),
        random_(seed),
        controller_(make_settings(settings), clock_, log_, metrics_) {
    controller_.leads(true);
    configure();
    add_workers();
    for (unsigned i = 0; i < pattern_.serving_jobs; ++i) submit_serving(i);
  }

  load_outcome play() {
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

 private:
  /// True from `at_s` after `begin` for so many seconds.
  bool is_within(time_point begin, double at_s, double for_s) const {
    const double at =
        static_cast<double>((clock_.at - begin).count()) / detail::ms_per_s;
    return at >= at_s && at < at_s + for_s;
  }

  void crash_or_return(emulated_worker& it) {
    const auto due = [&](time_point at) {
      return at != time_point{} && clock_.at >= at;
    };
    if (due(it.crashes_at)) {
      ++out_.crashes;
      it.runs.clear();
      it.crashes_at = {};
      it.back_at = clock_.at + milliseconds(static_cast<int64_t>(
                                   pattern_.back_s * detail::ms_per_s));
    } else if (due(it.back_at)) {
      it.back_at = {};
      it.begin_anew();
    }
  }

  void resize_rooms(time_point begin) {
    const bool shrunk =
        is_within(begin, pattern_.shrink_at_s, pattern_.shrink_for_s);
    if (shrunk == shrunk_) return;
    shrunk_ = shrunk;
    const auto n = static_cast<size_t>(pattern_.shrink_share *
                                       static_cast<double>(workers_.size()));
    for (size_t i = 0; i < n; ++i) {
      workers_[i].resized_at = clock_.at;
      workers_[i].beat.set_cpu_milli(pattern_.worker_cpu_milli /
                                     (shrunk ? 2 : 1));
    }
  }

  void count_failed() {
    for (const auto& [number, job] : controller_.book().jobs()) {
      if (job.phase != fleet::job_failed) continue;
      const bool crashes = crashing_.contains(number.value());
      ++(crashes ? out_.given_up : out_.wrongly_given_up);
    }
  }

  void check_room(const emulated_worker& it) {
    uint64_t taken = 0;
    for (const emulated_run& run : it.runs) {
      if (!run.spec.fills()) taken += run.spec.cpu_milli();
    }
    const bool counts = it.resized_at == time_point{} ||
                        clock_.at - it.resized_at > detail::room_counts_after;
    if (counts && taken > it.beat.cpu_milli()) ++out_.over_room;
  }

  controller_settings make_settings(const scheduler_settings& scheduling) {
    controller_settings settings;
    settings.scheduling = scheduling;
    settings.wall_clock_ms = [this] {
      return static_cast<uint64_t>(clock_.at.count());
    };
    return settings;
  }

  double chance() {
    constexpr uint64_t steps = 1'000'000;
    return static_cast<double>(random_.below(steps)) / steps;
  }
  double between(double low, double high) {
    return low + (high - low) * chance();
  }

  void ask(const fleet::fleet_request& request) {
    controller_.request(request, [](const auto&) {});
    commit();
  }

  void commit() {
    controller_.settle();
    while (!log_.proposed.empty()) {
      const fleet::fleet_command command = std::move(log_.proposed.front());
      log_.proposed.pop_front();
      controller_.applied(command);
      if (log_.proposed.empty()) controller_.settle();
    }
  }

  void configure() {
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

  static void add_queue(fleet::fleet_config& config, const std::string& name,
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

  void add_workers() {
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

  void submit(const std::string& queue,
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

  void submit_serving(unsigned i) {
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

  void arrive(time_point begin) {
    const double at =
        static_cast<double>((clock_.at - begin).count()) / detail::ms_per_s;
    const bool burst = at >= pattern_.burst_at_s &&
                       at < pattern_.burst_at_s + pattern_.burst_for_s;
    const double dt = detail::step_s;
    for (const job_kind& it : pattern_.kinds) {
      if (chance() < it.per_s * (burst ? it.burst : 1) * dt) submit_kind(it);
    }
  }

  void submit_kind(const job_kind& it) {
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

  /// What its users take of a serving task's processors now.
  double own_load(const emulated_run& it) const {
    const double at = static_cast<double>(clock_.at.count()) / detail::ms_per_s;
    const double phase = phases_.at(it.task.job());
    return pattern_.mean *
           (1 + pattern_.swing *
                    std::sin(2 * std::numbers::pi * at / pattern_.period_s +
                             phase));
  }

  double cost(const emulated_run& serving, const emulated_run& fill) const {
    const auto number = [](const std::string& image) {
      return std::stoul(image.substr(1));
    };
    return costs_[number(serving.spec.image())][number(fill.spec.image())];
  }

  void share_processors(emulated_worker& it) const {
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

  void disturb(emulated_worker& it, bool counts) {
    const double scale = detail::reference_cores /
                         static_cast<double>(pattern_.worker_cpu_milli);
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

  void work(emulated_worker& it, bool counts) {
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

  void call(emulated_worker& it) {
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

  void obey(emulated_worker& it, const fleet::worker_orders& orders) {
    if (orders.hold_ms() == 0) return;
    it.obey(orders, clock_.at);
    for (const fleet::start_order& start : orders.starts()) begin(it, start);
  }

  void begin(emulated_worker& it, const fleet::start_order& start) {
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

  void look_at_serving() {
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

  const load_pattern& pattern_;
  seeded_random random_;
  detail::virtual_clock clock_;
  detail::instant_log log_;
  metrics_registry metrics_;
  fleet_controller controller_;
  std::vector<emulated_worker> workers_;
  std::set<uint64_t> crashing_;
  time_point begin_{};
  bool shrunk_ = false;
  // By serving and fill image.
  std::vector<std::vector<double>> costs_;
  std::map<uint64_t, double> phases_;
  std::map<std::pair<uint64_t, uint32_t>, double> work_ms_;
  job_ledger ledger_;
  // Tasks at work and over their target now, by serving job.
  std::map<uint64_t, std::pair<unsigned, unsigned>> looks_;
  double served_ = 0;
  uint64_t looked_ = 0;
  uint64_t last_job_ = 0;
  std::chrono::steady_clock::duration spent_{};
  load_outcome out_;
};

load_outcome play(const load_pattern& pattern,
                  const scheduler_settings& settings, uint64_t seed) {
  return emulation(pattern, settings, seed).play();
}

}  // namespace kestrelreel::emulator
