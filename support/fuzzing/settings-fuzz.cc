// A settings file, its seeds among it.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "config/seeded-settings.h"

using namespace kestrelreel;

// The name that the library calls.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  parse_seeded_settings("settings", bytes);
  return 0;
}
