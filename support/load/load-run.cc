#include "support/load/load-run.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cmath>
#include <memory>
#include <utility>

#include "base/text.h"
#include "routing/headers.h"

namespace kestrelreel::load {
namespace detail {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using steady = std::chrono::steady_clock;
constexpr auto await = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr std::chrono::seconds answer_limit{10};

/// A connection to one entry box.
struct connection {
  explicit connection(boost::asio::io_context& io) : stream(io) {}
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buf;
  bool open = false;
};

/// One run of a plan.
class run {
 public:
  explicit run(const load_plan& plan) : plan_(plan) {}

  load_result execute() {
    begun_ = steady::now();
    end_ = begun_ + plan_.length;
    if (plan_.rate > 0) {
      boost::asio::co_spawn(io_, arrivals(), boost::asio::detached);
    } else {
      for (uint64_t i = 0; i < plan_.concurrency; ++i) {
        boost::asio::co_spawn(io_, caller(i), boost::asio::detached);
      }
    }
    io_.run();
    const std::chrono::duration<double> took = steady::now() - begun_;
    result_.seconds = took.count();
    return std::move(result_);
  }

 private:
  bool over() const {
    if (plan_.requests > 0 && result_.sent >= plan_.requests) return true;
    return steady::now() >= end_;
  }

  boost::asio::awaitable<void> caller(uint64_t number) {
    auto link = std::make_unique<connection>(io_);
    const std::string& target = plan_.targets[number % plan_.targets.size()];
    while (!over()) co_await request(*link, target);
  }

  /// Open loop: requests come when they come, however slow the answers are.
  boost::asio::awaitable<void> arrivals() {
    boost::asio::steady_timer timer(io_);
    steady::time_point next = steady::now();
    for (uint64_t n = 0; !over(); ++n) {
      const double u = static_cast<double>(random_.next() >> 11) * 0x1p-53;
      const std::chrono::duration<double> gap(-std::log1p(-u) / plan_.rate);
      next += std::chrono::duration_cast<steady::duration>(gap);
      timer.expires_at(next);
      if (next > steady::now()) co_await timer.async_wait(await);
      boost::asio::co_spawn(io_, arrival(n), boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> arrival(uint64_t number) {
    const std::string& target = plan_.targets[number % plan_.targets.size()];
    auto& idle = idle_[target];
    std::unique_ptr<connection> link;
    if (idle.empty()) {
      link = std::make_unique<connection>(io_);
    } else {
      link = std::move(idle.back());
      idle.pop_back();
    }
    co_await request(*link, target);
    if (link->open) idle_[target].push_back(std::move(link));
  }

  boost::asio::awaitable<bool> connect(connection& link,
                                       const std::string& target) {
    std::string host;
    uint16_t port = 0;
    split_address(target, host, port);
    link.stream.expires_after(answer_limit);
    const auto [ec] = co_await link.stream.async_connect(
        tcp::endpoint(boost::asio::ip::make_address(host), port), await);
    if (!ec) link.stream.socket().set_option(tcp::no_delay(true));
    link.open = !ec;
    co_return link.open;
  }

  boost::asio::awaitable<void> request(connection& link,
                                       const std::string& target) {
    const uint64_t number = ++result_.sent;
    const auto begun = steady::now();
    if (!link.open && !co_await connect(link, target)) {
      ++result_.by_reason["connect-failed"];
      link.stream.close();
      // Someone whose connection is refused does not come back at once.
      boost::asio::steady_timer pause(io_, std::chrono::milliseconds(5));
      co_await pause.async_wait(await);
      co_return;
    }
    const std::string body = str_cat("payload ", number);
    http::request<http::string_body> out(http::verb::post, plan_.path, 11);
    out.set(http::field::host, target);
    out.set(tenant_header, plan_.tenant);
    out.set(deadline_header, plan_.deadline);
    out.set(repeatable_header, plan_.repeatable ? "yes" : "no");
    out.set("Standin-Work", plan_.work);
    out.set("Idempotency-Key", str_cat(plan_.tenant, "-", number));
    out.body() = body;
    out.prepare_payload();
    link.stream.expires_after(answer_limit);
    const auto [write_ec, n] =
        co_await http::async_write(link.stream, out, await);
    http::response<http::string_body> in;
    boost::system::error_code ec = write_ec;
    if (!ec) {
      const auto [read_ec, m] =
          co_await http::async_read(link.stream, link.buf, in, await);
      ec = read_ec;
    }
    note(ec, in, body, begun);
    if (ec || !in.keep_alive()) {
      link.stream.close();
      link.buf.clear();
      link.open = false;
    }
  }

  void note(boost::system::error_code ec,
            const http::response<http::string_body>& in,
            const std::string& body, steady::time_point begun) {
    const std::chrono::duration<double, std::milli> took =
        steady::now() - begun;
    if (ec) {
      ++result_.cut_off;
      return;
    }
    if (in.result() != http::status::ok) {
      std::string reason(in[reason_header]);
      if (reason.empty()) reason = str_cat("status-", in.result_int());
      ++result_.by_reason[reason];
      result_.refusal_latency.add_ms(took.count());
      return;
    }
    const std::string wanted = str_cat("answer to ", plan_.path, ": ", body);
    if (in.body() != wanted) ++result_.wrong;
    ++result_.answered;
    result_.latency.add_ms(took.count());
  }

  const load_plan& plan_;
  boost::asio::io_context io_{1};
  seeded_random random_{7};
  load_result result_;
  steady::time_point begun_;
  steady::time_point end_;
  std::map<std::string, std::vector<std::unique_ptr<connection>>> idle_;
};

}  // namespace detail

load_result run_load(const load_plan& plan) {
  return detail::run(plan).execute();
}

}  // namespace kestrelreel::load
