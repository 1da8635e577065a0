#include "daemon/process.h"

#include <csignal>
#include <cstdlib>
#include <memory>
#include <utility>

#include "daemon/admin-service.h"
#include "daemon/entry-service.h"
#include "daemon/holder-service.h"
#include "daemon/network-service.h"
#include "daemon/operator-service.h"
#include "daemon/record-service.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr milliseconds longest_drain{60'000};
constexpr int forced_exit = 130;

}  // namespace detail

process::process(process_settings settings, bool new_cluster)
    : signals_(context_.io), stop_timer_(context_.io) {
  context_.set_settings(std::move(settings));
  context_.new_cluster = new_cluster;
  context_.incarnation = wall_clock_ms();
}

absl::Status process::add_services() {
  std::unique_ptr<service> services[] = {
      std::make_unique<network_service>(context_),
      std::make_unique<record_service>(context_),
      std::make_unique<holder_service>(context_),
      std::make_unique<entry_service>(context_),
      std::make_unique<operator_service>(context_),
      std::make_unique<admin_service>(context_),
  };
  for (auto& it : services) {
    absl::Status status = registry_.add(std::move(it));
    if (!status.ok()) return status;
  }
  return absl::OkStatus();
}

absl::Status process::run() {
  absl::Status status = add_services();
  if (status.ok()) status = registry_.start();
  if (!status.ok()) return status;
  watch_signals();
  log_event("process", log_level::info, "started")
      .with("box", context_.settings.box.str())
      .with("data-centre", context_.settings.self().data_centre.str())
      .with("incarnation", context_.incarnation);
  context_.io.run();
  registry_.stop();
  log_event("process", log_level::info, "stopped")
      .with("box", context_.settings.box.str());
  return absl::OkStatus();
}

void process::watch_signals() {
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  signals_.async_wait([this](boost::system::error_code ec, int) {
    if (ec) return;
    begin_stop();
    // A second signal ends the process at once.
    signals_.async_wait([](boost::system::error_code again, int) {
      if (!again) std::_Exit(detail::forced_exit);
    });
  });
}

/// Tells the balancer and the other boxes first; callers are served until
/// they have had time to notice.
void process::begin_stop() {
  log_event("process", log_level::info, "stop-begins")
      .with("delay-ms", context_.settings.limits.stop_delay.count());
  context_.stopping = true;
  registry_.find<record_service>(service_names::record)->send_heartbeat();
  registry_.find<holder_service>(service_names::holder)->resign();
  stop_timer_.expires_after(context_.settings.limits.stop_delay);
  stop_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) drain();
  });
}

void process::drain() {
  registry_.find<record_service>(service_names::record)->transfer_leadership();
  stop_timer_.expires_after(detail::longest_drain);
  stop_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) end();
  });
  registry_.find<entry_service>(service_names::entry)->drain([this] { end(); });
}

void process::end() {
  stop_timer_.cancel();
  signals_.cancel();
  context_.io.stop();
}

}  // namespace kestrelreel
