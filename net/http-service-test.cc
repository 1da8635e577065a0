// The server's own 4xx answers say that nothing was taken: they may come only
// where the handler was not called for that request. A connection that ends
// without an answer says nothing.
#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "base/text.h"
#include "net/http-service.h"

using namespace kestrelreel;

namespace {

using boost::asio::ip::tcp;

constexpr const char* service_ip = "127.0.47.1";
const auto service_port = static_cast<uint16_t>(20'000 + getpid() % 10'000);
constexpr std::chrono::seconds http_patience{60};
constexpr uint64_t most_body = 100;

const std::string sound =
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";

}  // namespace

TEST_GROUP(http_service_answers) {
  boot_clock clock;
  metrics_registry metrics;
  memory_budget memory{clock, metrics, "http", {64 << 20}};
  boost::asio::io_context io;
  int calls = 0;
  bool answers = true;
  std::string body;
  std::vector<http_service::respond_function> held;
  std::unique_ptr<http_service> service;
  // What the caller got, and whether the server ended the connection.
  std::string got;
  bool ended = false;
  std::array<char, 4'096> buf{};

  void setup() override {
    service = std::make_unique<http_service>(
        io, memory, "test", [this](const http_call&, const auto& respond) {
          ++calls;
          http_answer answer;
          answer.status = 504;
          answer.body = body;
          if (answers) return respond(answer);
          held.push_back(respond);
        });
    http_limits limits;
    limits.body_bytes = most_body;
    limits.header_bytes = 1'000;
    limits.header_timeout = milliseconds(300);
    limits.connections = 2;
    service->set_limits(limits);
    CHECK_TRUE(service->listen(str_cat(service_ip, ":", service_port)).ok());
  }
  std::unique_ptr<tcp::socket> connect() {
    auto socket = std::make_unique<tcp::socket>(io);
    socket->connect({boost::asio::ip::make_address(service_ip), service_port});
    return socket;
  }
  void read(tcp::socket & socket) {
    socket.async_read_some(boost::asio::buffer(buf),
                           [&](boost::system::error_code ec, size_t n) {
                             got.append(buf.data(), n);
                             ended = static_cast<bool>(ec);
                             if (!ec) read(socket);
                           });
  }
  template <typename Holds>
  bool eventually(const Holds& holds) {
    const auto end = std::chrono::steady_clock::now() + http_patience;
    while (std::chrono::steady_clock::now() < end) {
      if (holds()) return true;
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return false;
  }
  /// Whether it is quiet once what was written has arrived; nothing is read.
  bool becomes(bool quiet) {
    const auto end = std::chrono::steady_clock::now() + http_patience;
    while (service->is_quiet() != quiet) {
      if (std::chrono::steady_clock::now() >= end) return false;
    }
    return true;
  }
  /// Sends the text and reads until the server ends the connection.
  void exchange(const std::string& text, bool closes = false) {
    got.clear();
    ended = false;
    const auto socket = connect();
    boost::asio::write(*socket, boost::asio::buffer(text));
    if (closes) socket->shutdown(tcp::socket::shutdown_send);
    read(*socket);
    CHECK_TRUE(eventually([this] { return ended; }));
  }
  /// The statuses that came, in order.
  std::string statuses() const {
    std::string out;
    const std::string mark = "HTTP/1.1 ";
    for (size_t at = got.find(mark); at != std::string::npos;
         at = got.find(mark, at + 1)) {
      out += (out.empty() ? "" : " ") + got.substr(at + mark.size(), 3);
    }
    return out;
  }
};

TEST(http_service_answers, own_refusals_come_before_the_handler) {
  const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  struct {
    const char* name;
    std::string text;
    const char* statuses;
    int calls;
  } const rows[] = {
      {"no HTTP", "what is this\r\n\r\n", "400", 0},
      {"a bad version", "GET / HTTP/9.9\r\n\r\n", "400", 0},
      {"a bad field", head + "No colon\r\n\r\n", "400", 0},
      {"a bad length", head + "Content-Length: five\r\n\r\nhello", "400", 0},
      {"a long header", head + "X: " + std::string(2'000, 'x') + "\r\n\r\n",
       "431", 0},
      {"a large body", head + "Content-Length: 101\r\n\r\n", "413", 0},
      {"a large body in chunks",
       chunked + "80\r\n" + std::string(0x80, 'x') + "\r\n0\r\n\r\n", "413", 0},
      {"a bad chunk", chunked + "zz\r\nhello\r\n", "400", 0},
      {"a bad one after a sound one", sound + "what is this\r\n\r\n", "504 400",
       1},
      {"a large one after a sound one",
       sound + head + "Content-Length: 101\r\n\r\n", "504 413", 1},
      {"more body than it names", sound + "!" + "\r\n\r\n", "504 400", 1},
  };
  for (const auto& row : rows) {
    calls = 0;
    exchange(row.text);
    STRCMP_EQUAL_TEXT(row.statuses, statuses().c_str(), row.name);
    LONGS_EQUAL_TEXT(row.calls, calls, row.name);
  }
}

// No answer came, and nobody was asked: a caller may only say "unknown".
TEST(http_service_answers, part_of_a_request_is_neither_run_nor_answered) {
  const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\n";
  struct {
    const char* name;
    std::string text;
    bool closes;
  } const rows[] = {
      {"part of a header, in time", head, false},
      {"part of a body, in time", head + "Content-Length: 5\r\n\r\nhel", false},
      {"part of a header, closed", head, true},
      {"part of a body, closed", head + "Content-Length: 5\r\n\r\nhel", true},
      {"part of the chunks, closed",
       head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true},
  };
  for (const auto& row : rows) {
    exchange(row.text, row.closes);
    STRCMP_EQUAL_TEXT("", got.c_str(), row.name);
    LONGS_EQUAL_TEXT(0, calls, row.name);
  }
}

// What the handler has is never answered by the server itself.
TEST(http_service_answers, what_waits_ends_without_an_answer_at_a_close) {
  answers = false;
  const auto socket = connect();
  boost::asio::write(*socket, boost::asio::buffer(sound));
  read(*socket);
  CHECK_TRUE(eventually([this] { return calls == 1; }));
  LONGS_EQUAL(1, service->under_way());
  service->close();
  CHECK_TRUE(eventually([this] { return ended; }));
  STRCMP_EQUAL("", got.c_str());
}

TEST(http_service_answers, one_connection_too_many_is_closed_unread) {
  const auto first = connect();
  const auto second = connect();
  exchange(sound);
  STRCMP_EQUAL("", got.c_str());
  LONGS_EQUAL(0, calls);
}

// A planned stop: what waits is answered by the handler, then the connection
// ends.
TEST(http_service_answers, what_waits_is_answered_by_the_handler_in_a_stop) {
  answers = false;
  const auto socket = connect();
  boost::asio::write(*socket, boost::asio::buffer(sound));
  read(*socket);
  CHECK_TRUE(eventually([this] { return calls == 1; }));
  service->drain();
  http_answer answer;
  answer.status = 504;
  held.at(0)(answer);
  CHECK_TRUE(eventually([this] { return ended; }));
  STRCMP_EQUAL("504", statuses().c_str());
}

// A planned stop ended the process with a request in a socket, unread.
TEST(http_service_answers, arrived_requests_are_served_before_a_stop_ends) {
  struct {
    const char* name;
    std::string text;
    bool accepted;
    bool quiet;
  } const rows[] = {
      {"nothing sent", "", true, true},
      {"a whole request", sound, true, false},
      {"part of a request", sound.substr(0, 10), true, false},
      {"a connection that waits to be accepted", "", false, false},
      {"a request that waits with it", sound, false, false},
  };
  for (const auto& row : rows) {
    CHECK_TRUE_TEXT(eventually([this] { return service->is_quiet(); }),
                    row.name);
    const auto socket = connect();
    if (row.accepted) {
      CHECK_TRUE_TEXT(eventually([this] { return service->is_quiet(); }),
                      row.name);
    }
    boost::asio::write(*socket, boost::asio::buffer(row.text));
    CHECK_TRUE_TEXT(becomes(row.quiet), row.name);
    if (row.text != sound) continue;
    service->drain();
    got.clear();
    ended = false;
    read(*socket);
    CHECK_TRUE(eventually([this] { return ended; }));
    STRCMP_EQUAL_TEXT("504", statuses().c_str(), row.name);
  }
  CHECK_TRUE(eventually([this] { return service->is_quiet(); }));
}

// What is read in part is still to come.
TEST(http_service_answers, request_read_in_part_is_waited_for_in_a_stop) {
  http_limits limits;
  limits.header_timeout = http_patience;
  service->set_limits(limits);
  const auto socket = connect();
  boost::asio::write(*socket, boost::asio::buffer(sound.substr(0, 10)));
  for (int i = 0; i < 5; ++i) io.run_one_for(std::chrono::milliseconds(20));
  CHECK_FALSE(service->is_quiet());
  boost::asio::write(*socket, boost::asio::buffer(sound.substr(10)));
  read(*socket);
  CHECK_TRUE(eventually([this] { return calls == 1; }));
  CHECK_TRUE(eventually([this] { return service->is_quiet(); }));
}

// A silent connection kept its place until it was idle for too long.
TEST(http_service_answers, silent_connections_keep_a_new_one_out) {
  http_limits limits;
  limits.connections = 2;
  limits.header_timeout = http_patience;
  service->set_limits(limits);
  const auto first = connect();
  const auto second = connect();
  boost::asio::write(*second, boost::asio::buffer(sound.substr(0, 10)));
  const std::string once = "GET /a HTTP/1.0\r\n\r\n";
  CHECK_TRUE(eventually([&] {
    exchange(once);
    return statuses() == "504";
  }));
  const metric_labels evicted{{"listener", "test"}, {"what", "evicted"}};
  CHECK_TRUE(metrics.counter("kestrelreel_connections_limited_total", evicted) >
             0);
}

TEST(http_service_answers, large_answers_are_whole) {
  constexpr size_t large_bytes = 1'000'000;
  for (const size_t n : {size_t{0}, size_t{1}, size_t{64 << 10}, large_bytes}) {
    body = std::string(n, 'b');
    exchange("GET /a HTTP/1.0\r\n\r\n");
    STRCMP_EQUAL("504", statuses().c_str());
    const size_t at = got.find("\r\n\r\n");
    CHECK_TRUE(at != std::string::npos);
    CHECK_TRUE(got.substr(at + 4) == body);
  }
}

// A request that is refused for want of memory was not run, and says when to
// come back.
TEST(http_service_answers, spent_memory_is_told) {
  memory.set_limit({100});
  class holder final : public memory_holder {
   public:
    void shed() override {}
  } pinned;
  memory_budget::share taken(memory, pinned, "test");
  CHECK_TRUE(taken.resize(1 << 20));
  taken.pin();
  http_limits limits;
  service->set_limits(limits);
  exchange("POST /a HTTP/1.1\r\nContent-Length: 30000\r\n\r\nhello");
  STRCMP_EQUAL("503", statuses().c_str());
  STRCMP_CONTAINS("Retry-After: 1", got.c_str());
  LONGS_EQUAL(0, calls);
  exchange("POST /a HTTP/1.0\r\nContent-Length: 5\r\n\r\nhello");
  STRCMP_EQUAL("504", statuses().c_str());
}
