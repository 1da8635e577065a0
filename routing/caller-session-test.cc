// What callers are told at each boundary of an exchange, over real sockets on
// loopback: scripted backend servers that refuse, reset, cut, cross or stall.
#include "routing/caller-session.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "base/text.h"
#include "kernel/log.h"
#include "routing/entry-server.h"
#include "routing/headers.h"

using namespace kestrelreel;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

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

  boost::asio::io_context io{1};
  steady_clock clock;
  seeded_random random{1};
  metrics_registry metrics;
  service_router router;
  connection_cache connections{io};
  entry_context context{io,      router, connections,      clock,
                        metrics, "box",  session_limits(), false};
  entry_server server;
  std::vector<std::unique_ptr<scripted_server>> servers;
};

std::string post(const std::string& headers = "",
                 const std::string& path = "/svc/x") {
  return str_cat("POST ", path, " HTTP/1.1\r\nHost: h\r\n", headers,
                 "Content-Length: 5\r\n\r\nhello");
}

struct boundary_row {
  const char* name;
  behaviour script;
  int status;
  const char* verdict;
  const char* reason;
  unsigned runs;
};

}  // namespace

TEST_GROUP(caller_session){};

TEST(caller_session, each_boundary_has_its_verdict) {
  const boundary_row rows[] = {
      {"whole answer", behaviour::answer, 200, "", "", 1},
      {"whole answer in chunks", behaviour::answer_in_chunks, 200, "", "", 1},
      {"server error", behaviour::fail, 500, "", "", 1},
      {"nothing listens", behaviour::absent, 502, "not-run", "connect-failed",
       0},
      {"closed before the request", behaviour::close_at_once, 502,
       "may-have-run", "*", 0},
      {"closed after the request", behaviour::close_after_request, 502,
       "may-have-run", "no-answer", 1},
      {"part of a header", behaviour::part_of_header, 502, "may-have-run",
       "no-answer", 1},
      {"another request's answer", behaviour::another_id, 502, "may-have-run",
       "crossed-answer", 1},
      {"refused by the server", behaviour::refuse, 503, "not-run",
       "runner-refused", 1},
      {"no answer in time", behaviour::stall, 504, "may-have-run", "deadline",
       1},
  };
  for (const boundary_row& row : rows) {
    entry_world world({row.script});
    const bool stalls = row.script == behaviour::stall;
    const auto answer =
        world.call({post(stalls ? "Kestrelreel-Deadline: 200ms\r\n" : "")})
            .at(0);
    CHECK_FALSE_TEXT(answer.cut, row.name);
    CHECK_EQUAL_TEXT(row.status, static_cast<int>(answer.it.result_int()),
                     row.name);
    STRCMP_EQUAL_TEXT(row.verdict,
                      std::string(answer.it[verdict_header]).c_str(), row.name);
    const std::string reason(answer.it[reason_header]);
    if (std::string(row.reason) != "*") {
      STRCMP_EQUAL_TEXT(row.reason, reason.c_str(), row.name);
    }
    CHECK_EQUAL_TEXT(row.runs, world.runs(), row.name);
    if (row.status == 200) STRCMP_EQUAL("echo hello", answer.it.body().c_str());
  }
}

TEST(caller_session, an_answer_cut_short_is_never_passed_off_as_whole) {
  entry_world world({behaviour::part_of_body});
  CHECK_TRUE(world.call({post()}).at(0).cut);
}

TEST(caller_session, only_what_may_be_repeated_is_tried_again) {
  struct {
    const char* name;
    behaviour first;
    const char* headers;
    int status;
    unsigned runs;
  } const rows[] = {
      {"not repeatable, may have run", behaviour::close_after_request, "", 502,
       1},
      {"repeatable, may have run", behaviour::close_after_request,
       "Kestrelreel-Repeatable: yes\r\n", 200, 2},
      {"not repeatable, not run", behaviour::absent, "", 200, 1},
      {"not repeatable, refused", behaviour::refuse, "", 200, 2},
      {"repeatable, crossed", behaviour::another_id,
       "Kestrelreel-Repeatable: yes\r\n", 200, 2},
  };
  for (const auto& row : rows) {
    entry_world world({row.first, behaviour::answer});
    const auto answer = world.call({post(row.headers)}).at(0);
    CHECK_EQUAL_TEXT(row.status, static_cast<int>(answer.it.result_int()),
                     row.name);
    CHECK_EQUAL_TEXT(row.runs, world.runs(), row.name);
  }
}

TEST(caller_session, faulty_requests_are_refused_before_they_run) {
  struct {
    std::string text;
    int status;
    const char* reason;
  } const rows[] = {
      {post("", "/other/x"), 404, "unknown-service"},
      {post("", "/"), 404, "unknown-service"},
      {post("Kestrelreel-Deadline: soon\r\n"), 400, "bad-deadline"},
      {post("Kestrelreel-Deadline: 0ms\r\n"), 400, "bad-deadline"},
      {post("Kestrelreel-Class: vip\r\n"), 400, "bad-class"},
      {post("Kestrelreel-Repeatable: perhaps\r\n"), 400, "bad-repeatable"},
      {"GET /svc/x HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n",
       431, "header-too-large"},
      {"POST /svc/x HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n", 413,
       "body-too-large"},
      {"what is this\r\n\r\n", 400, "bad-request"},
  };
  for (const auto& row : rows) {
    entry_world world({behaviour::answer});
    const auto answer = world.call({row.text}).at(0);
    const std::string name = row.text.substr(0, 60);
    CHECK_EQUAL_TEXT(row.status, static_cast<int>(answer.it.result_int()),
                     name.c_str());
    STRCMP_EQUAL_TEXT(row.reason, std::string(answer.it[reason_header]).c_str(),
                      name.c_str());
    STRCMP_EQUAL("not-run", std::string(answer.it[verdict_header]).c_str());
    CHECK_EQUAL(0, world.runs());
  }
}

TEST(caller_session, a_box_that_knows_no_services_yet_says_so) {
  entry_world world({}, false);
  const auto answer = world.call({post()}).at(0);
  CHECK_EQUAL(503, static_cast<int>(answer.it.result_int()));
  STRCMP_EQUAL("catching-up", std::string(answer.it[reason_header]).c_str());
}

TEST(caller_session, a_connection_serves_many_requests) {
  entry_world world({behaviour::answer});
  const auto answers =
      world.call({post(), post(), post("", "/other/x"), post()});
  CHECK_EQUAL(4, answers.size());
  CHECK_EQUAL(404, static_cast<int>(answers[2].it.result_int()));
  STRCMP_EQUAL("echo hello", answers[3].it.body().c_str());
}

TEST(caller_session, headers_of_one_connection_are_not_passed_on) {
  http::fields fields;
  fields.set(http::field::connection, "X-Mine, keep-alive");
  fields.set("X-Mine", "1");
  fields.set(http::field::keep_alive, "5");
  fields.set("X-Other", "2");
  remove_hop_headers(fields);
  CHECK_EQUAL(0, fields.count("X-Mine"));
  CHECK_EQUAL(0, fields.count(http::field::keep_alive));
  CHECK_EQUAL(0, fields.count(http::field::connection));
  CHECK_EQUAL(1, fields.count("X-Other"));
}
