// The exchange of a holder with a worker over gRPC and, beside it, over plain
// TCP with length-prefixed messages: processor time and memory of each side.
#include <grpcpp/grpcpp.h>

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <memory>
#include <vector>

#include "base/text.h"
#include "net/grpc-server.h"
#include "net/worker-link.h"
#include "support/capacity/slopes.h"

namespace kestrelreel::capacity {
namespace {

using boost::asio::ip::tcp;
constexpr auto await = boost::asio::as_tuple(boost::asio::use_awaitable);

/// A quiet exchange: nothing changed since the last one.
proto::sync_request sample_request() {
  proto::sync_request it;
  it.set_worker("kumluca-w1000");
  it.set_epoch(3);
  it.set_holder("kumluca-1");
  it.set_sequence(123'456);
  it.set_lease_ms(6'000);
  it.set_incarnation("1f2e3d4c5b6a7988");
  it.set_echo_ms(123'456'789);
  it.set_renew_digest(0x1234567812345678);
  it.set_have_report(0x1234567812345678);
  return it;
}

proto::sync_reply sample_reply(const proto::sync_request& request) {
  proto::sync_reply it;
  it.set_worker(request.worker());
  it.set_sequence(request.sequence());
  it.set_epoch(request.epoch());
  it.set_holder(request.holder());
  it.set_incarnation(request.incarnation());
  it.set_clock_ms(request.echo_ms());
  it.set_report_digest(request.have_report());
  return it;
}

class echo_agent final : public proto::worker_agent::CallbackService {
 public:
  grpc::ServerUnaryReactor* sync(grpc::CallbackServerContext* context,
                                 const proto::sync_request* request,
                                 proto::sync_reply* reply) override {
    *reply = sample_reply(*request);
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }
};

std::string framed(const std::string& body) {
  const auto size = static_cast<uint32_t>(body.size());
  std::string out(sizeof(size), '\0');
  std::memcpy(out.data(), &size, sizeof(size));
  return out + body;
}

boost::asio::awaitable<bool> read_frame(tcp::socket& socket,
                                        std::string& body) {
  uint32_t size = 0;
  const auto [ec, n] = co_await boost::asio::async_read(
      socket, boost::asio::buffer(&size, sizeof(size)), await);
  if (ec) co_return false;
  body.resize(size);
  const auto [body_ec, m] = co_await boost::asio::async_read(
      socket, boost::asio::buffer(body), await);
  co_return !body_ec;
}

boost::asio::awaitable<void> serve_tcp(tcp::socket socket) {
  std::string body;
  while (co_await read_frame(socket, body)) {
    proto::sync_request request;
    request.ParseFromString(body);
    const std::string out = framed(sample_reply(request).SerializeAsString());
    const auto [ec, n] = co_await boost::asio::async_write(
        socket, boost::asio::buffer(out), await);
    if (ec) co_return;
  }
}

boost::asio::awaitable<void> accept_tcp(boost::asio::io_context& io,
                                        tcp::acceptor acceptor) {
  for (;;) {
    auto [ec, socket] = co_await acceptor.async_accept(await);
    if (ec) continue;
    boost::asio::co_spawn(io, serve_tcp(std::move(socket)),
                          boost::asio::detached);
  }
}

/// Loopback addresses that all lead to the same server, one for each channel.
std::string address_of(size_t i, const std::string& port) {
  return str_cat("127.1.", i / 250, ".", 1 + i % 250, ":", port);
}

void measure_grpc(const std::string& port, size_t channels, size_t rounds) {
  boost::asio::io_context io(1);
  const double before = resident_bytes();
  grpc_worker_link link(io);
  const proto::sync_request request = sample_request();
  const auto round = [&] {
    size_t answered = 0;
    for (size_t i = 0; i < channels; ++i) {
      link.sync(address_of(i, port), request, [&](auto it) {
        ++answered;
        if (!it.ok())
          std::fprintf(stderr, "%s\n", it.status().ToString().c_str());
      });
    }
    io.restart();
    const auto guard = boost::asio::make_work_guard(io);
    while (answered < channels) io.run_one_for(std::chrono::seconds(3));
  };
  round();
  const double bytes = resident_bytes() - before;
  const double begun = cpu_us();
  for (size_t i = 0; i < rounds; ++i) round();
  const auto calls = static_cast<double>(rounds * channels);
  print_slope("exchange-grpc", (cpu_us() - begun) / calls, "us/exchange");
  print_slope("channel-grpc", bytes / static_cast<double>(channels),
              "B/channel");
}

boost::asio::awaitable<void> exchange_tcp(tcp::socket& socket, std::string out,
                                          size_t& answered) {
  std::string body;
  const auto [ec, n] = co_await boost::asio::async_write(
      socket, boost::asio::buffer(out), await);
  if (ec || !co_await read_frame(socket, body)) co_return;
  proto::sync_reply reply;
  answered += reply.ParseFromString(body) ? 1 : 0;
}

void measure_tcp(const std::string& port, size_t channels, size_t rounds) {
  boost::asio::io_context io(1);
  const double before = resident_bytes();
  std::vector<tcp::socket> sockets;
  for (size_t i = 0; i < channels; ++i) {
    std::string host;
    uint16_t number = 0;
    split_address(address_of(i, port), host, number);
    sockets.emplace_back(io);
    sockets.back().connect(
        tcp::endpoint(boost::asio::ip::make_address(host), number));
    sockets.back().set_option(tcp::no_delay(true));
  }
  const proto::sync_request request = sample_request();
  const auto round = [&] {
    size_t answered = 0;
    for (tcp::socket& it : sockets) {
      boost::asio::co_spawn(
          io, exchange_tcp(it, framed(request.SerializeAsString()), answered),
          boost::asio::detached);
    }
    io.restart();
    io.run();
  };
  round();
  const double bytes = resident_bytes() - before;
  const double begun = cpu_us();
  for (size_t i = 0; i < rounds; ++i) round();
  const auto calls = static_cast<double>(rounds * channels);
  print_slope("exchange-tcp", (cpu_us() - begun) / calls, "us/exchange");
  print_slope("channel-tcp", bytes / static_cast<double>(channels),
              "B/channel");
}

}  // namespace

int serve_exchanges(const std::string& grpc_port, const std::string& tcp_port) {
  echo_agent agent;
  auto server = start_grpc_server("0.0.0.0:" + grpc_port, agent);
  if (!server.ok()) return 1;
  boost::asio::io_context io(1);
  const auto number = static_cast<uint16_t>(std::stoul(tcp_port));
  tcp::acceptor acceptor(io, tcp::endpoint(tcp::v4(), number));
  boost::asio::co_spawn(io, accept_tcp(io, std::move(acceptor)),
                        boost::asio::detached);
  io.run();
  return 0;
}

void measure_exchanges(const std::string& grpc_port,
                       const std::string& tcp_port, size_t channels) {
  constexpr size_t rounds = 20;
  measure_tcp(tcp_port, channels, rounds);
  measure_grpc(grpc_port, channels, rounds);
}

}  // namespace kestrelreel::capacity
