// Stand-in for a service's backend server: answers each request with an echo
// of its body, and counts what runs and how many requests are in flight.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace kestrelreel::standin {

/// What all backend servers of a process saw; read by the checks at the end.
struct backend_counters {
  uint64_t requests = 0;
  uint32_t most_in_flight = 0;
  uint32_t most_connections = 0;
  /// Runs by the caller's key, where it sent one.
  std::map<std::string, uint64_t> runs_by_key;
};

/// The counters of this process.
backend_counters& counters();

/// A backend server on a port of its own.
class backend_server {
 public:
  backend_server(boost::asio::io_context& io, const std::string& ip,
                 std::string task);
  ~backend_server();
  /// Where it listens, `IP:PORT`.
  std::string address() const;

 private:
  struct shared_state;
  static boost::asio::awaitable<void> accept(
      std::shared_ptr<shared_state> state);
  static boost::asio::awaitable<void> serve(
      std::shared_ptr<shared_state> state, boost::asio::ip::tcp::socket socket);

  std::shared_ptr<shared_state> state_;
};

}  // namespace kestrelreel::standin
