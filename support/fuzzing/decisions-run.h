// A small cluster on a virtual clock: workers that run tasks, control boxes
// that follow each other as leaders, and another writer that sends changed
// copies of the workers' heartbeats.
#pragma once

#include <cstdint>
#include <span>
#include <string>

namespace kestrelreel::fuzzing {

/// Plays a run; empty, or the first promise that was broken: a task that runs
/// twice, one that starts after its good end was taken note of, a worker over
/// its room, an answer to a copy that grants something, a worker's own call
/// that does not go on from where it was, a job that does not end.
std::string play_decisions(std::span<const uint8_t> bytes);

}  // namespace kestrelreel::fuzzing
