// Requests on one connection, as the HTTP server reads them: one that is not
// sound is refused with 400, 413 or 431 and nothing is read after it; one that
// is handed on was read whole, however its bytes arrive.
#include <algorithm>
#include <boost/beast/core.hpp>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <utility>
#include <vector>

#include "net/http-head.h"

using namespace kestrelreel;

namespace {

namespace beast = boost::beast;

/// What a connection came to.
struct outcome {
  std::vector<http_call> calls;
  unsigned refusal = 0;
};

void check(const http_request_parser& parser, const http_call& call,
           const http_limits& limits) {
  const bool whole = parser.is_header_done() && parser.is_done();
  const bool sound = !call.method.empty() && !call.target.empty() &&
                     call.target.size() <= limits.header_bytes &&
                     call.host.size() <= limits.header_bytes &&
                     call.body.size() <= limits.body_bytes;
  if (!whole || !sound) std::abort();
}

/// What waits for more bytes is within the limits.
void check_kept(http_request_parser& parser, const beast::flat_buffer& buffer,
                boost::system::error_code ec, const http_limits& limits) {
  if (ec != beast::http::error::need_more) return;
  const bool within = buffer.size() <= limits.header_bytes &&
                      parser.get().body().size() <= limits.body_bytes;
  if (!within) std::abort();
}

/// The bytes arrive in pieces, and the connection ends after them.
boost::system::error_code read_one(http_request_parser& parser,
                                   beast::flat_buffer& buffer,
                                   std::string_view& bytes, size_t piece) {
  const http_limits limits;
  limit_request(parser, limits);
  while (true) {
    const auto ec = parse_request(parser, buffer, limits);
    check_kept(parser, buffer, ec, limits);
    if (ec != beast::http::error::need_more || bytes.empty()) return ec;
    const size_t n = std::min(piece, bytes.size());
    buffer.commit(boost::asio::buffer_copy(
        buffer.prepare(n), boost::asio::buffer(bytes.data(), n)));
    bytes.remove_prefix(n);
  }
}

outcome read_all(std::string_view bytes, size_t piece) {
  beast::flat_buffer buffer;
  outcome all;
  while (true) {
    http_request_parser parser;
    const auto ec = read_one(parser, buffer, bytes, piece);
    all.refusal = refusal_of(ec);
    if (ec) break;
    const bool keep_alive = parser.get().keep_alive();
    all.calls.push_back(take_call(parser, "X-Deadline-Ms"));
    check(parser, all.calls.back(), http_limits());
    if (!keep_alive) break;
  }
  if (all.refusal != 0 && all.refusal != 400 && all.refusal != 413 &&
      all.refusal != 431) {
    std::abort();
  }
  return all;
}

bool alike(const http_call& a, const http_call& b) {
  return a.method == b.method && a.target == b.target && a.host == b.host &&
         a.deadline_ms == b.deadline_ms && a.body == b.body;
}

/// The parser's limit on a head counts the first line where the head comes in
/// pieces, and may leave it out where it has all: by so much a refusal for the
/// head's size may come to one and not to the other.
bool same_calls(const outcome& a, const outcome& b) {
  constexpr unsigned too_large = 431;
  const size_t n = std::min(a.calls.size(), b.calls.size());
  if (!std::equal(a.calls.begin(), a.calls.begin() + static_cast<long>(n),
                  b.calls.begin(), alike)) {
    return false;
  }
  const outcome& shorter = a.calls.size() < b.calls.size() ? a : b;
  return a.calls.size() == b.calls.size() || shorter.refusal == too_large;
}

}  // namespace

// The name that the library calls.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const outcome at_once = read_all(bytes, bytes.size());
  const size_t piece = 1 + size % 7;
  const outcome in_pieces = read_all(bytes, piece);
  // Of a head's faults the first one seen is told, which may be another one, or
  // none before the connection ends, where the bytes come in pieces.
  if (!same_calls(at_once, in_pieces)) {
    std::abort();
  }
  return 0;
}
