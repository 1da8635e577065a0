// Load generator: sends requests to entry boxes and checks every answer.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "kernel/metrics.h"

namespace kestrelreel::load {

/// What to send.
struct load_plan {
  /// `IP:PORT` of entry boxes, taken in turn as a balancer would.
  std::vector<std::string> targets;
  std::string path = "/iklim-servis/check";
  std::string tenant = "load";
  std::string work = "5ms";
  std::string deadline = "1s";
  /// Requests a second over all targets, at random times; 0 for as fast as
  /// `concurrency` callers can.
  double rate = 0;
  uint64_t concurrency = 16;
  milliseconds length{5'000};
  /// Stops after that many; 0 for no limit.
  uint64_t requests = 0;
  bool repeatable = true;
};

/// What came of it.
struct load_result {
  uint64_t sent = 0;
  uint64_t answered = 0;
  /// Answers that were not the request's own, byte by byte.
  uint64_t wrong = 0;
  /// Connections that ended without any answer.
  uint64_t cut_off = 0;
  std::map<std::string, uint64_t> by_reason;
  latency_histogram latency;
  latency_histogram refusal_latency;
  double seconds = 0;
};

/// Runs the plan to its end.
load_result run_load(const load_plan& plan);

}  // namespace kestrelreel::load
