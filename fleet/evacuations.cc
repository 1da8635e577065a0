#include "fleet/evacuations.h"

namespace kestrelreel {

void evacuations::apply(const fleet::evacuation_order& order) {
  const std::string& name = order.data_centre();
  if (holds(name) == order.evacuate()) return;
  ++version_;
  if (order.evacuate()) {
    in_force_[name] = {version_, order.ordered_at_ms()};
  } else {
    in_force_.erase(name);
  }
}

std::string evacuations::names() const {
  std::string out;
  for (const auto& [name, it] : in_force_) {
    if (!out.empty()) out += ',';
    out += name;
  }
  return out;
}

void evacuations::save(fleet::fleet_snapshot& out) const {
  out.set_evacuation_version(version_);
  for (const auto& [name, it] : in_force_) {
    fleet::saved_evacuation& saved = *out.add_evacuations();
    saved.set_data_centre(name);
    saved.set_version(it.version);
    saved.set_ordered_at_ms(it.ordered_at_ms);
  }
}

void evacuations::load(const fleet::fleet_snapshot& in) {
  version_ = in.evacuation_version();
  in_force_.clear();
  for (const fleet::saved_evacuation& it : in.evacuations()) {
    in_force_[it.data_centre()] = {it.version(), it.ordered_at_ms()};
  }
}

}  // namespace kestrelreel
