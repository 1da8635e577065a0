#include "daemon/front-service.h"

#include <utility>

namespace kestrelreel {
namespace detail {

constexpr unsigned status_ready = 200;
constexpr unsigned status_not_ready = 503;
/// A worker's report may be that large.
constexpr uint64_t control_body_bytes = 4 << 20;
/// The balancer's question has no body, and comes once a second.
constexpr uint64_t question_body_bytes = 4 << 10;
constexpr size_t balancer_connections = 64;

}  // namespace detail

absl::Status front_service::start(service_registry& registry) {
  if (context_.settings.role == seeded_role::control) {
    return start_control(
        *registry.find<fleet_record_service>(seeded_names::record));
  }
  return start_entry(
      *registry.find<entry_gateway_service>(seeded_names::gateway));
}

absl::Status front_service::start_control(fleet_record_service& record) {
  control_ = std::make_unique<platform::control_front>(record);
  main_ = std::make_unique<http_service>(
      context_.io, context_.http_memory, "control",
      [this](const http_call& call, auto respond) {
        control_->handle(call, std::move(respond));
      });
  http_limits limits;
  limits.body_bytes = detail::control_body_bytes;
  main_->set_limits(limits);
  return main_->listen(context_.settings.control_address);
}

absl::Status front_service::start_entry(entry_gateway_service& gateway) {
  callers_ = std::make_unique<platform::callers_front>(gateway);
  gateway.on_bounds([this](const auto& bounds) { set_bounds(bounds); });
  main_ = std::make_unique<http_service>(
      context_.io, context_.http_memory, "callers",
      [this](const http_call& call, auto respond) {
        callers_->handle(call, std::move(respond));
      },
      platform::deadline_header);
  readiness_ = std::make_unique<http_service>(
      context_.io, context_.http_memory, "readiness",
      [this, &gateway](const http_call&, auto respond) {
        http_answer answer;
        const bool ready = gateway.ready() && !context_.stopping;
        answer.status = ready ? detail::status_ready : detail::status_not_ready;
        respond(answer);
      });
  http_limits question;
  question.body_bytes = detail::question_body_bytes;
  question.connections = detail::balancer_connections;
  readiness_->set_limits(question);
  const absl::Status status =
      readiness_->listen(context_.settings.readiness_address);
  if (!status.ok()) return status;
  return main_->listen(context_.settings.callers_address);
}

void front_service::set_bounds(const fleet::request_bounds& bounds) {
  http_limits limits;
  if (bounds.header_bytes() > 0) limits.header_bytes = bounds.header_bytes();
  if (bounds.body_bytes() > 0) limits.body_bytes = bounds.body_bytes();
  if (bounds.header_timeout_ms() > 0) {
    limits.header_timeout = milliseconds(bounds.header_timeout_ms());
  }
  if (bounds.idle_timeout_ms() > 0) {
    limits.idle_timeout = milliseconds(bounds.idle_timeout_ms());
  }
  main_->set_limits(limits);
}

void front_service::drain() {
  if (main_) main_->drain();
}

bool front_service::is_quiet() { return !main_ || main_->is_quiet(); }

void front_service::stop() {
  if (main_) main_->close();
  if (readiness_) readiness_->close();
}

}  // namespace kestrelreel
