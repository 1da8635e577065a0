// Heartbeats of another writer among those of workers that run tasks.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "support/fuzzing/decisions-run.h"

using namespace kestrelreel;

// The name that the library calls.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  if (!fuzzing::play_decisions({data, size}).empty()) std::abort();
  return 0;
}
