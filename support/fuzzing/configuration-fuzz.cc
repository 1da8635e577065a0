// A configuration that is read bears a version, and names where it leads.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "fleet/queue-map.h"
#include "platform/codec.h"

using namespace kestrelreel;

// The name that the library calls.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto config = platform::read_config(bytes);
  if (!config.ok()) return 0;
  if (config->version() == 0) std::abort();
  check_config(*config).IgnoreError();
  match_queue(*config, "host", "/path/");
  return 0;
}
