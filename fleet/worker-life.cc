#include "fleet/worker-life.h"

#include <charconv>

#include "base/text.h"

namespace kestrelreel {

worker_id incarnation_of(const std::string& name, uint64_t born) {
  if (born == 0) return worker_id(name);
  return worker_id(str_cat(name, incarnation_separator, born));
}

worker_id incarnation_of(const fleet::worker_beat& beat) {
  return incarnation_of(beat.worker(), beat.born());
}

std::string worker_name_of(const worker_id& incarnation) {
  return incarnation.str().substr(
      0, incarnation.str().rfind(incarnation_separator));
}

uint64_t start_time_of(const worker_id& incarnation) {
  const std::string& text = incarnation.str();
  const size_t separator = text.rfind(incarnation_separator);
  if (separator == std::string::npos) return 0;
  uint64_t born = 0;
  std::from_chars(text.data() + separator + 1, text.data() + text.size(), born);
  return born;
}

}  // namespace kestrelreel
