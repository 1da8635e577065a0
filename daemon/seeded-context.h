// What all services of one process of a seeded deployment share.
#pragma once

#include <boost/asio/io_context.hpp>
#include <utility>

#include "base/clock.h"
#include "config/seeded-settings.h"
#include "daemon/memory-limits.h"
#include "kernel/metrics.h"
#include "net/memory-budget.h"

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
  boot_clock clock;
  seeded_random random{0};
  seeded_settings settings;
  metrics_registry metrics;
  /// Of the HTTP addresses, and of the other boxes' connections.
  memory_budget http_memory{clock, metrics, "http",
                            http_memory_of(settings.memory)};
  memory_budget mesh_memory{clock, metrics, "mesh",
                            mesh_memory_of(settings.memory)};
  /// Connections hold their part of the budgets until it ends.
  boost::asio::io_context io{1};

  void set_settings(seeded_settings it) {
    settings = std::move(it);
    http_memory.set_limit(http_memory_of(settings.memory));
    mesh_memory.set_limit(mesh_memory_of(settings.memory));
  }
  /// True once a planned stop began.
  bool stopping = false;
  /// Callers have their answers by then; set by a planned stop.
  time_point answers_due = time_point::max();
};

}  // namespace kestrelreel
