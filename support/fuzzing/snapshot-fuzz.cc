// A saved state that is read is saved the same again.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "fleet/job-book.h"

using namespace kestrelreel;

// The name that the library calls.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  job_book book;
  if (!book.load(std::string(bytes)).ok()) return 0;
  const std::string saved = book.save();
  job_book again;
  if (!again.load(saved).ok() || again.save() != saved) std::abort();
  return 0;
}
