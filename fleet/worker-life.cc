#include "fleet/worker-life.h"

#include <charconv>

#include "base/text.h"

namespace kestrelreel {

worker_id life_of(const std::string& name, uint64_t born) {
  if (born == 0) return worker_id(name);
  return worker_id(str_cat(name, birth_mark, born));
}

worker_id life_of(const fleet::worker_beat& beat) {
  return life_of(beat.worker(), beat.born());
}

std::string name_of(const worker_id& life) {
  return life.str().substr(0, life.str().rfind(birth_mark));
}

uint64_t born_of(const worker_id& life) {
  const std::string& text = life.str();
  const size_t mark = text.rfind(birth_mark);
  if (mark == std::string::npos) return 0;
  uint64_t born = 0;
  std::from_chars(text.data() + mark + 1, text.data() + text.size(), born);
  return born;
}

}  // namespace kestrelreel
