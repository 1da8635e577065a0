// gRPC calls whose message does not come whole, by hand: a client library sends
// whole messages only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace kestrelreel::crowds {

/// A call, and how much of its message is sent.
struct partial_message {
  /// Such as "/kestrelreel.proto.peer/deliver".
  std::string path;
  /// The length that the message is said to have.
  uint32_t length = 0;
  size_t sent_bytes = 0;
};

/// One HTTP/2 connection with one such call. It is told what arrives and tells
/// what to send, within the peer's windows.
class grpc_upload {
 public:
  explicit grpc_upload(const partial_message& what);

  /// What is to be sent now; empty while the peer's windows are spent, or all
  /// is sent.
  std::string_view pending();
  void sent(size_t n) { out_.erase(0, n); }
  void received(std::string_view bytes);
  bool is_done() const { return out_.empty() && left_ == 0; }

 private:
  void take_frame(uint8_t type, uint8_t flags, uint32_t stream,
                  std::string_view payload);
  void take_settings(std::string_view payload);

  std::string out_;
  std::string in_;
  size_t left_;
  int64_t initial_window_;
  int64_t stream_window_;
  int64_t connection_window_;
};

}  // namespace kestrelreel::crowds
