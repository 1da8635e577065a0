// Control boxes that are cut off long enough to miss much of the log, and what
// strikes them meanwhile and when they are back.
#pragma once

#include <vector>

#include "support/faults/fault-plan.h"

namespace kestrelreel::faults {

/// Absences one after the other, each of no more boxes than a majority can do
/// without, with time between them to come back; none ends after the faults'
/// time. In some an absent box is struck, or any control box within 2 s of
/// their return. Not ordered by time.
std::vector<fault_strike> plan_absences(const plan_settings& settings);

}  // namespace kestrelreel::faults
