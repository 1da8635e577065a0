#include "fleet/interference.h"

#include <algorithm>
#include <cmath>

namespace kestrelreel {
namespace detail {

/// Images beyond these share the guess; bounds memory and time.
constexpr size_t most_images = 32;
/// Before any reading: a middling pair of the users' recorded days (they span
/// 0 to 0.29), and how unsure that is.
constexpr double guessed_cost = 0.1;
constexpr double guessed_variance = 0.02;
/// Changes of half a second have a deviation of about 0.5 without fill tasks;
/// one far beyond that is no such change, and counts for that much only.
constexpr double reading_variance = 0.3;
constexpr double most_error = 1.5;
/// What an estimate may move by between two readings.
constexpr double drift_variance = 2e-6;

/// A task's load goes round in some ten seconds; the average takes in more.
constexpr double own_weight = 0.002;
/// Deviations by which the least of so many values lies below their average,
/// for the normal distribution (Tippett, 1925); from 8 on the last.
constexpr double least_of[] = {0, 0, 0.56, 0.85, 1.03, 1.16, 1.27, 1.35, 1.42};

}  // namespace detail

void interference_model::note_own(const std::string& serving, double headroom) {
  estimate& it = estimates_[serving];
  const double error = headroom - it.own;
  it.own += detail::own_weight * error;
  it.own_variance += detail::own_weight * (error * error - it.own_variance);
}

double interference_model::usual_least(const std::string& serving,
                                       uint32_t tasks) const {
  static const estimate fresh;
  const auto found = estimates_.find(serving);
  const estimate& it = found == estimates_.end() ? fresh : found->second;
  const size_t n = std::min<size_t>(tasks, std::size(detail::least_of) - 1);
  return it.own - detail::least_of[n] * std::sqrt(it.own_variance);
}

double interference_model::sensitivity(const std::string& serving) const {
  const auto found = estimates_.find(serving);
  if (found == estimates_.end() || found->second.mean.empty()) {
    return detail::guessed_cost;
  }
  const auto& mean = found->second.mean;
  return *std::max_element(mean.begin(), mean.end());
}

void interference_model::add_place(estimate& it, const std::string& fill) {
  const size_t n = it.mean.size();
  it.places[fill] = n;
  it.mean.push_back(detail::guessed_cost);
  for (auto& row : it.covariance) row.push_back(0);
  it.covariance.emplace_back(n + 1, 0.0);
  it.covariance[n][n] = detail::guessed_variance;
}

void interference_model::observe(const std::string& serving, double change,
                                 const std::vector<fill_use>& use_changes) {
  estimate& it = estimates_[serving];
  for (const fill_use& use : use_changes) {
    const bool room = it.places.size() < detail::most_images;
    if (room && !it.places.contains(use.image)) add_place(it, use.image);
  }
  std::vector<double> x(it.mean.size(), 0.0);
  for (const fill_use& use : use_changes) {
    const auto place = it.places.find(use.image);
    if (place != it.places.end()) x[place->second] -= use.processors;
  }
  update(it, x, change);
}

void interference_model::update(estimate& it, const std::vector<double>& x,
                                double y) {
  const size_t n = it.mean.size();
  std::vector<double> gain(n, 0.0);
  double error = y;
  double spread = detail::reading_variance;
  for (size_t i = 0; i < n; ++i) {
    it.covariance[i][i] += detail::drift_variance;
    for (size_t j = 0; j < n; ++j) gain[i] += it.covariance[i][j] * x[j];
  }
  for (size_t i = 0; i < n; ++i) {
    spread += x[i] * gain[i];
    error -= x[i] * it.mean[i];
  }
  error = std::clamp(error, -detail::most_error, detail::most_error);
  for (size_t i = 0; i < n; ++i) {
    it.mean[i] += gain[i] / spread * error;
    for (size_t j = 0; j < n; ++j) {
      it.covariance[i][j] -= gain[i] * gain[j] / spread;
    }
  }
}

double interference_model::cost(const std::string& serving,
                                const std::string& fill) const {
  const auto found = estimates_.find(serving);
  if (found == estimates_.end()) return detail::guessed_cost;
  const auto place = found->second.places.find(fill);
  if (place == found->second.places.end()) return detail::guessed_cost;
  return std::max(0.0, found->second.mean[place->second]);
}

}  // namespace kestrelreel
