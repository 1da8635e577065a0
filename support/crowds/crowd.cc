#include "support/crowds/crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <string_view>
#include <thread>

namespace kestrelreel::crowds {
namespace {

using std::chrono::steady_clock;

/// A little buffer, so that answers that aren't read stay with their sender.
constexpr int receive_buffer_bytes = 4'096;
constexpr size_t piece_bytes = 64 << 10;
constexpr std::chrono::seconds quiet_limit{10};
constexpr std::chrono::seconds answer_limit{1};
constexpr std::chrono::milliseconds retry_pause{50};
constexpr std::chrono::milliseconds byte_pause{2};
constexpr int poll_ms = 50;

sockaddr_in address_of(const endpoint& to) {
  sockaddr_in it{};
  it.sin_family = AF_INET;
  it.sin_port = htons(to.port);
  ::inet_pton(AF_INET, to.ip.c_str(), &it.sin_addr);
  return it;
}

/// A socket that is connecting or connected; -1 when there is none.
int open_to(const endpoint& to, bool small_buffer) {
  const int fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (small_buffer) {
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                 sizeof(receive_buffer_bytes));
  }
  const sockaddr_in address = address_of(to);
  const int result = ::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                               sizeof(address));
  if (result == 0 || errno == EINPROGRESS) return fd;
  ::close(fd);
  return -1;
}

/// One connection, and how far it is with what it sends.
class sender {
 public:
  explicit sender(int fd, bool awaits_answer = false)
      : fd_(fd), awaits_answer_(awaits_answer) {}
  virtual ~sender() = default;

  int fd() const { return fd_; }
  bool is_done() const { return ended_ || (all_sent() && !awaits_answer_); }
  bool is_ended() const { return ended_; }
  bool wants_to_send() const { return !ended_ && !all_sent(); }

  /// True when bytes went out or the connection has ended.
  bool send_some() {
    const std::string_view part = next();
    if (part.empty()) return false;
    const ssize_t n =
        ::send(fd_, part.data(), part.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) sent(static_cast<size_t>(n));
    if (n > 0 && part.size() == 1) std::this_thread::sleep_for(byte_pause);
    if (n < 0 && errno != EAGAIN && errno != ENOTCONN) ended_ = true;
    return n > 0 || ended_;
  }

  /// An answer has begun to arrive.
  void answered() { awaits_answer_ = false; }

  /// What has arrived; empty when nothing has.
  std::string receive_some() {
    std::array<char, 4'096> buf{};
    const ssize_t n = ::recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n == 0 || (n < 0 && errno != EAGAIN)) ended_ = true;
    std::string bytes(buf.data(), n > 0 ? static_cast<size_t>(n) : 0);
    received(bytes);
    return bytes;
  }

 protected:
  virtual bool all_sent() const = 0;
  virtual std::string_view next() = 0;
  virtual void sent(size_t n) = 0;
  virtual void received(std::string_view bytes) = 0;

 private:
  int fd_;
  bool awaits_answer_;
  bool ended_ = false;
};

/// Sends a transmission.
class plain_sender final : public sender {
 public:
  plain_sender(int fd, const transmission& what, const std::string& block)
      : sender(fd, !what.reads), what_(what), block_(block) {}

 protected:
  bool all_sent() const override { return sent_ == total(); }
  void sent(size_t n) override { sent_ += n; }
  void received(std::string_view /*bytes*/) override {}
  std::string_view next() override {
    const size_t head = what_.head.size();
    if (sent_ < head) return std::string_view(what_.head).substr(sent_);
    const size_t repeated = sent_ - head;
    if (repeated < what_.repeated_bytes) {
      const size_t at = repeated % block_.size();
      const size_t left = what_.repeated_bytes - repeated;
      return std::string_view(block_).substr(at, left);
    }
    const size_t at = repeated - what_.repeated_bytes;
    return std::string_view(what_.tail)
        .substr(at, what_.tail_in_single_bytes ? 1 : std::string::npos);
  }

 private:
  size_t total() const {
    return what_.head.size() + what_.repeated_bytes + what_.tail.size();
  }

  const transmission& what_;
  const std::string& block_;
  size_t sent_ = 0;
};

/// Sends a part of a gRPC message.
class grpc_sender final : public sender {
 public:
  grpc_sender(int fd, const partial_message& what) : sender(fd), it_(what) {}

 protected:
  bool all_sent() const override { return it_.is_done(); }
  std::string_view next() override { return it_.pending(); }
  void sent(size_t n) override { it_.sent(n); }
  void received(std::string_view bytes) override { it_.received(bytes); }

 private:
  grpc_upload it_;
};

using sender_list = std::vector<std::unique_ptr<sender>>;

/// Whole patterns, so that a repetition can begin anywhere in it.
std::string block_of(const std::string& pattern) {
  std::string block;
  while (!pattern.empty() && block.size() < piece_bytes) block += pattern;
  return block;
}

bool move_all(sender_list& senders, bool reads) {
  std::vector<pollfd> polled;
  for (const auto& it : senders) {
    const short events = it->wants_to_send() ? POLLIN | POLLOUT : POLLIN;
    const bool over = it->is_ended() || (it->is_done() && !reads);
    polled.push_back({over ? -1 : it->fd(), events, 0});
  }
  ::poll(polled.data(), polled.size(), poll_ms);
  bool moved = false;
  for (size_t i = 0; i < senders.size(); ++i) {
    sender& it = *senders[i];
    const bool broken = (polled[i].revents & (POLLERR | POLLHUP)) != 0;
    const bool arrived = (polled[i].revents & POLLIN) != 0;
    if (arrived && !reads) it.answered();
    if (broken || (arrived && reads)) {
      moved = !it.receive_some().empty() || moved;
    }
    if ((polled[i].revents & POLLOUT) != 0) moved = it.send_some() || moved;
  }
  return moved;
}

bool all_done(const sender_list& senders) {
  return std::all_of(senders.begin(), senders.end(),
                     [](const auto& it) { return it->is_done(); });
}

void move_until_done(sender_list& senders, bool reads) {
  auto moved_at = steady_clock::now();
  while (!all_done(senders)) {
    const auto now = steady_clock::now();
    if (move_all(senders, reads)) moved_at = now;
    if (now - moved_at > quiet_limit) return;
  }
}

unsigned status_of(std::string_view answer) {
  constexpr std::string_view version = "HTTP/1.1 ";
  if (!answer.starts_with(version)) return 0;
  constexpr size_t digits = 3;
  return static_cast<unsigned>(
      std::atoi(std::string(answer.substr(version.size(), digits)).c_str()));
}

}  // namespace

crowd::~crowd() { leave(); }

void crowd::send(const endpoint& to, size_t n, const transmission& it) {
  const std::string block = block_of(it.pattern);
  sender_list senders;
  for (const int fd : open(to, n, !it.reads)) {
    senders.push_back(std::make_unique<plain_sender>(fd, it, block));
  }
  move_until_done(senders, it.reads);
}

void crowd::upload(const endpoint& to, size_t n, const partial_message& it) {
  sender_list senders;
  for (const int fd : open(to, n, false)) {
    senders.push_back(std::make_unique<grpc_sender>(fd, it));
  }
  move_until_done(senders, true);
}

std::vector<int> crowd::open(const endpoint& to, size_t n, bool small_buffer) {
  std::vector<int> opened;
  for (size_t i = 0; i < n; ++i) {
    const int fd = open_to(to, small_buffer);
    if (fd >= 0) opened.push_back(fd);
  }
  sockets_.insert(sockets_.end(), opened.begin(), opened.end());
  return opened;
}

void crowd::leave() {
  for (const int it : sockets_) ::close(it);
  sockets_.clear();
}

unsigned ask(const endpoint& to, const std::string& request) {
  transmission it;
  it.head = request;
  const std::string none;
  const int fd = open_to(to, false);
  if (fd < 0) return 0;
  plain_sender out(fd, it, none);
  std::string answer;
  const auto end = steady_clock::now() + answer_limit;
  while (steady_clock::now() < end &&
         answer.find("\r\n") == std::string::npos) {
    pollfd polled{fd, POLLIN, 0};
    if (!out.is_done()) polled.events |= POLLOUT;
    ::poll(&polled, 1, poll_ms);
    if (!out.is_done()) out.send_some();
    answer += out.receive_some();
    if (out.is_ended()) break;
  }
  ::close(fd);
  return status_of(answer);
}

bool is_answered(const endpoint& to, const std::string& request,
                 unsigned status) {
  const auto end = steady_clock::now() + quiet_limit;
  while (steady_clock::now() < end) {
    if (ask(to, request) == status) return true;
    std::this_thread::sleep_for(retry_pause);
  }
  return false;
}

}  // namespace kestrelreel::crowds
