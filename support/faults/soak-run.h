// One seeded run of the real programs under faults from outside.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "support/faults/fault-plan.h"
#include "support/faults/history.h"
#include "support/faults/link-proxy.h"
#include "support/faults/soak-boxes.h"
#include "support/faults/soak-caller.h"
#include "support/faults/soak-worker.h"

namespace kestrelreel::faults {

/// What a run is made of.
struct soak_settings {
  plan_settings plan;
  soak_place place;
  unsigned callers = 24;
  unsigned workers = 12;
  /// What a job's text has at least.
  size_t text_bytes = 0;
  /// What passes to and from each control box in a second; 0 is no limit.
  size_t link_bytes = 0;
};

/// What came of it; clean when `broken` is empty.
struct soak_result {
  std::vector<std::string> broken;
  std::vector<std::string> strikes;
  size_t jobs = 0;
  size_t runs = 0;
  std::map<unsigned, size_t> statuses;
  size_t cancels = 0;
  size_t states = 0;
  /// Entry boxes that were told to stop while callers called.
  size_t stops = 0;
  /// Workers that a task crashed.
  size_t crashes = 0;
  size_t writes = 0;
  size_t reads = 0;
  milliseconds longest_unheard{0};
};

/// Runs once. Not thread-safe.
class soak_run {
 public:
  explicit soak_run(soak_settings settings);
  soak_result run();

 private:
  boost::asio::awaitable<void> play();
  boost::asio::awaitable<void> strike_all(time_point from);
  boost::asio::awaitable<void> strike(fault_strike it);
  boost::asio::awaitable<void> strike_links(const fault_strike& it);
  boost::asio::awaitable<void> dark_after_answers_vanish(
      const fault_strike& it, const std::string& name);
  boost::asio::awaitable<void> freeze(const fault_strike& it,
                                      const std::string& name);
  boost::asio::awaitable<void> absence(fault_strike it);
  void excuse_leases(const fault_strike& it);
  void note_strike(const fault_strike& it, time_point until);
  boost::asio::awaitable<void> restart_after(const fault_strike& it,
                                             const std::string& name);
  boost::asio::awaitable<bool> founded();
  boost::asio::awaitable<void> calm_down();
  boost::asio::awaitable<void> nap(milliseconds length);
  void cut_off(unsigned box, bool it);
  void heal_all();
  void start(const std::string& name);
  bool take_addresses();

  soak_settings settings_;
  boost::asio::io_context io_;
  boot_clock clock_;
  history seen_;
  soak_boxes boxes_;
  std::vector<std::unique_ptr<link_proxy>> links_;
  std::vector<std::unique_ptr<soak_worker>> workers_;
  std::vector<std::unique_ptr<soak_caller>> callers_;
  std::vector<std::unique_ptr<soak_operator>> operators_;
  // Control boxes that no other strike brings back.
  std::set<unsigned> absent_;
  soak_result result_;
  time_point began_{};
};

}  // namespace kestrelreel::faults
