// A heartbeat that is read holds no value that the pages do not know.
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
  const auto beat = platform::read_beat("i-1", bytes);
  if (!beat.ok()) return 0;
  constexpr uint32_t whole = 100;
  const bool sound = beat->sequence() > 0 && !beat->pool().empty() &&
                     !beat->address().empty() && !beat->data_centre().empty();
  if (!sound) std::abort();
  for (const auto& it : beat->running()) {
    if (it.run() == 0 || it.percent() > whole) std::abort();
  }
  for (const auto& it : beat->ended()) {
    if (it.number() == 0 || it.run() == 0) std::abort();
  }
  return 0;
}
