// An entry box with scripted backend servers that refuse, reset, cut, cross or
// stall, and a caller, over real sockets on loopback.
#pragma once

#include <CppUTest/TestHarness.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <string>
#include <vector>

#include "base/text.h"
#include "kernel/log.h"
#include "routing/caller-session.h"
#include "routing/entry-server.h"
#include "routing/headers.h"

namespace kestrelreel::scripted {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr auto await = boost::asio::as_tuple(boost::asio::use_awaitable);

/// What a scripted backend server does with each request.
enum class behaviour {
  answer,
  answer_in_chunks,
  close_at_once,
  close_after_request,
  part_of_header,
  part_of_body,
  another_id,
  refuse,
  fail,
  stall,
  /// Nothing listens at its address.
  absent,
};

/// A backend server that counts the requests that reached it whole.
class scripted_server {
 public:
  scripted_server(boost::asio::io_context& io, behaviour it)
      : acceptor_(io,
                  tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
        behaviour_(it) {
    address = str_cat("127.0.0.1:", acceptor_.local_endpoint().port());
    if (it == behaviour::absent) {
      acceptor_.close();
      return;
    }
    boost::asio::co_spawn(io, accept(), boost::asio::detached);
  }

  std::string address;
  unsigned runs = 0;

 private:
  boost::asio::awaitable<void> accept() {
    for (;;) {
      auto [ec, socket] = co_await acceptor_.async_accept(await);
      if (ec) co_return;
      boost::asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)),
                            boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> serve(tcp::socket socket) {
    if (behaviour_ == behaviour::close_at_once) co_return;
    boost::beast::flat_buffer buf;
    for (;;) {
      http::request<http::string_body> request;
      const auto [ec, n] =
          co_await http::async_read(socket, buf, request, await);
      if (ec) co_return;
      ++runs;
      const std::string text = script(request);
      if (behaviour_ == behaviour::stall) {
        // Ends when the entry box gives up.
        char c = 0;
        co_await socket.async_read_some(boost::asio::buffer(&c, 1), await);
        co_return;
      }
      co_await boost::asio::async_write(socket, boost::asio::buffer(text),
                                        await);
      if (!keeps()) co_return;
    }
  }

  bool keeps() const {
    return behaviour_ == behaviour::answer ||
           behaviour_ == behaviour::answer_in_chunks ||
           behaviour_ == behaviour::refuse || behaviour_ == behaviour::fail;
  }

  std::string script(const http::request<http::string_body>& request) const {
    const std::string id = str_cat(
        "Kestrelreel-Request-Id: ", std::string(request[request_id_header]),
        "\r\n");
    const std::string body = "echo " + request.body();
    const std::string sized =
        str_cat(id, "Content-Length: ", body.size(), "\r\n\r\n");
    switch (behaviour_) {
      case behaviour::answer:
        return str_cat("HTTP/1.1 200 OK\r\n", sized, body);
      case behaviour::answer_in_chunks:
        return str_cat("HTTP/1.1 200 OK\r\n", id,
                       "Transfer-Encoding: chunked\r\n\r\n5\r\necho \r\n",
                       absl::StrCat(absl::Hex(request.body().size())), "\r\n",
                       request.body(), "\r\n0\r\n\r\n");
      case behaviour::part_of_header:
        return "HTTP/1.1 200 OK\r\nConten";
      case behaviour::part_of_body:
        return str_cat("HTTP/1.1 200 OK\r\n", id,
                       "Content-Length: 1000\r\n\r\npart");
      case behaviour::another_id:
        return str_cat("HTTP/1.1 200 OK\r\nKestrelreel-Request-Id: x-1\r\n",
                       "Content-Length: 2\r\n\r\nno");
      case behaviour::refuse:
        return str_cat("HTTP/1.1 503 Busy\r\n", sized, body);
      case behaviour::fail:
        return str_cat("HTTP/1.1 500 Fault\r\n", sized, body);
      default:
        return "";
    }
  }

  tcp::acceptor acceptor_;
  behaviour behaviour_;
};

/// What a caller got.
struct caller_answer {
  /// No whole answer came before the connection ended.
  bool cut = false;
  http::response<http::string_body> it;
};

/// An entry box with scripted backend servers.
struct entry_world {
  explicit entry_world(const std::vector<behaviour>& scripts,
                       bool knows_services = true)
      : router({}, make_round_robin(), random, clock), server(context, 100) {
    CHECK_TRUE(configure_log("error").ok());
    proto::service_spec spec;
    spec.set_name("svc");
    // Long enough for a busy machine; what must time out says so itself.
    spec.set_deadline_ms(20'000);
    spec_items items;
    *items["service/svc"].mutable_service() = spec;
    if (knows_services) router.set_services(items);
    proto::runner_table table;
    for (const behaviour it : scripts) {
      servers.push_back(std::make_unique<scripted_server>(io, it));
      proto::runner& row = *table.add_runners();
      row.set_task(str_cat("t", servers.size()));
      row.set_attempt(1);
      row.set_service("svc");
      row.set_address(servers.back()->address);
      row.set_fixed_slots(8);
    }
    router.set_runners(table, clock.now() + milliseconds(60'000));
    CHECK_TRUE(server.start("127.0.0.1:0").ok());
  }

  /// Sends texts over one connection and reads an answer after each.
  std::vector<caller_answer> call(const std::vector<std::string>& texts) {
    std::vector<caller_answer> answers;
    boost::asio::co_spawn(io, caller(texts, answers),
                          [this](const std::exception_ptr&) { io.stop(); });
    io.run();
    io.restart();
    return answers;
  }

  boost::asio::awaitable<void> caller(std::vector<std::string> texts,
                                      std::vector<caller_answer>& answers) {
    tcp::socket socket(io);
    co_await socket.async_connect(
        tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                      server.port()),
        await);
    boost::beast::flat_buffer buf;
    for (const std::string& text : texts) {
      co_await boost::asio::async_write(socket, boost::asio::buffer(text),
                                        await);
      caller_answer answer;
      const auto [ec, n] =
          co_await http::async_read(socket, buf, answer.it, await);
      answer.cut = static_cast<bool>(ec);
      answers.push_back(std::move(answer));
      if (ec) co_return;
    }
  }

  unsigned runs() const {
    unsigned n = 0;
    for (const auto& it : servers) n += it->runs;
    return n;
  }

  boot_clock clock;
  seeded_random random{1};
  metrics_registry metrics;
  memory_budget memory{clock, metrics, "http", {64 << 20}};
  boost::asio::io_context io{1};
  service_router router;
  connection_cache connections{io};
  entry_context context{io,     router, connections,      clock, metrics,
                        memory, "box",  session_limits(), false};
  entry_server server;
  std::vector<std::unique_ptr<scripted_server>> servers;
};

inline std::string post(const std::string& headers = "",
                        const std::string& path = "/svc/x") {
  return str_cat("POST ", path, " HTTP/1.1\r\nHost: h\r\n", headers,
                 "Content-Length: 5\r\n\r\nhello");
}

}  // namespace kestrelreel::scripted
