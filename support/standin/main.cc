// Stand-in for the platform of one data centre: its list of workers over HTTP
// and the workers' agents over gRPC.
#include <docopt/docopt.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <string>

#include "base/text.h"
#include "net/grpc-server.h"
#include "routing/entry-server.h"
#include "support/standin/worker-pool.h"

namespace kestrelreel::standin {
namespace {

namespace http = boost::beast::http;
constexpr auto await = boost::asio::as_tuple(boost::asio::use_awaitable);

constexpr const char* usage = R"(standin: the platform of one data centre.

Usage:
  standin --name NAME --ip IP --workers N [options]
  standin --help

Options:
  --name NAME      Data centre; workers are called NAME-w0, NAME-w1, ...
  --ip IP          Loopback address to listen on.
  --workers N      How many workers.
  --list-port P    Port of the platform's list. [default: 7600]
  --agent-port P   Port of the workers' agents. [default: 7601]
  --cpu N          Processors of a worker. [default: 32]
  --memory SIZE    Memory of a worker. [default: 125GiB]
  --rack N         Workers in a rack. [default: 8]
)";

/// The platform of one data centre.
class platform {
 public:
  explicit platform(std::map<std::string, docopt::value>& options)
      : ip_(options["--ip"].asString()),
        agent_port_(options["--agent-port"].asString()),
        rack_size_(options["--rack"].asLong()),
        pool_(io_, clock_, ip_) {
    resource_amount capacity;
    capacity.cpu.value =
        static_cast<uint64_t>(options["--cpu"].asLong()) * 1'000;
    capacity.memory = parse_bytes(options["--memory"].asString()).value();
    const std::string name = options["--name"].asString();
    for (long i = 0; i < options["--workers"].asLong(); ++i) {
      const std::string id = str_cat(name, "-w", i);
      order_.push_back(id);
      pool_.add(id, capacity);
    }
    list_port_ = options["--list-port"].asString();
  }

  int run() {
    auto server = start_grpc_server(str_cat(ip_, ":", agent_port_), pool_);
    if (!server.ok()) return fail(server.status());
    auto acceptor = listen_on(io_, str_cat(ip_, ":", list_port_));
    if (!acceptor.ok()) return fail(acceptor.status());
    boost::asio::co_spawn(io_, accept(std::move(*acceptor)),
                          boost::asio::detached);
    boost::asio::co_spawn(io_, tick(), boost::asio::detached);
    boost::asio::signal_set signals(io_, SIGTERM, SIGINT);
    signals.async_wait([this](auto, int) { io_.stop(); });
    io_.run();
    stop_grpc_server(**server);
    return 0;
  }

 private:
  static int fail(const absl::Status& status) {
    std::cerr << "standin: " << status.message() << "\n";
    return 1;
  }

  boost::asio::awaitable<void> tick() {
    boost::asio::steady_timer timer(io_);
    for (;;) {
      timer.expires_after(milliseconds(10));
      co_await timer.async_wait(await);
      pool_.tick();
    }
  }

  boost::asio::awaitable<void> accept(boost::asio::ip::tcp::acceptor it) {
    for (;;) {
      auto [ec, socket] = co_await it.async_accept(await);
      if (ec) continue;
      boost::asio::co_spawn(io_, serve(std::move(socket)),
                            boost::asio::detached);
    }
  }

  std::string answer(std::string_view target) {
    if (target == "/workers") return list();
    if (target == "/counters") return counters_text();
    if (target == "/running") return running();
    constexpr std::string_view leave = "/leave/";
    if (target.starts_with(leave)) {
      const auto it =
          pool_.workers().find(std::string(target.substr(leave.size())));
      if (it != pool_.workers().end()) it->second->set_leaving(true);
    }
    return "{}";
  }

  std::string list() {
    boost::json::array rows;
    for (size_t i = 0; i < order_.size(); ++i) {
      const agent& it = *pool_.workers().at(order_[i]);
      const long rack = static_cast<long>(i) / rack_size_;
      rows.push_back(boost::json::object{
          {"id", it.name()},
          {"address", str_cat(ip_, ":", agent_port_)},
          {"rack", str_cat("rack-", rack)},
          {"cpu", it.capacity().cpu.value / 1'000},
          {"memory", format_bytes(it.capacity().memory)},
          {"accelerators", it.capacity().accelerators.value},
          {"state", it.leaving() ? "leaving" : "live"}});
    }
    return boost::json::serialize(boost::json::object{{"workers", rows}});
  }

  std::string counters_text() {
    const backend_counters& all = counters();
    uint64_t most_runs = 0;
    for (const auto& [key, n] : all.runs_by_key) {
      most_runs = std::max(most_runs, n);
    }
    return boost::json::serialize(
        boost::json::object{{"requests", all.requests},
                            {"most_in_flight", all.most_in_flight},
                            {"most_connections", all.most_connections},
                            {"most_runs_of_a_key", most_runs},
                            {"overfull", pool_.overfull()}});
  }

  std::string running() {
    boost::json::array rows;
    for (const auto& [name, it] : pool_.workers()) {
      for (const auto& [task, held] : it->tasks()) {
        rows.push_back(boost::json::object{
            {"task", task},
            {"worker", name},
            {"attempt", held.order.attempt()},
            {"running", held.phase == proto::task_running}});
      }
    }
    return boost::json::serialize(rows);
  }

  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket) {
    boost::beast::tcp_stream stream(std::move(socket));
    boost::beast::flat_buffer buf;
    for (;;) {
      http::request<http::string_body> request;
      const auto [ec, n] =
          co_await http::async_read(stream, buf, request, await);
      if (ec) co_return;
      http::response<http::string_body> reply(http::status::ok, 11);
      reply.body() = answer(std::string_view(request.target()));
      reply.keep_alive(request.keep_alive());
      reply.prepare_payload();
      const auto [write_ec, m] =
          co_await http::async_write(stream, reply, await);
      if (write_ec || !reply.keep_alive()) co_return;
    }
  }

  boost::asio::io_context io_{1};
  boot_clock clock_;
  std::string ip_;
  std::string list_port_;
  std::string agent_port_;
  long rack_size_;
  std::vector<std::string> order_;
  worker_pool pool_;
};

}  // namespace
}  // namespace kestrelreel::standin

int main(int argc, char** argv) {
  auto options = docopt::docopt(kestrelreel::standin::usage,
                                {argv + 1, argv + argc}, true);
  return kestrelreel::standin::platform(options).run();
}
