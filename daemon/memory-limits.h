// What of a box's memory its connections may hold together.
#pragma once

#include "base/units.h"

namespace kestrelreel {

/// Requests and answers at the HTTP addresses.
constexpr byte_count http_memory_of(byte_count box) { return {box.value / 4}; }

}  // namespace kestrelreel
