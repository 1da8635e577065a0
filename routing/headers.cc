#include "routing/headers.h"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <string>
#include <vector>

namespace kestrelreel {

void remove_hop_headers(boost::beast::http::fields& fields) {
  namespace http = boost::beast::http;
  std::vector<std::string> named;
  for (const auto& token : http::token_list(fields[http::field::connection])) {
    named.emplace_back(token);
  }
  for (const std::string& it : named) fields.erase(it);
  for (const http::field it :
       {http::field::connection, http::field::keep_alive,
        http::field::proxy_authenticate, http::field::proxy_authorization,
        http::field::proxy_connection, http::field::te, http::field::trailer,
        http::field::transfer_encoding, http::field::upgrade}) {
    fields.erase(it);
  }
}

}  // namespace kestrelreel
