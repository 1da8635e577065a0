// Stands on the address at which the boxes know one box, and harms what passes.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <set>
#include <string>

namespace kestrelreel::faults {

/// Which way bytes of open connections are taken and dropped.
enum class silence { towards_box, from_box, both };

/// The way to one box. Not thread-safe.
class link_proxy {
 public:
  /// `known_at` is where the others dial, `box` where it listens.
  link_proxy(boost::asio::io_context& io,
             boost::asio::ip::tcp::endpoint known_at,
             boost::asio::ip::tcp::endpoint box);
  ~link_proxy();

  /// New connections are taken, or refused as by a machine that runs no
  /// process. False when the address can't be had.
  bool take_new_ones(bool it);
  /// What passes in a second, each way; 0 is no limit.
  void limit(size_t bytes_a_second) { rate_ = bytes_a_second; }
  /// Connections that are open now fall silent for good: no byte, no end.
  void silence_open_ones(silence way);
  /// Connections that are open now are reset.
  void reset_open_ones();
  /// What that box dialled here falls silent, and what it dials from now on
  /// stays silent for as long as it is shunned.
  void shun(const std::string& dialler, bool it);

 private:
  class connection;
  using instant = std::chrono::steady_clock::time_point;

  void accept();
  /// Until when bytes that are passed on now take the way whose end that is.
  instant book(instant& free_at, size_t n) const;

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint known_at_;
  boost::asio::ip::tcp::endpoint box_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<connection>> open_;
  std::set<std::string> shunned_;
  size_t rate_ = 0;
  // When each way has carried what was read for it.
  instant towards_free_at_{};
  instant from_free_at_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace kestrelreel::faults
