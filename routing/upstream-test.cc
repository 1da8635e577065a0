// Answers of backend servers that don't come to an end.
#include <CppUTest/TestHarness.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/text.h"
#include "routing/upstream.h"

using namespace kestrelreel;

namespace {

using boost::asio::ip::tcp;
namespace http = boost::beast::http;
constexpr auto await = boost::asio::as_tuple(boost::asio::use_awaitable);
/// What the sockets' own buffers may take is below it.
constexpr size_t most_sent_bytes = 64 << 20;
constexpr size_t endless_bytes = 256 << 20;
constexpr milliseconds answer_limit{60'000};

struct endless_answer {
  const char* name;
  std::string begin;
};
const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const endless_answer rows[] = {
    {"a chunk's extension", chunked + "5;e="},
    {"trailers", chunked + "0\r\nX-T: "},
};

/// Sends until the connection ends or all is sent; tells how much.
boost::asio::awaitable<void> send_endless(tcp::acceptor& acceptor,
                                          const std::string& begin,
                                          size_t& sent) {
  auto [ec, socket] = co_await acceptor.async_accept(await);
  const std::string block(1 << 16, 'a');
  std::string next = begin;
  while (!ec && sent < endless_bytes) {
    const auto [write_ec, n] = co_await boost::asio::async_write(
        socket, boost::asio::buffer(next), await);
    ec = write_ec;
    sent += n;
    next = block;
  }
}

boost::asio::awaitable<void> read_answer(connection_cache& cache,
                                         const std::string& address,
                                         std::optional<request_error>& error) {
  upstream_exchange it(cache, address);
  upstream_request request(http::verb::get, "/a", 11);
  error = co_await it.begin(request, answer_limit);
  std::vector<char> buf(1 << 14);
  while (!error && !it.answer().is_done()) {
    size_t n = buf.size();
    error = co_await it.read(buf.data(), n);
  }
}

}  // namespace

TEST_GROUP(endless_answers){};

// The buffer of a connection to a backend server grew with an answer that had
// no end.
TEST(endless_answers, fill_the_memory) {
  for (const endless_answer& row : rows) {
    boost::asio::io_context io;
    connection_cache cache(io);
    tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const std::string address =
        str_cat("127.0.0.1:", acceptor.local_endpoint().port());
    size_t sent = 0;
    std::optional<request_error> error;
    boost::asio::co_spawn(io, send_endless(acceptor, row.begin, sent),
                          boost::asio::detached);
    boost::asio::co_spawn(io, read_answer(cache, address, error),
                          boost::asio::detached);
    io.run();
    CHECK_TRUE_TEXT(error.has_value(), row.name);
    CHECK_TRUE_TEXT(error->ran == verdict::may_have_run, row.name);
    CHECK_TRUE_TEXT(sent < most_sent_bytes, row.name);
  }
}
