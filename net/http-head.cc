#include "net/http-head.h"

#include <charconv>
#include <string>
#include <utility>

namespace kestrelreel {
namespace detail {

namespace beast = boost::beast;

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_header_too_large = 431;

uint64_t number_or_zero(std::string_view text) {
  uint64_t n = 0;
  const auto end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, n);
  return result.ec == std::errc() && result.ptr == end ? n : 0;
}

/// The end of a body in chunks, "0", is at least so long. The library's parser
/// ends the process by an assertion when it has seen the "0" and its line's end
/// and is then given a fourth byte alone. Less than this never is the rest of
/// such a request, so that more is still to come.
constexpr size_t least_of_chunks = 5;

/// What a field takes besides its name and value.
constexpr size_t bytes_per_field = 96;

std::string text_of(beast::string_view s) { return {s.data(), s.size()}; }

}  // namespace detail

void limit_request(http_request_parser& parser, const http_limits& limits) {
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
}

boost::system::error_code parse_request(http_request_parser& parser,
                                        boost::beast::flat_buffer& buffer,
                                        const http_limits& limits) {
  namespace http = boost::beast::http;
  const bool in_chunks = parser.is_header_done() && parser.chunked();
  const size_t least = in_chunks ? detail::least_of_chunks : 1;
  if (buffer.size() < least) return http::error::need_more;
  boost::system::error_code ec;
  parser.eager(true);
  buffer.consume(parser.put(buffer.data(), ec));
  if (!ec && !parser.is_done()) ec = http::error::need_more;
  // The library takes no byte of a chunk's line or of the trailers before their
  // end, and its own limits count neither.
  if (ec == http::error::need_more && buffer.size() > limits.header_bytes) {
    ec = http::error::header_limit;
  }
  return ec;
}

size_t field_bytes(const http_request_parser& parser) {
  size_t n = 0;
  for (const auto& it : parser.get().base()) {
    n += detail::bytes_per_field + it.name_string().size() + it.value().size();
  }
  return n;
}

unsigned refusal_of(boost::system::error_code ec) {
  namespace http = boost::beast::http;
  if (!ec || ec == http::error::need_more) return 0;
  if (ec == http::error::body_limit) return detail::status_too_large;
  if (ec == http::error::header_limit) return detail::status_header_too_large;
  return detail::status_bad_request;
}

http_call take_call(http_request_parser& parser,
                    std::string_view deadline_header) {
  namespace http = boost::beast::http;
  auto& request = parser.get();
  http_call call;
  call.method = detail::text_of(request.method_string());
  call.target = detail::text_of(request.target());
  call.host = detail::text_of(request[http::field::host]);
  if (!deadline_header.empty()) {
    const boost::beast::string_view name(deadline_header.data(),
                                         deadline_header.size());
    call.deadline_ms = detail::number_or_zero(detail::text_of(request[name]));
  }
  call.body = std::move(request.body());
  return call;
}

}  // namespace kestrelreel
