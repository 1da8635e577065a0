// Shared by the tests of workers that fail all they start for a time: such
// workers beside sound ones, under one leader.
#pragma once

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/fleet-test-world.h"

namespace kestrelreel::failing {

constexpr milliseconds step_time{50};
constexpr milliseconds call_interval{200};
/// From the start of a run until it fails.
constexpr milliseconds fails_after{100};
/// Of a short task.
constexpr milliseconds work_time{600};

/// A worker that fails all it starts for a time.
class failing_worker {
 public:
  failing_worker(test_world& world, const std::string& name,
                 const std::string& label, uint64_t cpu)
      : world_(world), name_(name) {
    fleet::worker_beat& it = world_.workers[name_];
    it.set_worker(name_);
    it.set_pool("pool");
    it.set_address(name_ + ":1");
    it.set_cpu_milli(cpu);
    it.set_memory_mb(100'000);
    it.add_labels(label);
  }

  bool fails = false;
  int failed_runs = 0;

  void step() {
    const time_point now = world_.clock.now();
    bool ended = false;
    const auto runs = began_at_;
    for (const auto& [run, began] : runs) {
      if (fails && now - began >= fails_after) {
        end(run, fleet::run_failed);
        ++failed_runs;
        ended = true;
      } else if (!lasts(run) && now - began >= work_time) {
        end(run, fleet::run_done);
        ended = true;
      }
    }
    if (ended || now >= next_call_) call();
  }
  bool runs(const task_key& task) const {
    return std::any_of(began_at_.begin(), began_at_.end(),
                       [&](const auto& it) { return it.first.task == task; });
  }

 private:
  bool lasts(const run_key& run) const {
    return world_.controller.book().find_step(run.task)->long_running();
  }
  void end(const run_key& run, fleet::run_outcome outcome) {
    world_.end(name_, to_ref(run.task), static_cast<uint32_t>(run.run.value()),
               outcome);
    began_at_.erase(run);
  }
  void call() {
    const fleet::worker_orders orders = world_.beat(name_);
    next_call_ = world_.clock.now() + call_interval;
    for (const auto& it : orders.starts())
      began_at_[{to_key(it.task()), run_number(it.run())}] = world_.clock.now();
  }

  test_world& world_;
  std::string name_;
  std::map<run_key, time_point> began_at_;
  time_point next_call_{};
};

class failing_world : public test_world {
 public:
  explicit failing_world(int failing, int sound) {
    configure(1, 4);
    for (int i = 0; i < failing; ++i)
      add("failing-" + std::to_string(i), "b").fails = true;
    for (int i = 0; i < sound; ++i) add("sound-" + std::to_string(i), "a");
    for (auto& it : all_) it->step();
  }

  void one_step() {
    clock.advance(step_time);
    if (clock.now().count() % 100 == 0) controller.tick();
    commit();
    for (auto& it : all_) it->step();
  }
  void make_sound() {
    for (auto& it : all_) it->fails = false;
  }
  bool runs(const task_key& task) const {
    return std::any_of(all_.begin(), all_.end(),
                       [&](const auto& it) { return it->runs(task); });
  }
  int failed_runs() const {
    int n = 0;
    for (const auto& it : all_) n += it->failed_runs;
    return n;
  }
  void change_leader() {
    controller.set_leading(false);
    ++log.leader_term;
    controller.set_leading(true);
  }

 private:
  failing_worker& add(const std::string& name, const char* label) {
    constexpr uint64_t cpu = 32'000;
    return *all_.emplace_back(
        std::make_unique<failing_worker>(*this, name, label, cpu));
  }

  std::vector<std::unique_ptr<failing_worker>> all_;
};

}  // namespace kestrelreel::failing
