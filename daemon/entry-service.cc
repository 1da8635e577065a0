#include "daemon/entry-service.h"

#include <utility>

#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr milliseconds table_interval{500};
// Waiting requests have timers of their own; this is for runners that may be
// tried again.
constexpr milliseconds queue_interval{100};
constexpr size_t rounds_remembered = 20;

}  // namespace detail

entry_service::entry_service(process_context& context)
    : context_(context), table_timer_(context.io), tick_timer_(context.io) {}

entry_service::~entry_service() = default;

absl::Status entry_service::start(service_registry& registry) {
  network_ = registry.find<network_service>(service_names::network);
  record_ = registry.find<record_service>(service_names::record);
  holder_ = registry.find<holder_service>(service_names::holder);
  const request_limits& limits = context_.settings.limits;
  dispatch_limits dispatch;
  dispatch.queued = limits.queued_per_service;
  dispatch.retry_percent = limits.retry_percent;
  router_ = std::make_unique<service_router>(dispatch,
                                             make_least_wait(context_.random),
                                             context_.random, context_.clock);
  connections_ = std::make_unique<connection_cache>(context_.io);
  entry_ =
      std::make_unique<entry_context>(entry_context{context_.io,
                                                    *router_,
                                                    *connections_,
                                                    context_.clock,
                                                    context_.metrics,
                                                    context_.http_memory,
                                                    context_.settings.box.str(),
                                                    {limits.body, limits.idle},
                                                    false});
  server_ = std::make_unique<entry_server>(*entry_, limits.connections);
  network_->subscribe(
      proto::peer_message::kTable,
      [this](const auto&, const auto& m) { on_table(m.table()); });
  record_->on_change([this](const record_state::touched_items& touched) {
    const auto first = touched.keys.lower_bound("service/");
    const bool services =
        first != touched.keys.end() && first->starts_with("service/");
    if (touched.all || services) {
      router_->set_services(record_->state().items());
    }
  });
  table_timer_.start(detail::table_interval, [this] { ask_for_runners(); });
  tick_timer_.start(detail::queue_interval, [this] { router_->tick(); });
  add_metrics();
  return server_->start(context_.settings.callers_address);
}

void entry_service::stop() {
  table_timer_.stop();
  tick_timer_.stop();
}

void entry_service::add_metrics() {
  context_.metrics.gauge("kestrelreel_callers_connections", [this] {
    return static_cast<double>(server_->connections());
  });
  context_.metrics.gauge("kestrelreel_version_in_force", [this] {
    return static_cast<double>(record_->state().version());
  });
  context_.metrics.gauge("kestrelreel_queued_requests", [this] {
    size_t n = 0;
    for (const auto& [name, it] : router_->services()) {
      n += it.requests->queued();
    }
    return static_cast<double>(n);
  });
}

bool entry_service::ready() const {
  // Whoever restarts boxes in turn waits for this: were the next one stopped
  // before this one may grant, the data centre's lease would lack a majority.
  return have_table_ && holder_->grants() && record_->ready() &&
         !context_.stopping;
}

void entry_service::drain(std::function<void()> drained) {
  server_->drain(context_.settings.limits.stop_delay, std::move(drained));
}

void entry_service::ask_for_runners() {
  const box_id holder = holder_->holder();
  if (holder.empty()) return;
  proto::peer_message m;
  proto::runner_request& request = *m.mutable_runners();
  request.set_round(++round_);
  request.set_have_round(have_round_);
  request.set_have_epoch(have_epoch_);
  router_->add_holdings(request);
  asked_[round_] = context_.clock.now();
  while (asked_.size() > detail::rounds_remembered) {
    asked_.erase(asked_.begin());
  }
  network_->send(holder, std::move(m));
}

void entry_service::on_table(const proto::runner_table& table) {
  const auto asked = asked_.find(table.round());
  if (asked == asked_.end() || table.round() <= have_round_) return;
  // An older holder's table must not undo a newer one's.
  if (table.epoch() < have_epoch_) return;
  const milliseconds valid(static_cast<int64_t>(table.valid_ms()));
  have_round_ = table.round();
  have_epoch_ = table.epoch();
  have_table_ = true;
  router_->set_runners(table, asked->second + valid);
  std::map<std::string, bool> addresses;
  for (const proto::runner& it : table.runners()) {
    addresses[it.address()] = true;
  }
  connections_->retain(addresses);
  asked_.erase(asked_.begin(), std::next(asked));
}

}  // namespace kestrelreel
