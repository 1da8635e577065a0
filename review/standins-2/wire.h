// HTTP/1.1 calls over loopback, each on a connection of its own.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace review2 {

using clock_type = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// A call to one of the system's processes.
struct http_question {
  std::string method;
  std::string path;
  std::string body;
  std::string host = "nony24.example";
};

/// Its answer; status 0 when none came in time or the connection broke.
struct http_reply {
  int status = 0;
  std::string body;
};

/// Sends the call to IP:PORT and waits for the whole answer.
http_reply ask(const std::string& address, const http_question& question,
               milliseconds limit);

/// Listens on an address, takes one connection and passes its call on to
/// `target`. With `silent`, the connection goes silent once the target has the
/// call: it stays open and the answer is lost. Returns the status of the
/// target's answer.
class one_call_proxy {
 public:
  explicit one_call_proxy(const std::string& address);
  ~one_call_proxy();
  one_call_proxy(const one_call_proxy&) = delete;
  one_call_proxy& operator=(const one_call_proxy&) = delete;
  int pass(const std::string& target, bool silent) const;

 private:
  int listener_ = -1;
};

/// True when the port is free on the address.
bool port_is_free(const std::string& ip, uint16_t port);

}  // namespace review2
