// The body of a leave.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "platform/codec.h"

using namespace kestrelreel;

// The name that the library calls.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  platform::read_birth(bytes).IgnoreError();
  return 0;
}
