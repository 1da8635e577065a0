// What all services of one process share.
#pragma once

#include <grpcpp/resource_quota.h>

#include <boost/asio/io_context.hpp>
#include <utility>

#include "base/clock.h"
#include "config/settings.h"
#include "daemon/memory-limits.h"
#include "daemon/repeating-timer.h"
#include "kernel/metrics.h"
#include "net/memory-budget.h"

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
  boot_clock clock;
  seeded_random random{0};
  process_settings settings;
  metrics_registry metrics;
  memory_budget http_memory{clock, metrics, "http",
                            http_memory_of(settings.memory)};
  /// Of the operators' and the other boxes' calls.
  grpc::ResourceQuota grpc_memory;
  /// Connections hold their part of the budget until it ends.
  boost::asio::io_context io{1};

  void set_settings(process_settings it) {
    settings = std::move(it);
    http_memory.set_limit(http_memory_of(settings.memory));
    grpc_memory.Resize(grpc_memory_of(settings.memory).value);
  }

  /// Rises with every start of this box.
  uint64_t incarnation = 0;
  /// Founds a new cluster with the replicas that the settings name.
  bool new_cluster = false;
  /// True once a planned stop began.
  bool stopping = false;
};

}  // namespace kestrelreel
