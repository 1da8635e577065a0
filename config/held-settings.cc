#include "config/held-settings.h"

#include <utility>
#include <variant>

namespace kestrelreel {

held_settings::outcome held_settings::offer(std::string_view text) {
  if (text == offered_text_) return outcome::unchanged;
  offered_text_ = text;
  offered_ = settings_digest(text);
  auto parsed = parse_seeded_settings(file_, text);
  if (auto* faults = std::get_if<std::vector<config_fault>>(&parsed)) {
    faults_ = std::move(*faults);
    return outcome::faulty;
  }
  settings_ = std::move(std::get<seeded_settings>(parsed));
  digest_ = offered_;
  return outcome::accepted;
}

}  // namespace kestrelreel
