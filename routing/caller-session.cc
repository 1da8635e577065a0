#include "routing/caller-session.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>
#include <vector>

#include "base/text.h"
#include "kernel/log.h"
#include "routing/headers.h"

namespace kestrelreel {
namespace detail {

namespace http = boost::beast::http;
constexpr auto await = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr size_t piece_size = 16 << 10;
constexpr unsigned http_1_1 = 11;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr milliseconds longest_deadline{3'600'000};

/// The first segment of the path: the service's name.
std::string service_of(std::string_view target) {
  if (target.empty() || target[0] != '/') return "";
  target.remove_prefix(1);
  return std::string(target.substr(0, target.find_first_of("/?")));
}

/// By RFC 9110, 9.2.2; callers say more by a header.
bool method_repeats(http::verb method) {
  switch (method) {
    case http::verb::get:
    case http::verb::head:
    case http::verb::options:
    case http::verb::trace:
    case http::verb::put:
    case http::verb::delete_:
      return true;
    default:
      return false;
  }
}

std::optional<request_error> read_options(const upstream_request& request,
                                          milliseconds& deadline,
                                          request_info& info) {
  const auto fault = [](const char* reason) {
    return request_error{verdict::not_run, status_bad_request, reason};
  };
  if (const auto it = request.find(deadline_header); it != request.end()) {
    const auto n = parse_duration(std::string_view(it->value()));
    const bool good = n && n->count() > 0 && *n <= longest_deadline;
    if (!good) return fault("bad-deadline");
    deadline = *n;
  }
  if (const auto it = request.find(class_header); it != request.end()) {
    const std::string_view word = it->value();
    if (word != "batch" && word != "latency-critical") {
      return fault("bad-class");
    }
    if (word == "batch") info.kind = request_class::batch;
  }
  if (const auto it = request.find(repeatable_header); it != request.end()) {
    const std::string_view word = it->value();
    if (word != "yes" && word != "no") return fault("bad-repeatable");
    info.repeatable = word == "yes";
  }
  return std::nullopt;
}

}  // namespace detail

caller_session::caller_session(entry_context& context,
                               boost::asio::ip::tcp::socket socket)
    : context_(context),
      stream_(std::move(socket)),
      activity_{false, context.clock.now()},
      share_(context.memory, *this, "callers") {}

milliseconds caller_session::remaining(const exchange& it) const {
  return it.info.deadline - context_.clock.now();
}

void caller_session::count(const exchange& it, std::string_view result) {
  metric_labels labels{{"service", it.service ? it.service->name : ""},
                       {"tenant", it.info.tenant},
                       {"result", std::string(result)}};
  ++context_.metrics.counter("kestrelreel_requests_total", labels);
  if (result != "answered") return;
  labels.erase("result");
  labels["class"] =
      it.info.kind == request_class::batch ? "batch" : "latency-critical";
  context_.metrics.latency("kestrelreel_request_seconds", labels)
      .add(context_.clock.now() - it.begun);
}

boost::asio::awaitable<void> caller_session::run() {
  for (;;) {
    auto it = co_await read_request();
    if (!it) co_return;
    it->begun = context_.clock.now();
    const outcome end = co_await answer(*it);
    share_.release();
    activity_ = {true, context_.clock.now()};
    if (end == outcome::close) break;
  }
  boost::system::error_code ec;
  stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
}

boost::asio::awaitable<caller_session::outcome> caller_session::answer(
    exchange& it) {
  if (const auto error = prepare(it)) {
    co_return co_await send_error(it, *error, std::nullopt);
  }
  co_return co_await serve(it);
}

std::optional<request_error> caller_session::prepare(exchange& it) {
  const std::string name = detail::service_of(it.request.target());
  it.service = context_.router.find(name);
  it.info.id = context_.router.next_id();
  it.info.tenant = std::string(it.request[tenant_header]);
  it.info.repeatable = detail::method_repeats(it.request.method());
  if (it.service == nullptr && !context_.router.loaded()) {
    return request_error{verdict::not_run, detail::status_unavailable,
                         "catching-up"};
  }
  if (it.service == nullptr) {
    return request_error{verdict::not_run, detail::status_not_found,
                         "unknown-service"};
  }
  milliseconds deadline = it.service->deadline;
  if (auto error = detail::read_options(it.request, deadline, it.info)) {
    return error;
  }
  it.info.deadline = it.begun + deadline;
  prepare_upstream(it);
  return std::nullopt;
}

void caller_session::prepare_upstream(exchange& it) {
  remove_hop_headers(it.request);
  it.request.erase(detail::http::field::expect);
  it.request.set(request_id_header, str_cat(context_.box, "-", it.info.id));
  it.request.version(detail::http_1_1);
  it.request.keep_alive(true);
  it.request.prepare_payload();
}

boost::asio::awaitable<dispatch_event> caller_session::first_decision(
    exchange& it) {
  boost::asio::steady_timer wake(context_.io);
  wake.expires_after(remaining(it));
  std::optional<dispatch_event> event;
  context_.router.submit(*it.service, it.info, [&](dispatch_event decided) {
    event = std::move(decided);
    wake.cancel();
  });
  while (!event) {
    co_await wake.async_wait(detail::await);
    // At the deadline the dispatcher takes the request out of the queue.
    if (!event) context_.router.tick();
    if (!event) wake.expires_after(milliseconds(1));
  }
  co_return std::move(*event);
}

boost::asio::awaitable<caller_session::outcome> caller_session::serve(
    exchange& it) {
  dispatch_event event = co_await first_decision(it);
  if (event.refused) {
    count(it, "refused");
    co_return co_await send_error(it, event.refused->error,
                                  event.refused->retry_after);
  }
  co_return co_await try_runners(it, event.target);
}

boost::asio::awaitable<caller_session::outcome> caller_session::try_runners(
    exchange& it, runner* target) {
  // An earlier try that may have run stands for all: a later one that did not
  // run was told to the caller as the request's verdict, who then repeated it.
  std::optional<request_error> error;
  for (;;) {
    it.tried.insert(target->task);
    bool answered = false;
    const auto last = co_await try_once(it, *target, answered);
    const bool keeps_verdict = last && error &&
                               error->ran != verdict::not_run &&
                               last->ran == verdict::not_run;
    if (!keeps_verdict) error = last;
    if (!error) {
      count(it, "answered");
      co_return it.keep_alive && !context_.stopping ? outcome::keep
                                                    : outcome::close;
    }
    count(it, "failed");
    // Part of the answer is with the caller: closing tells that it is cut.
    if (answered) co_return outcome::close;
    const auto event = next_try(it, *error);
    if (!event) {
      std::optional<milliseconds> retry_after;
      if (error->ran == verdict::not_run) retry_after = milliseconds(100);
      co_return co_await send_error(it, *error, retry_after);
    }
    target = event->target;
  }
}

std::optional<dispatch_event> caller_session::next_try(
    exchange& it, const request_error& error) {
  const bool harmless = it.info.repeatable || error.ran == verdict::not_run;
  if (!harmless) return std::nullopt;
  std::optional<dispatch_event> event;
  context_.router.retry(
      *it.service, it.info, it.tried,
      [&](dispatch_event decided) { event = std::move(decided); });
  return event;
}

boost::asio::awaitable<std::optional<request_error>> caller_session::try_once(
    exchange& it, runner& target, bool& answered) {
  const time_point begun = context_.clock.now();
  upstream_exchange upstream(context_.connections, target.address);
  auto error = co_await upstream.begin(it.request, remaining(it));
  exchange_result result = exchange_result::failed;
  if (!error) {
    const auto& header = upstream.answer().get();
    const unsigned status = header.result_int();
    const bool refused = status == detail::status_unavailable;
    if (!header.keep_alive()) {
      it.service->requests->pool().note_leaving(target);
    }
    if (refused) {
      result = exchange_result::refused;
      error = request_error{verdict::not_run, detail::status_unavailable,
                            "runner-refused"};
    } else {
      answered = true;
      error = co_await pass_answer(it, upstream);
      constexpr unsigned first_server_error = 500;
      const bool good = !error && status < first_server_error;
      if (good) result = exchange_result::good;
    }
  }
  if (!error) upstream.finish();
  const bool callers_fault = error && error->reason == "caller-gone";
  if (callers_fault) result = exchange_result::abandoned;
  context_.router.finish(*it.service, target, result,
                         context_.clock.now() - begun);
  co_return error;
}

boost::asio::awaitable<std::optional<request_error>>
caller_session::pass_answer(exchange& it, upstream_exchange& upstream) {
  const request_error gone{verdict::may_have_run, 502, "caller-gone"};
  detail::http::response<detail::http::buffer_body> answer(
      upstream.answer().get().base());
  const bool head = it.request.method() == detail::http::verb::head;
  const bool sized = answer.count(detail::http::field::content_length) > 0;
  remove_hop_headers(answer);
  answer.version(detail::http_1_1);
  // Clearing the flag would take the length out of the header.
  if (!sized && !head) answer.chunked(true);
  answer.keep_alive(it.keep_alive && !context_.stopping);
  answer.body().data = nullptr;
  answer.body().more = !head;
  detail::http::response_serializer<detail::http::buffer_body> serializer(
      answer);
  stream_.expires_after(remaining(it));
  const auto [ec, n] = co_await detail::http::async_write_header(
      stream_, serializer, detail::await);
  if (ec) co_return gone;
  if (head) co_return std::nullopt;
  std::vector<char> buf(detail::piece_size);
  for (;;) {
    size_t size = buf.size();
    if (auto error = co_await upstream.read(buf.data(), size)) co_return error;
    const bool last = upstream.answer().is_done();
    answer.body().data = size > 0 ? buf.data() : nullptr;
    answer.body().size = size;
    answer.body().more = !last;
    const auto [write_ec, m] =
        co_await detail::http::async_write(stream_, serializer, detail::await);
    const bool waits = write_ec == detail::http::error::need_buffer;
    if (write_ec && !waits) co_return gone;
    if (last) co_return std::nullopt;
  }
}

boost::asio::awaitable<caller_session::outcome> caller_session::send_error(
    exchange& it, const request_error& error,
    std::optional<milliseconds> retry_after) {
  const bool keep = it.keep_alive && !context_.stopping;
  detail::http::response<detail::http::string_body> answer(
      static_cast<detail::http::status>(error.status), detail::http_1_1);
  answer.set(verdict_header, to_string(error.ran));
  answer.set(reason_header, error.reason);
  if (retry_after) {
    constexpr int64_t ms_per_s = 1'000;
    const int64_t ms = retry_after->count();
    answer.set(detail::http::field::retry_after,
               str_cat((ms + ms_per_s - 1) / ms_per_s));
    answer.set(retry_after_header, str_cat(ms));
  }
  answer.set(detail::http::field::content_type, "text/plain");
  answer.body() = str_cat(error.reason, " (", to_string(error.ran), ")\n");
  answer.keep_alive(keep);
  answer.prepare_payload();
  log_event("routing", log_level::debug, "request-error")
      .with("request", it.info.id)
      .with("service", it.service ? it.service->name : "")
      .with("reason", error.reason)
      .with("verdict", to_string(error.ran));
  stream_.expires_after(context_.limits.idle);
  const auto [ec, n] =
      co_await detail::http::async_write(stream_, answer, detail::await);
  co_return ec || !keep ? outcome::close : outcome::keep;
}

}  // namespace kestrelreel
