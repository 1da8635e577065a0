// Estimates how much backfill tasks of one image disturb serving tasks of
// another image on the same worker, from delayed readings of the workers.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"

namespace kestrelreel {

/// Index of an image in the model.
using image_id = strong_count<struct image_tag>;

/// Processors used on a worker by the backfill tasks of one image.
struct image_use {
  image_id image;
  double processors = 0;
};

/// Headroom is the target divided by the tail latency. This is the headroom of
/// a service without requests, as readings of idle services show.
constexpr double idle_headroom = 6;
/// Headroom to maintain. A serving task with headroom 1 is at its target; the
/// margin covers forecast errors.
constexpr double min_headroom = 1.05;
constexpr double max_load = 1 - min_headroom / idle_headroom;
/// A lower cost is negligible: such backfill tasks on all of a worker's free
/// processors add less than a third to the load.
constexpr double negligible_cost = 0.02;
/// Own load assumed for serving tasks when a backfill task is placed: the upper
/// part of the users' range, 0.24 to 0.72, as loads rise and fall while the
/// task runs.
constexpr double planned_load = 0.68;
/// Load that backfill tasks may add to `planned_load`, as a share of it.
constexpr double max_added_load = max_load / planned_load - 1;

/// A serving task's load is the used part of its capacity; its tail latency is
/// `base / (1 - load)`. Backfill tasks on the worker raise the load in
/// proportion to itself (docs/design/interference.md); the factor per processor
/// in use is the cost of a pair of images. All tasks of a step have the same
/// own load, so a task's reading relative to the step's shows the added load. A
/// Kalman filter per serving image estimates the costs of all backfill images;
/// its state drifts, so that a changed cost shows within seconds.
class interference_model {
 public:
  /// Index of the image; images beyond the first 4,096 share one.
  image_id id_of(const std::string& image);
  /// Adds an observation: the increase of a serving task's load as a share of
  /// its own load, and the processors in use by each backfill image.
  void observe(image_id serving, double rise,
               const std::vector<image_use>& use);
  /// Highest estimated cost of a backfill image; the prior without estimates.
  double sensitivity(image_id serving) const;
  /// Load that one processor in use by the backfill image adds to a serving
  /// task, as a share of its own load; at least 0. Processors are scaled to a
  /// worker with 32. A pair without readings gets a cautious prior.
  double cost(image_id serving, image_id backfill) const;

 private:
  struct estimate {
    // Index into `mean`, by backfill image; `no_index` without an estimate.
    std::vector<size_t> indices;
    std::vector<double> mean;
    std::vector<std::vector<double>> covariance;
    double sensitivity = 0;
  };
  const estimate* find(image_id serving) const;
  static size_t index_of(const estimate& it, image_id backfill);
  static void add_image(estimate& it, image_id backfill);
  static void update(estimate& it, const std::vector<double>& x, double y);

  std::unordered_map<std::string, image_id> ids_;
  // Estimates by serving image.
  std::vector<estimate> estimates_;
};

}  // namespace kestrelreel
