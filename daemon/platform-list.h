// Reads the platform's list of live and leaving workers.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "placement/task.h"

namespace kestrelreel {

/// Asks `GET /workers` at that address; the answer is described in
/// docs/INTERFACE.md. A list with any fault in it is refused whole.
boost::asio::awaitable<absl::StatusOr<std::vector<worker_info>>> fetch_workers(
    boost::asio::io_context& io, std::string address);

/// Reads the list's text.
absl::StatusOr<std::vector<worker_info>> parse_workers(const std::string& text);

}  // namespace kestrelreel
