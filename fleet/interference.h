// What one image of fill tasks costs one image of serving tasks that shares a
// worker with it, learned from the workers' lagging readings.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kestrelreel {

/// Processors that the fill tasks of one image used beside a serving task, as
/// a share of a worker of 32 processors times 32.
struct fill_use {
  std::string image;
  double processors = 0;
};

/// The headroom of a serving task is its target divided by its tail: 1 at the
/// target, more below it. It falls in proportion to what fill tasks use
/// (docs/design/interference.md), by an amount for each pair of images. The
/// task's own load moves it too, but slowly: so the amounts are estimated from
/// the changes between two readings, for each serving image together, by a
/// Kalman filter whose state drifts, so that a new amount shows within seconds.
class interference_model {
 public:
  /// By how much a serving task's headroom changed from one reading to the
  /// next, and what the fill tasks' uses changed by.
  void observe(const std::string& serving, double change,
               const std::vector<fill_use>& use_changes);
  /// The headroom that a serving task would have had without fill tasks.
  void note_own(const std::string& serving, double headroom);
  /// The least headroom of so many serving tasks of that image, without fill
  /// tasks, as it is on average.
  double usual_least(const std::string& serving, uint32_t tasks) const;
  /// The highest cost of any fill image known; the guess before any is.
  double sensitivity(const std::string& serving) const;
  /// The headroom that one processor's use of the fill image costs; a cautious
  /// guess until readings say otherwise. Never below 0.
  double cost(const std::string& serving, const std::string& fill) const;

 private:
  struct estimate {
    std::map<std::string, size_t> places;
    std::vector<double> mean;
    std::vector<std::vector<double>> covariance;
    // Average and variance of the headroom without fill tasks.
    double own = 3;
    double own_variance = 1;
  };
  static void add_place(estimate& it, const std::string& fill);
  static void update(estimate& it, const std::vector<double>& x, double y);

  std::map<std::string, estimate> estimates_;
};

}  // namespace kestrelreel
