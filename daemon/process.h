// One kestrelreeld process: its services, its signals and its planned stop.
#pragma once

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

#include "absl/status/status.h"
#include "daemon/process-context.h"
#include "kernel/service.h"

namespace kestrelreel {

/// Runs a box until it is told to stop.
class process {
 public:
  process(process_settings settings, bool new_cluster);

  /// Returns after a planned stop, or with the error that kept it from
  /// starting.
  absl::Status run();

 private:
  absl::Status add_services();
  void watch_signals();
  void begin_stop();
  void drain();
  void end();

  process_context context_;
  service_registry registry_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer stop_timer_;
};

}  // namespace kestrelreel
