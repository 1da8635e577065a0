// One play of a pattern of load: the leader's real decisions, emulated workers
// and what strikes them.
#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "support/emulator/emulated-worker.h"
#include "support/emulator/emulator.h"
#include "support/emulator/job-ledger.h"

namespace kestrelreel::emulator {

namespace detail {

constexpr double ms_per_s = 1'000;
constexpr milliseconds step_time{20};
constexpr double step_s = 0.02;

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

/// Not thread-safe.
class emulation {
 public:
  emulation(const load_pattern& pattern, const scheduler_settings& settings,
            uint64_t seed);
  load_outcome play();

 private:
  /// True from `at_s` after `begin` for so many seconds.
  bool is_within(time_point begin, double at_s, double for_s) const;
  void crash_or_return(emulated_worker& it);
  void resize_rooms(time_point begin);
  void count_failed();
  void check_room(const emulated_worker& it);
  controller_settings make_settings(const scheduler_settings& scheduling);
  double chance();
  double between(double low, double high);
  void ask(const fleet::fleet_request& request);
  void commit();
  void configure();
  static void add_queue(fleet::fleet_config& config, const std::string& name,
                        uint32_t priority, double stretch,
                        uint64_t objective_ms);
  void add_workers();
  void submit(const std::string& queue,
              const std::vector<fleet::step_spec>& steps);
  void submit_serving(unsigned i);
  void arrive(time_point begin);
  void submit_kind(const job_kind& it);

  /// What its users take of a serving task's processors now.
  double own_load(const emulated_run& it) const;
  double cost(const emulated_run& serving, const emulated_run& fill) const;
  void share_processors(emulated_worker& it) const;
  void disturb(emulated_worker& it, bool counts);
  void work(emulated_worker& it, bool counts);
  void call(emulated_worker& it);
  void obey(emulated_worker& it, const fleet::worker_orders& orders);
  void begin(emulated_worker& it, const fleet::start_order& start);
  void look_at_serving();

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

}  // namespace kestrelreel::emulator
