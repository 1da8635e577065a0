#include "daemon/seeded-process.h"

#include <csignal>
#include <fstream>
#include <iterator>
#include <memory>
#include <utility>

#include "base/text.h"
#include "daemon/entry-gateway-service.h"
#include "daemon/fleet-record-service.h"
#include "daemon/front-service.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* process_name = "process";
/// The settings file may change without a signal.
constexpr milliseconds reload_interval{1'000};
/// A control box's callers turn to another by themselves.
constexpr milliseconds control_stop{600};
constexpr milliseconds idle_poll{50};
/// What is left of the stop's time when callers have their answers, and when
/// the process ends at the latest.
constexpr milliseconds answers_margin{700};
constexpr milliseconds exit_margin{500};

bool read_settings_file(const std::string& path, std::string& text) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return false;
  text.assign(std::istreambuf_iterator<char>(in), {});
  return true;
}

}  // namespace detail

seeded_process::seeded_process(std::string file, seeded_settings settings)
    : file_(std::move(file)),
      held_(file_),
      signals_(context_.io),
      stop_timer_(context_.io),
      reload_timer_(context_.io) {
  context_.set_settings(std::move(settings));
  // A signal may come while the services start, which takes long on a busy box.
  watch_signals();
}

absl::Status seeded_process::add_services() {
  std::vector<std::unique_ptr<service>> services;
  services.push_back(std::make_unique<mesh_service>(context_));
  if (context_.settings.role == seeded_role::control) {
    services.push_back(std::make_unique<fleet_record_service>(context_));
  } else {
    services.push_back(std::make_unique<entry_gateway_service>(context_));
  }
  services.push_back(std::make_unique<front_service>(context_));
  for (auto& it : services) {
    absl::Status status = registry_.add(std::move(it));
    if (!status.ok()) return status;
  }
  return absl::OkStatus();
}

absl::Status seeded_process::run() {
  absl::Status status = add_services();
  if (status.ok()) status = registry_.start();
  if (!status.ok()) return status;
  reload_timer_.start(detail::reload_interval, [this] { reload(); });
  log_event(detail::process_name, log_level::info, "started")
      .with("box", context_.settings.box.str())
      .with("name", context_.settings.name)
      .with("data-centre", context_.settings.data_centre.str());
  reload();
  context_.io.run();
  registry_.stop();
  log_event(detail::process_name, log_level::info, "stopped")
      .with("box", context_.settings.box.str());
  return absl::OkStatus();
}

void seeded_process::watch_signals() {
  boost::system::error_code ec;
  for (const int it : {SIGTERM, SIGINT, SIGHUP}) {
    signals_.add(it, ec);
    if (ec) {
      log_event(detail::process_name, log_level::error, "signal-not-watched")
          .with("signal", it)
          .with("error", ec.message());
    }
  }
  signals_.async_wait([this](boost::system::error_code error, int number) {
    if (!error) on_signal(number);
  });
}

void seeded_process::on_signal(int number) {
  if (number == SIGHUP) {
    reload();
  } else if (!context_.stopping) {
    begin_stop();
  }
  signals_.async_wait([this](boost::system::error_code error, int next) {
    if (!error) on_signal(next);
  });
}

/// Only the seeds and the log level can change while the process runs.
void seeded_process::reload() {
  std::string text;
  if (!detail::read_settings_file(file_, text)) {
    log_event(detail::process_name, log_level::warn, "settings-unreadable")
        .with("file", file_);
    return;
  }
  const std::string before = held_.digest();
  switch (held_.offer(text)) {
    case held_settings::outcome::unchanged:
      return;
    case held_settings::outcome::faulty:
      log_event(detail::process_name, log_level::error, "settings-faulty")
          .with("digest", held_.offered_digest())
          .with("in-force", before)
          .with("fault", held_.faults().front().str())
          .with("effect", "the earlier ones stay in force");
      return;
    case held_settings::outcome::accepted:
      break;
  }
  context_.settings.seeds = held_.settings().seeds;
  log_event(detail::process_name, log_level::info, "settings-read")
      .with("digest", held_.digest())
      .with("before", before)
      .with("seeds", context_.settings.seeds.size());
  if (auto* it = registry_.find<entry_gateway_service>(seeded_names::gateway)) {
    it->learn_seeds();
  }
  if (auto* it = registry_.find<fleet_record_service>(seeded_names::record)) {
    it->learn_seeds();
  }
}

void seeded_process::begin_stop() {
  context_.stopping = true;
  stop_began_ = context_.clock.now();
  context_.answers_due =
      stop_began_ + context_.settings.stop_time - detail::answers_margin;
  log_event(detail::process_name, log_level::info, "stop-begins")
      .with("time-ms", context_.settings.stop_time.count());
  if (auto* it = registry_.find<fleet_record_service>(seeded_names::record)) {
    it->transfer_leadership();
  }
  registry_.find<front_service>(seeded_names::front)->drain();
  end_when_idle();
}

/// An entry box serves until its answers are due: its connections stay open,
/// and however quiet they are, the next moment may bring a request.
void seeded_process::end_when_idle() {
  const bool control = context_.settings.role == seeded_role::control;
  const milliseconds stop_time = context_.settings.stop_time;
  const milliseconds least =
      control ? detail::control_stop : stop_time - detail::answers_margin;
  const milliseconds passed = context_.clock.now() - stop_began_;
  auto* front = registry_.find<front_service>(seeded_names::front);
  const bool idle = passed >= least && front->is_quiet();
  const bool over = passed >= stop_time - detail::exit_margin;
  if (idle || over) {
    log_event(detail::process_name, log_level::info, "stop-ends")
        .with("cause", idle ? "quiet" : "time-over")
        .with("after-ms", passed.count());
    return context_.io.stop();
  }
  stop_timer_.expires_after(detail::idle_poll);
  stop_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) end_when_idle();
  });
}

}  // namespace kestrelreel
