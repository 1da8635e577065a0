// The log's file: what is sound of it reads the same again.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "consensus/log-store.h"

using namespace kestrelreel;

// The name that the library calls.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto log = parse_log(std::string(bytes));
  if (!log.ok()) return 0;
  if (log->valid_bytes > size) std::abort();
  const auto again = parse_log(std::string(bytes.substr(0, log->valid_bytes)));
  if (!again.ok() || again->valid_bytes != log->valid_bytes) std::abort();
  return 0;
}
