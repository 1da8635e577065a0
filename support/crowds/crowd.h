// Many connections at once that send what they are told and then stay open.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "support/crowds/grpc-upload.h"

namespace kestrelreel::crowds {

/// An IP number and port.
struct endpoint {
  std::string ip;
  uint16_t port = 0;
};

/// What one connection sends: `head`, then `pattern` until `repeated_bytes` of
/// it are sent, then `tail`.
struct transmission {
  std::string head;
  std::string pattern;
  size_t repeated_bytes = 0;
  std::string tail;
  /// A connection that reads nothing holds its peer's answers up; it waits
  /// until one begins to arrive.
  bool reads = true;
  /// Each byte of `tail` goes out by itself.
  bool tail_in_single_bytes = false;
};

/// Connections that are open until this object ends.
class crowd {
 public:
  crowd() = default;
  ~crowd();
  crowd(const crowd&) = delete;
  crowd& operator=(const crowd&) = delete;

  /// Opens `n` connections; each sends `it`. Returns once each connection has
  /// sent all, or was ended by its peer, or nothing has moved for 10 s.
  void send(const endpoint& to, size_t n, const transmission& it);
  /// As `send`, with a gRPC call each.
  void upload(const endpoint& to, size_t n, const partial_message& it);
  /// Ends all connections.
  void leave();
  size_t connected() const { return sockets_.size(); }

 private:
  std::vector<int> open(const endpoint& to, size_t n, bool small_buffer);

  std::vector<int> sockets_;
};

/// One whole exchange of an ordinary client on a connection of its own; the
/// answer's status, or 0 when none came within a second.
unsigned ask(const endpoint& to, const std::string& request);

/// As `ask`, on new connections until the answer has that status, for 10 s at
/// most; false when none had.
bool is_answered(const endpoint& to, const std::string& request,
                 unsigned status);

}  // namespace kestrelreel::crowds
