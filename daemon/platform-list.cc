#include "daemon/platform-list.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "base/text.h"
#include "config/reader.h"

namespace kestrelreel {
namespace detail {

namespace http = boost::beast::http;
constexpr auto await = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr milliseconds answer_limit{2'000};
constexpr uint64_t list_limit = 64 << 20;

worker_info read_worker(fault_collector& faults, const json_node& node,
                        const std::string& at) {
  object_reader it(faults, node, at);
  worker_info worker;
  worker.id = worker_id(it.text("id"));
  worker.address = it.address("address");
  worker.rack = it.text("rack");
  worker.capacity.cpu = it.processors("cpu");
  worker.capacity.memory = it.bytes("memory");
  worker.capacity.accelerators.value =
      static_cast<uint32_t>(it.number("accelerators", {0, 1'000}, 0));
  worker.leaving = it.word("state", {"live", "leaving"}) == "leaving";
  it.finish();
  return worker;
}

}  // namespace detail

absl::StatusOr<std::vector<worker_info>> parse_workers(
    const std::string& text) {
  auto tree = parse_json(text);
  if (const auto* error = std::get_if<json_error>(&tree)) {
    return absl::InvalidArgumentError(
        str_cat("the platform's list: ", error->message));
  }
  fault_collector faults("workers", text);
  std::vector<worker_info> workers;
  object_reader all(faults, std::get<json_node>(tree), "");
  all.each_element("workers", [&](const auto& node, const auto& at) {
    workers.push_back(detail::read_worker(faults, node, at));
  });
  all.finish();
  if (!faults.empty()) {
    return absl::InvalidArgumentError(
        str_cat("the platform's list: ", faults.faults().front().str()));
  }
  return workers;
}

boost::asio::awaitable<absl::StatusOr<std::vector<worker_info>>> fetch_workers(
    boost::asio::io_context& io, std::string address) {
  const auto failed = [&](const boost::system::error_code& ec) {
    return absl::UnavailableError(
        str_cat("the platform's list at ", address, ": ", ec.message()));
  };
  std::string host;
  uint16_t port = 0;
  split_address(address, host, port);
  const boost::asio::ip::tcp::endpoint endpoint(
      boost::asio::ip::make_address(host), port);
  boost::beast::tcp_stream stream(io);
  stream.expires_after(detail::answer_limit);
  const auto [connect_ec] =
      co_await stream.async_connect(endpoint, detail::await);
  if (connect_ec) co_return failed(connect_ec);
  detail::http::request<detail::http::empty_body> request(
      detail::http::verb::get, "/workers", 11);
  request.set(detail::http::field::host, address);
  request.keep_alive(false);
  const auto [write_ec, n] =
      co_await detail::http::async_write(stream, request, detail::await);
  if (write_ec) co_return failed(write_ec);
  boost::beast::flat_buffer buf;
  detail::http::response_parser<detail::http::string_body> parser;
  parser.body_limit(detail::list_limit);
  const auto [read_ec, m] =
      co_await detail::http::async_read(stream, buf, parser, detail::await);
  if (read_ec) co_return failed(read_ec);
  if (parser.get().result() != detail::http::status::ok) {
    co_return absl::UnavailableError(
        str_cat("the platform's list: status ", parser.get().result_int()));
  }
  co_return parse_workers(parser.get().body());
}

}  // namespace kestrelreel
