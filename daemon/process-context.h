// What all services of one process share.
#pragma once

#include <boost/asio/io_context.hpp>

#include "base/clock.h"
#include "config/settings.h"
#include "daemon/repeating-timer.h"
#include "kernel/metrics.h"

namespace kestrelreel {

/// Names by which the services find each other.
namespace service_names {
inline constexpr const char* network = "network";
inline constexpr const char* record = "record";
inline constexpr const char* holder = "holder";
inline constexpr const char* entry = "entry";
inline constexpr const char* operators = "operators";
inline constexpr const char* admin = "admin";
}  // namespace service_names

/// The thread of the decisions, time, chance, settings and metrics.
struct process_context {
  boost::asio::io_context io{1};
  boot_clock clock;
  seeded_random random{0};
  process_settings settings;
  metrics_registry metrics;
  /// Rises with every start of this box.
  uint64_t incarnation = 0;
  /// Founds a new cluster with the replicas that the settings name.
  bool new_cluster = false;
  /// True once a planned stop began.
  bool stopping = false;
};

}  // namespace kestrelreel
