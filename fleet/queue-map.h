// Maps a caller's address to a queue, and validates configurations and jobs.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// True when the queue's host and path prefix match a call's host and path; a
/// queue with a longer prefix may match too.
bool matches_queue(const fleet::queue_route& queue, std::string_view host,
                   std::string_view path);
/// Returns the queue of `host` with the longest prefix of `path`, or null.
/// Ignores a port after the host name.
const fleet::queue_route* match_queue(const fleet::fleet_config& config,
                                      std::string_view host,
                                      std::string_view path);

/// Fails with the first error of an invalid configuration: a queue of an
/// unknown pool, two queues with the same name or the same host and prefix, a
/// time limit of 0, a missing version.
absl::Status check_config(const fleet::fleet_config& config);

/// Fails with the first error of an invalid job: no step, a step without tasks
/// or one that depends on itself or a later step, too many tasks.
absl::Status check_job(const fleet::fleet_job_spec& spec);

}  // namespace kestrelreel
