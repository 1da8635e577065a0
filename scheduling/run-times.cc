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
/// Bounds the times that were measured.
constexpr double min_time_ms = 1;
constexpr auto max_time_ms = static_cast<double>(max_run_time.count());
/// Declared times are off by up to ten. A ratio further off is taken for a
/// false claim, and counts as this factor.
constexpr double max_ratio = 30;
/// Quantile 0.9 of the normal distribution.
constexpr double high_quantile = 1.2816;

double bounded(milliseconds it) {
  return std::clamp(static_cast<double>(it.count()), min_time_ms, max_time_ms);
}

milliseconds to_time(double ms) {
  return milliseconds(std::llround(std::min(ms, max_time_ms)));
}

}  // namespace detail

void learned_run_times::moments::observe(double value) {
  ++observations;
  const double weight =
      std::max(1 / static_cast<double>(observations), detail::min_weight);
  const double error = value - mean;
  const double square = error * error;
  const double upper = error > 0 ? 2 * square : 0;
  mean += weight * error;
  variance = (1 - weight) * (variance + weight * square);
  upper_variance = (1 - weight) * (upper_variance + weight * upper);
}

time_estimate learned_run_times::moments::estimate(double unit_ms) const {
  // The mean of a log-normal distribution.
  const double expected = unit_ms * std::exp(mean + variance / 2);
  const double high = unit_ms * std::exp(mean + detail::high_quantile *
                                                    std::sqrt(upper_variance));
  return {detail::to_time(expected), detail::to_time(std::max(expected, high))};
}

void learned_run_times::observe(const task_kind& kind, milliseconds declared,
                                milliseconds actual) {
  known_kind& it = kinds_[kind];
  it.time.observe(std::log(detail::bounded(actual)));
  if (declared <= milliseconds(0)) return;
  const double most = std::log(detail::max_ratio);
  const double value =
      std::log(detail::bounded(actual) / detail::bounded(declared));
  it.ratio.observe(std::clamp(value, -most, most));
}

time_estimate learned_run_times::run_time(const task_kind& kind,
                                          milliseconds declared) const {
  const time_estimate as_declared =
      declared_run_times().run_time(kind, declared);
  const auto found = kinds_.find(kind);
  if (found == kinds_.end()) return as_declared;
  const bool has_claim = declared > milliseconds(0);
  const moments& it = has_claim ? found->second.ratio : found->second.time;
  if (it.observations < detail::min_observations) return as_declared;
  return it.estimate(has_claim ? detail::bounded(declared) : 1);
}

uint64_t learned_run_times::observations(const task_kind& kind) const {
  const auto found = kinds_.find(kind);
  return found == kinds_.end() ? 0 : found->second.time.observations;
}

}  // namespace kestrelreel
