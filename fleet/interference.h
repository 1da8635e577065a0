// What one image of fill tasks costs one image of serving tasks that shares a
// worker with it, learned from the workers' lagging readings.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"

namespace kestrelreel {

/// An image as the model numbers it.
using image_id = strong_count<struct image_tag>;

/// Processors that the fill tasks of one image use beside a serving task.
struct image_use {
  image_id image;
  double processors = 0;
};

/// A service without users has this much headroom: its target divided by its
/// tail, as readings of idle services show.
constexpr double idle_headroom = 6;
/// The headroom to be kept. At 1 a serving task is at its target; the rest
/// covers what the forecast misses.
constexpr double min_headroom = 1.05;
constexpr double max_load = 1 - min_headroom / idle_headroom;
/// A pair that costs less is harmless: a whole worker's room of such fill tasks
/// adds less than a third.
constexpr double negligible_cost = 0.02;
/// The own load that serving tasks are planned for when a fill task is placed:
/// the upper part of the users' swings, 0.24 to 0.72. Trials with 0.55, 0.64
/// and 0.74 earned less.
constexpr double planned_load = 0.68;
/// What fill tasks may add to such a load, as a share of it.
constexpr double max_added_load = max_load / planned_load - 1;

/// A serving task's load is the part of its room that is taken: its tail is
/// `base / (1 - load)`. What fill tasks use beside it raises that load in
/// proportion to the load itself (docs/design/interference.md), by an amount
/// for each pair of images, the cost. The tasks of a step share their own load,
/// so each one's reading against the step's tells what is added beside it: from
/// that the costs are estimated, for each serving image together, by a Kalman
/// filter whose state drifts, so that a new amount shows within seconds.
class interference_model {
 public:
  /// The number of an image; images beyond the first 4,096 share one.
  image_id id_of(const std::string& image);
  /// By which share of its own load a serving task's load was raised, and the
  /// processors that each fill image used beside it.
  void observe(image_id serving, double rise,
               const std::vector<image_use>& use);
  /// The highest cost of any fill image known; the guess before any is.
  double sensitivity(image_id serving) const;
  /// The share of its own load that one processor's use of the fill image
  /// adds to a serving task's. Processors are
  /// counted as of a worker with 32. A cautious guess until readings say
  /// otherwise. Never below 0.
  double cost(image_id serving, image_id fill) const;

 private:
  struct estimate {
    // By the fill image's number; `no_place` without an estimate.
    std::vector<size_t> places;
    std::vector<double> mean;
    std::vector<std::vector<double>> covariance;
    double sensitivity = 0;
  };
  const estimate* find(image_id serving) const;
  static size_t place_of(const estimate& it, image_id fill);
  static void add_place(estimate& it, image_id fill);
  static void update(estimate& it, const std::vector<double>& x, double y);

  std::unordered_map<std::string, image_id> ids_;
  // By the serving image's number.
  std::vector<estimate> estimates_;
};

}  // namespace kestrelreel
