#include "support/crowds/grpc-upload.h"

#include <algorithm>

namespace kestrelreel::crowds {
namespace {

constexpr uint8_t frame_data = 0;
constexpr uint8_t frame_headers = 1;
constexpr uint8_t frame_settings = 4;
constexpr uint8_t frame_ping = 6;
constexpr uint8_t frame_window_update = 8;
constexpr uint8_t flag_ack = 1;
constexpr uint8_t flag_end_headers = 4;
constexpr uint16_t setting_initial_window = 4;
constexpr size_t frame_head_bytes = 9;
constexpr size_t setting_bytes = 6;
constexpr size_t message_head_bytes = 5;
constexpr int64_t default_window = 65'535;
constexpr int64_t most_data_bytes = 16'384;
constexpr uint32_t call_stream = 1;

void append_number(std::string& out, uint32_t n, int bytes) {
  for (int i = bytes - 1; i >= 0; --i) {
    out.push_back(static_cast<char>((n >> (8 * i)) & 0xff));
  }
}

uint32_t number_of(std::string_view bytes) {
  uint32_t n = 0;
  for (const char it : bytes) n = n << 8 | static_cast<uint8_t>(it);
  return n;
}

void append_frame(std::string& out, uint8_t type, uint8_t flags,
                  uint32_t stream, std::string_view payload) {
  append_number(out, static_cast<uint32_t>(payload.size()), 3);
  out.push_back(static_cast<char>(type));
  out.push_back(static_cast<char>(flags));
  append_number(out, stream, 4);
  out += payload;
}

void append_text(std::string& out, std::string_view text) {
  out.push_back(static_cast<char>(text.size()));
  out += text;
}

/// By RFC 7541 without a dynamic table; the numbers are of its static one.
std::string headers_of(const std::string& path) {
  std::string out = "\x83\x86";  // :method POST, :scheme http
  out += "\x04";                 // :path
  append_text(out, path);
  out += "\x01";  // :authority
  append_text(out, "box");
  out += "\x0f\x10";  // content-type
  append_text(out, "application/grpc");
  out.push_back('\0');
  append_text(out, "te");
  append_text(out, "trailers");
  return out;
}

}  // namespace

grpc_upload::grpc_upload(const partial_message& what)
    : out_("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
      left_(what.sent_bytes),
      initial_window_(default_window),
      stream_window_(default_window),
      connection_window_(default_window) {
  append_frame(out_, frame_settings, 0, 0, "");
  append_frame(out_, frame_headers, flag_end_headers, call_stream,
               headers_of(what.path));
  std::string head(1, '\0');
  append_number(head, what.length, 4);
  append_frame(out_, frame_data, 0, call_stream, head);
  stream_window_ -= message_head_bytes;
  connection_window_ -= message_head_bytes;
}

std::string_view grpc_upload::pending() {
  const int64_t window =
      std::min({stream_window_, connection_window_, most_data_bytes,
                static_cast<int64_t>(left_)});
  if (out_.empty() && window > 0) {
    append_frame(out_, frame_data, 0, call_stream,
                 std::string(static_cast<size_t>(window), 'a'));
    stream_window_ -= window;
    connection_window_ -= window;
    left_ -= static_cast<size_t>(window);
  }
  return out_;
}

void grpc_upload::received(std::string_view bytes) {
  in_ += bytes;
  while (in_.size() >= frame_head_bytes) {
    const std::string_view all = in_;
    const size_t n = number_of(all.substr(0, 3));
    if (in_.size() < frame_head_bytes + n) return;
    take_frame(static_cast<uint8_t>(all[3]), static_cast<uint8_t>(all[4]),
               number_of(all.substr(5, 4)), all.substr(frame_head_bytes, n));
    in_.erase(0, frame_head_bytes + n);
  }
}

void grpc_upload::take_frame(uint8_t type, uint8_t flags, uint32_t stream,
                             std::string_view payload) {
  const bool acknowledges = (flags & flag_ack) != 0;
  if (type == frame_window_update) {
    int64_t& window = stream == 0 ? connection_window_ : stream_window_;
    window += number_of(payload);
  } else if (type == frame_settings && !acknowledges) {
    take_settings(payload);
  } else if (type == frame_ping && !acknowledges) {
    append_frame(out_, frame_ping, flag_ack, 0, payload);
  }
}

void grpc_upload::take_settings(std::string_view payload) {
  for (size_t at = 0; at + setting_bytes <= payload.size();
       at += setting_bytes) {
    if (number_of(payload.substr(at, 2)) != setting_initial_window) continue;
    const int64_t window = number_of(payload.substr(at + 2, 4));
    stream_window_ += window - initial_window_;
    initial_window_ = window;
  }
  append_frame(out_, frame_settings, flag_ack, 0, "");
}

}  // namespace kestrelreel::crowds
