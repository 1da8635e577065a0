#include "fleet/interference.h"

#include <algorithm>
#include <cstdint>

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

/// Numbers given out; bounds memory.
constexpr size_t most_ids = 4'096;
constexpr size_t no_place = SIZE_MAX;

}  // namespace detail

image_id interference_model::id_of(const std::string& image) {
  const auto found = ids_.find(image);
  if (found != ids_.end()) return found->second;
  if (ids_.size() >= detail::most_ids) return image_id(detail::most_ids);
  return ids_.emplace(image, image_id(ids_.size())).first->second;
}

const interference_model::estimate* interference_model::find(
    image_id serving) const {
  if (serving.value() >= estimates_.size()) return nullptr;
  const estimate& it = estimates_[serving.value()];
  return it.mean.empty() ? nullptr : &it;
}

size_t interference_model::place_of(const estimate& it, image_id fill) {
  return fill.value() < it.places.size() ? it.places[fill.value()]
                                         : detail::no_place;
}

double interference_model::sensitivity(image_id serving) const {
  const estimate* it = find(serving);
  return it == nullptr ? detail::guessed_cost : it->sensitivity;
}

void interference_model::add_place(estimate& it, image_id fill) {
  const size_t n = it.mean.size();
  if (fill.value() >= it.places.size()) {
    it.places.resize(fill.value() + 1, detail::no_place);
  }
  it.places[fill.value()] = n;
  it.mean.push_back(detail::guessed_cost);
  for (auto& row : it.covariance) row.push_back(0);
  it.covariance.emplace_back(n + 1, 0.0);
  it.covariance[n][n] = detail::guessed_variance;
}

void interference_model::observe(image_id serving, double rise,
                                 const std::vector<image_use>& use) {
  if (use.empty()) return;
  if (serving.value() >= estimates_.size()) {
    estimates_.resize(serving.value() + 1);
  }
  estimate& it = estimates_[serving.value()];
  for (const image_use& fill : use) {
    const bool known = place_of(it, fill.image) != detail::no_place;
    const bool room = it.mean.size() < detail::most_images;
    if (!known && room) add_place(it, fill.image);
  }
  std::vector<double> x(it.mean.size(), 0.0);
  for (const image_use& fill : use) {
    const size_t place = place_of(it, fill.image);
    if (place != detail::no_place) x[place] += fill.processors;
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
  error = std::clamp(error, -detail::most_error, detail::most_error);
  for (size_t i = 0; i < n; ++i) {
    it.mean[i] += gain[i] / spread * error;
    for (size_t j = 0; j < n; ++j) {
      it.covariance[i][j] -= gain[i] * gain[j] / spread;
    }
  }
}

double interference_model::cost(image_id serving, image_id fill) const {
  const estimate* it = find(serving);
  if (it == nullptr) return detail::guessed_cost;
  const size_t place = place_of(*it, fill);
  if (place == detail::no_place) return detail::guessed_cost;
  return std::max(0.0, it->mean[place]);
}

}  // namespace kestrelreel
