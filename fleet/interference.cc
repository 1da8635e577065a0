#include "fleet/interference.h"

#include <algorithm>
#include <cstdint>

namespace kestrelreel {
namespace detail {

/// Backfill images with estimates; others use the prior. Bounds memory, time.
constexpr size_t max_images = 32;
/// Mean and variance of the prior: between the harmless pairs of users'
/// recorded days (up to 0.02) and the harmful ones (0.07 to 0.19).
constexpr double prior_cost = 0.035;
constexpr double prior_variance = 0.0024;
/// Observations have a standard deviation of about 0.1 without backfill tasks,
/// and readings within a second are strongly correlated, hence the larger
/// variance. `max_error` bounds the effect of outliers.
constexpr double reading_variance = 0.2;
constexpr double max_error = 0.5;
/// Variance of the drift of an estimate between two observations.
constexpr double drift_variance = 3e-7;

/// Number of distinct image indices; bounds memory.
constexpr size_t max_ids = 4'096;
constexpr size_t no_index = SIZE_MAX;

}  // namespace detail

image_id interference_model::id_of(const std::string& image) {
  const auto found = ids_.find(image);
  if (found != ids_.end()) return found->second;
  if (ids_.size() >= detail::max_ids) return image_id(detail::max_ids);
  return ids_.emplace(image, image_id(ids_.size())).first->second;
}

const interference_model::estimate* interference_model::find(
    image_id serving) const {
  if (serving.value() >= estimates_.size()) return nullptr;
  const estimate& it = estimates_[serving.value()];
  return it.mean.empty() ? nullptr : &it;
}

size_t interference_model::index_of(const estimate& it, image_id backfill) {
  return backfill.value() < it.indices.size() ? it.indices[backfill.value()]
                                              : detail::no_index;
}

double interference_model::sensitivity(image_id serving) const {
  const estimate* it = find(serving);
  return it == nullptr ? detail::prior_cost : it->sensitivity;
}

void interference_model::add_image(estimate& it, image_id backfill) {
  const size_t n = it.mean.size();
  if (backfill.value() >= it.indices.size()) {
    it.indices.resize(backfill.value() + 1, detail::no_index);
  }
  it.indices[backfill.value()] = n;
  it.mean.push_back(detail::prior_cost);
  for (auto& row : it.covariance) row.push_back(0);
  it.covariance.emplace_back(n + 1, 0.0);
  it.covariance[n][n] = detail::prior_variance;
}

void interference_model::observe(image_id serving, double rise,
                                 const std::vector<image_use>& use) {
  if (use.empty()) return;
  if (serving.value() >= estimates_.size()) {
    estimates_.resize(serving.value() + 1);
  }
  estimate& it = estimates_[serving.value()];
  for (const image_use& backfill : use) {
    const bool known = index_of(it, backfill.image) != detail::no_index;
    const bool below_limit = it.mean.size() < detail::max_images;
    if (!known && below_limit) add_image(it, backfill.image);
  }
  std::vector<double> x(it.mean.size(), 0.0);
  for (const image_use& backfill : use) {
    const size_t index = index_of(it, backfill.image);
    if (index != detail::no_index) x[index] += backfill.processors;
  }
  update(it, x, rise);
  it.sensitivity = *std::max_element(it.mean.begin(), it.mean.end());
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
  error = std::clamp(error, -detail::max_error, detail::max_error);
  for (size_t i = 0; i < n; ++i) {
    it.mean[i] += gain[i] / spread * error;
    for (size_t j = 0; j < n; ++j) {
      it.covariance[i][j] -= gain[i] * gain[j] / spread;
    }
  }
}

double interference_model::cost(image_id serving, image_id backfill) const {
  const estimate* it = find(serving);
  if (it == nullptr) return detail::prior_cost;
  const size_t index = index_of(*it, backfill);
  if (index == detail::no_index) return detail::prior_cost;
  return std::max(0.0, it->mean[index]);
}

}  // namespace kestrelreel
