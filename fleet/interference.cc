#include "fleet/interference.h"

#include <algorithm>

namespace kestrelreel {
namespace detail {

/// Images beyond these share the guess; bounds memory and time.
constexpr size_t most_images = 32;
/// Before any reading: between the harmless pairs of the users' recorded days
/// (up to 0.02) and the harmful ones (0.07 to 0.19), and how unsure that is.
constexpr double guessed_cost = 0.035;
constexpr double guessed_variance = 0.0024;
/// Rises have a deviation of about 0.1 without fill tasks, and the readings of
/// one second are hardly independent of each other; one far beyond that counts
/// for so much only.
constexpr double reading_variance = 0.2;
constexpr double most_error = 0.5;
/// What an estimate may move by between two readings.
constexpr double drift_variance = 3e-7;

}  // namespace detail

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

void interference_model::observe(const std::string& serving, double rise,
                                 const std::map<std::string, double>& use) {
  if (use.empty()) return;
  estimate& it = estimates_[serving];
  for (const auto& [image, processors] : use) {
    const bool room = it.places.size() < detail::most_images;
    if (room && !it.places.contains(image)) add_place(it, image);
  }
  std::vector<double> x(it.mean.size(), 0.0);
  for (const auto& [image, processors] : use) {
    const auto place = it.places.find(image);
    if (place != it.places.end()) x[place->second] += processors;
  }
  update(it, x, rise);
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
