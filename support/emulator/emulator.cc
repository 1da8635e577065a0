#include "support/emulator/emulator.h"

#include "support/emulator/emulation.h"

namespace kestrelreel::emulator {

load_outcome play(const load_pattern& pattern,
                  const scheduler_settings& settings, uint64_t seed) {
  return emulation(pattern, settings, seed).play();
}

}  // namespace kestrelreel::emulator
