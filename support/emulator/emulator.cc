#include "support/emulator/emulator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <numbers>
#include <utility>
#include <vector>

#include "base/text.h"

namespace kestrelreel::emulator {
namespace detail {

constexpr milliseconds step_time{20};
constexpr milliseconds tick_time{100};
constexpr milliseconds beat_time{200};
/// A lasting task serves after so long.
constexpr milliseconds serving_start{500};
/// Jobs come while serving tasks are settled.
constexpr milliseconds lead{3'000};
/// What comes late has so long to end.
constexpr milliseconds tail{15'000};
constexpr double ms_per_s = 1'000;
/// Amounts per processor of a worker with 32, as the users' recorded days show.
constexpr double harmless = 0.01;
constexpr double harmful = 0.12;
constexpr double reference_cores = 32;
constexpr double late_worth = 0.15;
constexpr double late_factor = 3;
constexpr double target_x = 6;
constexpr double most_load = 0.98;

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

struct run {
  fleet::task_ref task;
  uint32_t number = 0;
  fleet::step_spec spec;
  double work_ms = 0;
  double done_ms = 0;
  double pace = 1;
  double use_milli = 0;
  double tail_ms = 0;
  time_point since{};
};

struct worker {
  fleet::worker_beat beat;
  std::vector<run> runs;
  std::deque<fleet::run_end> ended;
  uint64_t ends = 0;
  time_point next_beat{};
};

struct asked_job {
  std::string queue;
  time_point came{};
  milliseconds objective{};
  double worth = 0;
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
    const time_point begin = clock_.at + detail::lead;
    const time_point end =
        begin +
        milliseconds(static_cast<int64_t>(pattern_.seconds * detail::ms_per_s));
    time_point next_tick = clock_.at;
    while (clock_.at < end + detail::tail) {
      clock_.at += detail::step_time;
      if (clock_.at >= begin && clock_.at < end) arrive(begin);
      const bool counts = clock_.at >= begin && clock_.at < end;
      for (detail::worker& it : workers_) work(it, counts);
      if (counts) look_at_serving();
      for (detail::worker& it : workers_) {
        if (clock_.at >= it.next_beat) call(it);
      }
      const auto before = std::chrono::steady_clock::now();
      if (clock_.at >= next_tick) {
        controller_.tick();
        next_tick += detail::tick_time;
      }
      commit();
      spent_ += std::chrono::steady_clock::now() - before;
      look_at_jobs();
    }
    const auto steps = (end + detail::tail - begin) / detail::tick_time;
    out_.decide_us = std::chrono::duration<double, std::micro>(spent_).count() /
                     static_cast<double>(steps);
    return out_;
  }

 private:
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
    const double dt =
        static_cast<double>(detail::step_time.count()) / detail::ms_per_s;
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
    const double mean =
        it.work_ms * it.steps * it.width * static_cast<double>(it.cpu_milli);
    detail::asked_job& job = asked_[last_job_];
    job.queue = it.queue;
    job.came = clock_.at;
    job.objective = milliseconds(static_cast<int64_t>(
        it.stretch * chain + static_cast<double>(it.objective_ms)));
    job.worth = std::min(4.0, 0.3 + 0.7 * work / mean);
    ++out_.kinds[it.queue].asked;
    out_.kinds[it.queue].owed += job.worth;
  }

  /// What its users take of a serving task's processors now.
  double own_load(const detail::run& it) const {
    const double at = static_cast<double>(clock_.at.count()) / detail::ms_per_s;
    const double phase = phases_.at(it.task.job());
    return pattern_.mean *
           (1 + pattern_.swing *
                    std::sin(2 * std::numbers::pi * at / pattern_.period_s +
                             phase));
  }

  double cost(const detail::run& serving, const detail::run& fill) const {
    const auto number = [](const std::string& image) {
      return std::stoul(image.substr(1));
    };
    return costs_[number(serving.spec.image())][number(fill.spec.image())];
  }

  void share_processors(detail::worker& it) const {
    auto left = static_cast<double>(pattern_.worker_cpu_milli);
    double wanted = 0;
    for (detail::run& run : it.runs) {
      const auto cpu = static_cast<double>(run.spec.cpu_milli());
      if (run.spec.fills()) {
        wanted += cpu * run.pace;
        continue;
      }
      run.use_milli = run.spec.long_running() ? cpu * own_load(run) : cpu;
      left -= run.use_milli;
    }
    const double share = wanted > 0 ? std::clamp(left / wanted, 0.0, 1.0) : 1;
    for (detail::run& run : it.runs) {
      if (!run.spec.fills()) continue;
      run.use_milli =
          static_cast<double>(run.spec.cpu_milli()) * run.pace * share;
    }
  }

  void disturb(detail::worker& it, bool counts) {
    const double scale = detail::reference_cores /
                         static_cast<double>(pattern_.worker_cpu_milli);
    const double dt =
        static_cast<double>(detail::step_time.count()) / detail::ms_per_s;
    for (detail::run& run : it.runs) {
      if (!run.spec.long_running()) continue;
      double added = 0;
      for (const detail::run& other : it.runs) {
        if (!other.spec.fills()) continue;
        added += cost(run, other) * other.use_milli * scale;
      }
      const double load =
          std::min(detail::most_load, own_load(run) * (1 + added));
      run.tail_ms = pattern_.target_ms / detail::target_x / (1 - load);
      const bool serves = clock_.at - run.since >= detail::serving_start;
      if (!counts || !serves) continue;
      const bool over = run.tail_ms > pattern_.target_ms;
      out_.at_work_s += dt;
      if (over) out_.over_s += dt;
      auto& [at_work, missed] = looks_[run.task.job()];
      ++at_work;
      if (over) ++missed;
    }
  }

  void work(detail::worker& it, bool counts) {
    const auto step = static_cast<double>(detail::step_time.count());
    share_processors(it);
    disturb(it, counts);
    for (size_t i = 0; i < it.runs.size();) {
      detail::run& run = it.runs[i];
      const bool lasts = run.spec.long_running();
      if (!lasts) {
        run.done_ms +=
            step * run.use_milli / static_cast<double>(run.spec.cpu_milli());
      }
      if (lasts || run.done_ms < run.work_ms) {
        ++i;
        continue;
      }
      end(it, i, fleet::run_done, "");
    }
  }

  void end(detail::worker& it, size_t at, fleet::run_outcome outcome,
           const std::string& saved) {
    fleet::run_end& end = it.ended.emplace_back();
    end.set_number(++it.ends);
    *end.mutable_task() = it.runs[at].task;
    end.set_run(it.runs[at].number);
    end.set_outcome(outcome);
    end.set_saved(saved);
    it.runs.erase(it.runs.begin() + static_cast<std::ptrdiff_t>(at));
    it.next_beat = std::min(it.next_beat, clock_.at + milliseconds(50));
  }

  void call(detail::worker& it) {
    it.next_beat = clock_.at + detail::beat_time;
    it.beat.set_sequence(it.beat.sequence() + 1);
    it.beat.set_clock_ms(static_cast<uint64_t>(clock_.at.count()));
    it.beat.clear_running();
    it.beat.clear_ended();
    for (const detail::run& run : it.runs) {
      fleet::running_row& row = *it.beat.add_running();
      *row.mutable_task() = run.task;
      row.set_run(run.number);
      row.set_saved(run.spec.long_running() ? "" : str_cat(run.done_ms));
      row.set_percent(percent_of(run));
      row.set_reading(run.spec.long_running() ? std::round(run.tail_ms)
                                              : run.use_milli);
    }
    for (const fleet::run_end& end : it.ended) *it.beat.add_ended() = end;
    fleet::fleet_request request;
    *request.mutable_beat() = it.beat;
    const auto before = std::chrono::steady_clock::now();
    controller_.request(request, [this, &it](const auto& response) {
      obey(it, response.orders());
    });
    commit();
    spent_ += std::chrono::steady_clock::now() - before;
  }

  uint32_t percent_of(const detail::run& run) const {
    constexpr double all = 100;
    if (run.spec.long_running()) {
      return clock_.at - run.since >= detail::serving_start ? 100 : 50;
    }
    return static_cast<uint32_t>(
        std::min(all - 1, all * run.done_ms / run.work_ms));
  }

  void obey(detail::worker& it, const fleet::worker_orders& orders) {
    if (orders.hold_ms() == 0) return;
    while (!it.ended.empty() &&
           it.ended.front().number() <= orders.last_end()) {
      it.ended.pop_front();
    }
    for (const fleet::stop_order& stop : orders.stops()) {
      const size_t at = find(it, stop.task(), stop.run());
      if (at >= it.runs.size()) continue;
      end(it, at, fleet::run_stopped, str_cat(it.runs[at].done_ms));
    }
    for (const fleet::pace_order& pace : orders.paces()) {
      const size_t at = find(it, pace.task(), pace.run());
      if (at < it.runs.size()) it.runs[at].pace = pace.percent() / 100.0;
    }
    for (const fleet::start_order& start : orders.starts()) begin(it, start);
  }

  static size_t find(const detail::worker& it, const fleet::task_ref& task,
                     uint32_t number) {
    const auto found =
        std::find_if(it.runs.begin(), it.runs.end(), [&](const auto& run) {
          return to_key(run.task) == to_key(task) && run.number == number;
        });
    return static_cast<size_t>(found - it.runs.begin());
  }

  void begin(detail::worker& it, const fleet::start_order& start) {
    if (find(it, start.task(), start.run()) < it.runs.size()) return;
    detail::run run;
    run.task = start.task();
    run.number = start.run();
    run.spec = *controller_.book().find_step(to_key(start.task()));
    run.since = clock_.at;
    const auto work = work_ms_.find({start.task().job(), start.task().step()});
    if (work != work_ms_.end()) run.work_ms = work->second;
    if (!start.saved().empty()) run.done_ms = std::stod(start.saved());
    it.runs.push_back(std::move(run));
    ++out_.starts;
  }

  void look_at_serving() {
    constexpr double by_others = 4;
    for (const auto& [job, phase] : phases_) {
      const auto [at_work, missed] = looks_[job];
      const double n = pattern_.serving_width;
      served_ += std::max(0.0, (at_work - by_others * missed) / n);
      ++looked_;
    }
    looks_.clear();
    out_.served = looked_ == 0 ? 0 : served_ / static_cast<double>(looked_);
  }

  void look_at_jobs() {
    std::erase_if(asked_, [&](const auto& p) {
      const job_entry* job = controller_.book().find(job_number(p.first));
      if (job == nullptr || job->phase != fleet::job_succeeded) return false;
      const detail::asked_job& it = p.second;
      const auto took = static_cast<double>((clock_.at - it.came).count());
      const auto objective = static_cast<double>(it.objective.count());
      kind_outcome& kind = out_.kinds[it.queue];
      if (took <= objective) {
        ++kind.in_time;
        kind.earned += it.worth;
      } else if (took <= detail::late_factor * objective) {
        ++kind.late;
        kind.earned += detail::late_worth * it.worth;
      }
      return true;
    });
  }

  const load_pattern& pattern_;
  seeded_random random_;
  detail::virtual_clock clock_;
  detail::instant_log log_;
  metrics_registry metrics_;
  fleet_controller controller_;
  std::vector<detail::worker> workers_;
  // By serving and fill image.
  std::vector<std::vector<double>> costs_;
  std::map<uint64_t, double> phases_;
  std::map<std::pair<uint64_t, uint32_t>, double> work_ms_;
  std::map<uint64_t, detail::asked_job> asked_;
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
