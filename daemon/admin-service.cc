#include "daemon/admin-service.h"

#include <utility>

namespace kestrelreel {
namespace detail {

/// Questions have no body, and a few ask.
constexpr uint64_t question_body_bytes = 4 << 10;
constexpr size_t most_connections = 64;
constexpr milliseconds call_limit{5'000};
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

}  // namespace detail

admin_service::admin_service(process_context& context)
    : context_(context),
      http_(context.io, context.http_memory, "admin",
            [this](const http_call& call, auto respond) {
              auto [status, text] = answer(call.target);
              http_answer it;
              it.status = status;
              it.body = std::move(text);
              it.content_type = "text/plain; version=0.0.4";
              respond(std::move(it));
            }) {
  http_limits limits;
  limits.body_bytes = detail::question_body_bytes;
  limits.header_timeout = detail::call_limit;
  limits.idle_timeout = detail::call_limit;
  limits.connections = detail::most_connections;
  http_.set_limits(limits);
}

absl::Status admin_service::start(service_registry& registry) {
  entry_ = registry.find<entry_service>(service_names::entry);
  return http_.listen(context_.settings.admin_address);
}

void admin_service::stop() { http_.close(); }

std::pair<unsigned, std::string> admin_service::answer(
    std::string_view path) const {
  if (path == "/healthz") return {detail::status_ok, "ok\n"};
  if (path == "/metrics") {
    return {detail::status_ok, context_.metrics.text()};
  }
  if (path == "/readyz") {
    if (entry_->ready()) return {detail::status_ok, "ready\n"};
    return {detail::status_unavailable,
            context_.stopping ? "stopping\n" : "catching up\n"};
  }
  return {detail::status_not_found,
          "one of /healthz, /readyz, /metrics is meant\n"};
}

}  // namespace kestrelreel
