// What all services of one process of a seeded deployment share.
#pragma once

#include <boost/asio/io_context.hpp>

#include "base/clock.h"
#include "config/seeded-settings.h"
#include "kernel/metrics.h"

namespace kestrelreel {

/// Names by which the services of a seeded deployment find each other.
namespace seeded_names {
inline constexpr const char* mesh = "mesh";
inline constexpr const char* record = "fleet-record";
inline constexpr const char* gateway = "gateway";
inline constexpr const char* front = "front";
}  // namespace seeded_names

/// The thread of the decisions, time, chance, settings and metrics.
struct seeded_context {
  boost::asio::io_context io{1};
  boot_clock clock;
  seeded_random random{0};
  seeded_settings settings;
  metrics_registry metrics;
  /// True once a planned stop began.
  bool stopping = false;
  /// Callers have their answers by then; set by a planned stop.
  time_point answers_due = time_point::max();
};

}  // namespace kestrelreel
