// A box's connections to one other box of the mesh.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <vector>

#include "net/call-table.h"
#include "net/peer-mesh.h"

namespace kestrelreel {

/// The present connection, those that were replaced, and what waits for the
/// next one.
struct peer_mesh::link {
  explicit link(boost::asio::io_context& io) : socket(io), timer(io) {}
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  stream_pointer stream;
  connection_number connection;
  bool dialling = false;
  std::optional<time_point> lost_at;
  std::vector<fleet::fleet_frame> waiting;
  size_t waiting_bytes = 0;
  call_table calls;
  // Looks since something was sent without anything having come.
  bool awaits = false;
  unsigned looks = 0;
  unsigned looks_behind = 0;
  struct retired_stream {
    stream_pointer stream;
    connection_number connection;
    time_point until;
  };
  std::vector<retired_stream> retired;
};

}  // namespace kestrelreel
