#include "scheduling/backfill-throttle.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace kestrelreel {
namespace detail {

/// Decisions that a job's slack must outlast to count nothing: the next one may
/// find the load unchanged.
constexpr double decisions_covered = 2;
/// Bounds the preference for tasks that lose nothing.
constexpr double min_weight = 1e-3;

double to_ms(milliseconds it) { return static_cast<double>(it.count()); }

}  // namespace detail

double loss_weight(milliseconds slack, milliseconds review_interval) {
  if (slack <= milliseconds(0)) return 1;
  const double covered =
      detail::decisions_covered * detail::to_ms(review_interval);
  return std::max(0.0, 1 - detail::to_ms(slack) / covered);
}

std::vector<double> throttle(double excess,
                             std::span<const throttle_candidate> tasks,
                             const throttle_limits& limits) {
  std::vector<double> weights;
  std::vector<double> shares;
  for (const throttle_candidate& it : tasks) {
    weights.push_back(loss_weight(it.slack, limits.review_interval));
    shares.push_back(it.share);
  }
  std::vector<size_t> order(tasks.size());
  std::iota(order.begin(), order.end(), size_t{0});
  const auto gain = [&](size_t i) {
    return tasks[i].cost / std::max(weights[i], detail::min_weight);
  };
  std::stable_sort(order.begin(), order.end(),
                   [&](size_t a, size_t b) { return gain(a) > gain(b); });
  double lost = 0;
  for (const size_t i : order) {
    const throttle_candidate& it = tasks[i];
    const double part = it.cost * it.full_use * it.share;
    if (excess <= 0 || part <= 0) continue;
    const double remaining = std::max(0.0, 1 - excess / part);
    excess -= part * (1 - remaining);
    lost += weights[i] * it.full_use * it.share * (1 - remaining);
    shares[i] = it.share * remaining;
  }
  if (lost <= limits.max_loss) return shares;
  for (size_t i = 0; i < tasks.size(); ++i) shares[i] = tasks[i].share;
  return shares;
}

}  // namespace kestrelreel
