// What boxes send each other: no more is taken than was sent.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "net/frame-stream.h"

using namespace kestrelreel;

// The name that the library calls.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto taken =
      read_frames(bytes, [](const fleet::fleet_frame&) { return true; });
  if (taken && *taken > size) std::abort();
  return 0;
}
