#include "scheduling/run-times.h"

#include <algorithm>
#include <cmath>

namespace kestrelreel {
namespace detail {

/// Below this number of runs a kind's ratio is too uncertain to use.
constexpr uint64_t min_observations = 20;
/// Weight of the newest run: the moments follow the last two hundred runs, some
/// ten jobs of a wide step, so that one job does not set them.
constexpr double min_weight = 0.005;
/// Bounds the claims of callers: a declared time of 0 or of days.
constexpr double min_time_ms = 1;
constexpr double max_time_ms = 24 * 3'600'000.0;
/// Quantile 0.9 of the normal distribution.
constexpr double high_quantile = 1.2816;

double bounded(milliseconds it) {
  return std::clamp(static_cast<double>(it.count()), min_time_ms, max_time_ms);
}

milliseconds to_time(double ms) {
  return milliseconds(std::llround(std::min(ms, max_time_ms)));
}

}  // namespace detail

void learned_run_times::observe(const task_kind& kind, milliseconds declared,
                                milliseconds actual) {
  ratio& it = kinds_[kind];
  ++it.observations;
  const double weight =
      std::max(1 / static_cast<double>(it.observations), detail::min_weight);
  const double value =
      std::log(detail::bounded(actual) / detail::bounded(declared));
  const double error = value - it.mean;
  it.mean += weight * error;
  it.variance = (1 - weight) * (it.variance + weight * error * error);
}

time_estimate learned_run_times::run_time(const task_kind& kind,
                                          milliseconds declared) const {
  const auto found = kinds_.find(kind);
  if (found == kinds_.end() ||
      found->second.observations < detail::min_observations) {
    return declared_run_times().run_time(kind, declared);
  }
  const ratio& it = found->second;
  const double whole = detail::bounded(declared);
  // The mean of a log-normal distribution.
  const double expected = whole * std::exp(it.mean + it.variance / 2);
  const double high = whole * std::exp(it.mean + detail::high_quantile *
                                                     std::sqrt(it.variance));
  return {detail::to_time(expected), detail::to_time(std::max(expected, high))};
}

uint64_t learned_run_times::observations(const task_kind& kind) const {
  const auto found = kinds_.find(kind);
  return found == kinds_.end() ? 0 : found->second.observations;
}

}  // namespace kestrelreel
