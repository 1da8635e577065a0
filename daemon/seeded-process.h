// The life of one process of a seeded deployment.
#pragma once

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

#include "absl/status/status.h"
#include "config/held-settings.h"
#include "daemon/repeating-timer.h"
#include "daemon/seeded-context.h"
#include "kernel/service.h"

namespace kestrelreel {

/// Starts the services of the box's role, reloads its settings, and stops in
/// an order that cuts off nobody.
class seeded_process {
 public:
  /// `file` is read again on SIGHUP and when it changes.
  seeded_process(std::string file, seeded_settings settings);
  /// Returns after a planned stop, or at once when a service can't start.
  absl::Status run();

 private:
  absl::Status add_services();
  void watch_signals();
  void on_signal(int number);
  void reload();
  void begin_stop();
  void end_when_idle();

  std::string file_;
  held_settings held_;
  seeded_context context_;
  service_registry registry_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer stop_timer_;
  repeating_timer reload_timer_;
  time_point stop_began_{};
};

}  // namespace kestrelreel
