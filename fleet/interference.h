// What one image of fill tasks costs one image of serving tasks that shares a
// worker with it, learned from the workers' lagging readings.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kestrelreel {

/// A service without users has this much headroom (target divided by tail); the
/// users' site files name 6 (`target_x`).
constexpr double idle_headroom = 6;
/// The headroom to be kept. At 1 a serving task is at its target; the rest
/// covers what the forecast misses.
constexpr double kept_headroom = 1.05;
constexpr double most_load = 1 - kept_headroom / idle_headroom;
/// A pair that costs less is harmless: a whole worker's room of such fill tasks
/// adds less than a third.
constexpr double harmless_cost = 0.02;
/// The own load that serving tasks are planned for when a fill task is placed:
/// the upper part of the users' swings, 0.24 to 0.72. Trials with 0.55, 0.64
/// and 0.74 earned less.
constexpr double planned_load = 0.68;
/// What fill tasks may add to such a load, as a share of it.
constexpr double fill_room = most_load / planned_load - 1;

/// A serving task's load is the part of its room that is taken: its tail is
/// `base / (1 - load)`. What fill tasks use beside it raises that load in
/// proportion to the load itself (docs/design/interference.md), by an amount
/// for each pair of images, the cost. The tasks of a step share their own load,
/// so each one's reading against the step's tells what is added beside it: from
/// that the costs are estimated, for each serving image together, by a Kalman
/// filter whose state drifts, so that a new amount shows within seconds.
class interference_model {
 public:
  /// By which share of its own load a serving task's load was raised, and the
  /// processors that each fill image used beside it.
  void observe(const std::string& serving, double rise,
               const std::map<std::string, double>& use);
  /// The highest cost of any fill image known; the guess before any is.
  double sensitivity(const std::string& serving) const;
  /// The share of its own load that one processor's use of the fill image
  /// adds to a serving task's. Processors are
  /// counted as of a worker with 32. A cautious guess until readings say
  /// otherwise. Never below 0.
  double cost(const std::string& serving, const std::string& fill) const;

 private:
  struct estimate {
    std::map<std::string, size_t> places;
    std::vector<double> mean;
    std::vector<std::vector<double>> covariance;
  };
  static void add_place(estimate& it, const std::string& fill);
  static void update(estimate& it, const std::vector<double>& x, double y);

  std::map<std::string, estimate> estimates_;
};

}  // namespace kestrelreel
