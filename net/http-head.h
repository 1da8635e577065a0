// How a request is read: its parser, with a connection's limits, and what is
// taken from it.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <string_view>

#include "net/http-service.h"

namespace kestrelreel {

/// Reads one request, head and body.
using http_request_parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

/// To be called before the first byte is read.
void limit_request(http_request_parser& parser, const http_limits& limits);

/// Hands what the buffer holds to the parser. Fails with `need_more` until the
/// request is whole, and with any other error on one that is not sound or whose
/// header, trailers or line of a chunk is larger than the header may be.
boost::system::error_code parse_request(http_request_parser& parser,
                                        boost::beast::flat_buffer& buffer,
                                        const http_limits& limits);

/// Bytes of memory that the fields of a request's header take.
size_t field_bytes(const http_request_parser& parser);

/// The answer to a request that is not sound: 400, 413 or 431; 0 for one that
/// is whole or may become so.
unsigned refusal_of(boost::system::error_code ec);

/// What a request that was read whole asks for; takes its body.
http_call take_call(http_request_parser& parser,
                    std::string_view deadline_header);

}  // namespace kestrelreel
