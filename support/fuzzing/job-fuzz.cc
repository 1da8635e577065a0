// A job that is read is checked without harm.
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
  const auto job = platform::read_job(bytes);
  if (job.ok()) check_job(*job).IgnoreError();
  return 0;
}
