// The HTTP headers that kestrelreel reads and sets; docs/INTERFACE.md lists
// them for callers and backend servers.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <string_view>

namespace kestrelreel {

/// From callers: who asks, for fairness and metrics.
inline constexpr std::string_view tenant_header = "Kestrelreel-Tenant";
/// From callers: `latency-critical` (the default) or `batch`.
inline constexpr std::string_view class_header = "Kestrelreel-Class";
/// From callers: how long an answer is of use, such as `250ms`.
inline constexpr std::string_view deadline_header = "Kestrelreel-Deadline";
/// From callers: `yes` or `no`; overrides what the method implies.
inline constexpr std::string_view repeatable_header = "Kestrelreel-Repeatable";
/// To and from backend servers: names the exchange. An answer that names
/// another one is given to nobody.
inline constexpr std::string_view request_id_header = "Kestrelreel-Request-Id";
/// To callers, on errors: `not-run`, `may-have-run` or `ran`.
inline constexpr std::string_view verdict_header = "Kestrelreel-Verdict";
/// To callers, on errors: a short fixed word.
inline constexpr std::string_view reason_header = "Kestrelreel-Reason";
/// To callers, on refusals: when to come back, finer than `Retry-After`.
inline constexpr std::string_view retry_after_header =
    "Kestrelreel-Retry-After-Ms";

/// Takes out the headers that belong to one connection (RFC 9110, 7.6.1) and
/// those that the library sets anew.
void remove_hop_headers(boost::beast::http::fields& fields);

}  // namespace kestrelreel
