#include "wire.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>

namespace review2 {
namespace {

constexpr milliseconds proxy_limit{5'000};
/// Longer than a runner waits for an answer.
constexpr milliseconds silent_for{1'500};
constexpr int backlog = 16;

sockaddr_in to_sockaddr(const std::string& address) {
  const size_t colon = address.find(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(
      static_cast<uint16_t>(std::strtoul(&address[colon + 1], nullptr, 10)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  return out;
}

/// A socket that is closed when it goes out of scope.
class socket_handle {
 public:
  explicit socket_handle(int fd) : fd_(fd) {}
  ~socket_handle() {
    if (fd_ >= 0) ::close(fd_);
  }
  socket_handle(const socket_handle&) = delete;
  socket_handle& operator=(const socket_handle&) = delete;
  int fd() const { return fd_; }

 private:
  int fd_;
};

bool wait_for(int fd, int16_t events, clock_type::time_point until) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(until - clock_type::now());
  if (left.count() <= 0) return false;
  pollfd it{fd, events, 0};
  return ::poll(&it, 1, static_cast<int>(left.count())) > 0;
}

bool send_all(int fd, const std::string& bytes, clock_type::time_point until) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    if (!wait_for(fd, POLLOUT, until)) return false;
    const ssize_t n =
        ::send(fd, &bytes[sent], bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

size_t body_length(const std::string& head) {
  std::string lower = head;
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  constexpr std::string_view name = "content-length:";
  const size_t at = lower.find(name);
  if (at == std::string::npos) return 0;
  return std::strtoull(&lower[at + name.size()], nullptr, 10);
}

/// Reads one message with its body; empty when it does not come whole.
std::string read_message(int fd, clock_type::time_point until) {
  std::string in;
  std::array<char, 16'384> buffer{};
  while (true) {
    const size_t head = in.find("\r\n\r\n");
    if (head != std::string::npos &&
        in.size() >= head + 4 + body_length(in.substr(0, head)))
      return in;
    if (!wait_for(fd, POLLIN, until)) return "";
    const ssize_t n = ::recv(fd, buffer.data(), buffer.size(), 0);
    if (n <= 0) return "";
    in.append(buffer.data(), static_cast<size_t>(n));
  }
}

http_reply to_reply(const std::string& message) {
  constexpr size_t status_at = 9;
  if (message.size() < status_at + 3) return {};
  http_reply out;
  out.status = static_cast<int>(std::strtol(&message[status_at], nullptr, 10));
  out.body = message.substr(message.find("\r\n\r\n") + 4);
  return out;
}

std::string exchange(const std::string& address, const std::string& bytes,
                     milliseconds limit) {
  const auto until = clock_type::now() + limit;
  const socket_handle it(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
  const sockaddr_in to = to_sockaddr(address);
  // Not made at once: a failure shows when the call is sent.
  static_cast<void>(
      ::connect(it.fd(), reinterpret_cast<const sockaddr*>(&to), sizeof(to)));
  if (!send_all(it.fd(), bytes, until)) return "";
  return read_message(it.fd(), until);
}

}  // namespace

http_reply ask(const std::string& address, const http_question& question,
               milliseconds limit) {
  std::string bytes = question.method + " " + question.path + " HTTP/1.1\r\n";
  bytes += "Host: " + question.host + "\r\n";
  bytes += "Connection: close\r\nContent-Type: application/json\r\n";
  bytes += "Content-Length: " + std::to_string(question.body.size());
  bytes += "\r\n\r\n" + question.body;
  return to_reply(exchange(address, bytes, limit));
}

one_call_proxy::one_call_proxy(const std::string& address)
    : listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
  const int on = 1;
  ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in at = to_sockaddr(address);
  // One that is not bound gets no call, which `pass` tells.
  static_cast<void>(
      ::bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof(at)));
  ::listen(listener_, backlog);
}

one_call_proxy::~one_call_proxy() { ::close(listener_); }

int one_call_proxy::pass(const std::string& target, bool silent) const {
  const auto until = clock_type::now() + proxy_limit;
  if (!wait_for(listener_, POLLIN, until)) return 0;
  const socket_handle peer(::accept(listener_, nullptr, nullptr));
  const std::string call = read_message(peer.fd(), until);
  const std::string answer = exchange(target, call, proxy_limit);
  if (silent) {
    read_message(peer.fd(), clock_type::now() + silent_for);
  } else {
    send_all(peer.fd(), answer, until);
  }
  return to_reply(answer).status;
}

bool port_is_free(const std::string& ip, uint16_t port) {
  const socket_handle it(::socket(AF_INET, SOCK_STREAM, 0));
  const sockaddr_in at = to_sockaddr(ip + ":" + std::to_string(port));
  return ::bind(it.fd(), reinterpret_cast<const sockaddr*>(&at), sizeof(at)) ==
         0;
}

}  // namespace review2
