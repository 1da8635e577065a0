// Requests as they are read, however their bytes arrive.
//
// Found by fuzzing: a body in chunks that is empty, of which the end came by
// single bytes, ended the process by an assertion of the library where
// assertions are built in.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <string>
#include <string_view>

#include "net/http-head.h"

using namespace kestrelreel;

namespace {

struct outcome {
  bool whole = false;
  unsigned refusal = 0;
  http_call call;
};

outcome read(std::string_view bytes, size_t piece) {
  http_limits limits;
  limits.header_bytes = 120;
  limits.body_bytes = 10;
  http_request_parser parser;
  limit_request(parser, limits);
  boost::beast::flat_buffer buffer;
  boost::system::error_code ec = boost::beast::http::error::need_more;
  while (ec == boost::beast::http::error::need_more && !bytes.empty()) {
    const size_t n = std::min(piece, bytes.size());
    buffer.commit(boost::asio::buffer_copy(
        buffer.prepare(n), boost::asio::buffer(bytes.data(), n)));
    bytes.remove_prefix(n);
    ec = parse_request(parser, buffer, limits);
  }
  outcome it;
  it.whole = !ec;
  it.refusal = refusal_of(ec);
  if (it.whole) it.call = take_call(parser, "X-Wait-Ms");
  return it;
}

struct row {
  const char* name;
  std::string bytes;
  bool whole;
  unsigned refusal;
  const char* method;
  const char* body;
  uint64_t deadline_ms;
};
const std::string chunks =
    "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
const row rows[] = {
    {"no body", "GET /a HTTP/1.1\r\nX-Wait-Ms: 80\r\n\r\n", true, 0, "GET", "",
     80},
    {"a wait that is no number", "GET /a HTTP/1.1\r\nX-Wait-Ms: 8s\r\n\r\n",
     true, 0, "GET", "", 0},
    {"a body", post + "Content-Length: 3\r\n\r\nabc", true, 0, "POST", "abc",
     0},
    {"chunks", chunks + "2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n", true, 0, "PUT",
     "abc", 0},
    {"no chunks", chunks + "0\r\n\r\n", true, 0, "PUT", "", 0},
    {"chunks and a trailer", chunks + "1\r\na\r\n0\r\nT: u\r\n\r\n", true, 0,
     "PUT", "a", 0},
    {"chunks cut short", chunks + "2\r\nab\r\n0\r\n", false, 0, "", "", 0},
    {"a body cut short", post + "Content-Length: 3\r\n\r\nab", false, 0, "", "",
     0},
    {"a head cut short", post, false, 0, "", "", 0},
    {"nothing", "", false, 0, "", "", 0},
    {"no method", " / HTTP/1.1\r\n\r\n", false, 400, "", "", 0},
    {"two lengths", post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\na",
     false, 400, "", "", 0},
    {"a length and chunks",
     post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     false, 400, "", "", 0},
    {"a chunk without a length", chunks + "xy\r\n0\r\n\r\n", false, 400, "", "",
     0},
    {"a body over the limit", post + "Content-Length: 11\r\n\r\n", false, 413,
     "", "", 0},
    {"chunks over the limit", chunks + "6\r\nabcdef\r\n5\r\nabcde\r\n0\r\n\r\n",
     false, 413, "", "", 0},
    {"trailers without an end",
     chunks + "0\r\nT: u\r\n" + std::string(120, 'T') + ": u\r\n", false, 431,
     "", "", 0},
    {"a trailer's line without an end",
     chunks + "0\r\nT: " + std::string(120, 'u'), false, 431, "", "", 0},
    {"a chunk's extension without an end",
     chunks + "2;x=" + std::string(120, 'y'), false, 431, "", "", 0},
    {"a head over the limit", post + "X: " + std::string(120, 'x') + "\r\n\r\n",
     false, 431, "", "", 0},
};

}  // namespace

TEST_GROUP(http_head){};

TEST(http_head, what_becomes_of_a_request) {
  for (const row& it : rows) {
    for (const size_t piece : {size_t{1}, size_t{2}, size_t{3}, size_t{500}}) {
      const outcome found = read(it.bytes, piece);
      CHECK_EQUAL_TEXT(it.whole, found.whole, it.name);
      CHECK_EQUAL_TEXT(it.refusal, found.refusal, it.name);
      STRCMP_EQUAL_TEXT(it.method, found.call.method.c_str(), it.name);
      STRCMP_EQUAL_TEXT(it.body, found.call.body.c_str(), it.name);
      CHECK_EQUAL_TEXT(it.deadline_ms, found.call.deadline_ms, it.name);
    }
  }
}
