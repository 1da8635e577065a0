// A timer that calls a function again and again.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <utility>

#include "base/clock.h"

namespace kestrelreel {

/// Calls a function again and again until it ends.
class repeating_timer {
 public:
  explicit repeating_timer(boost::asio::io_context& io) : timer_(io) {}

  /// Calls `work` every `interval` on the io_context's thread.
  void start(milliseconds interval, std::function<void()> work) {
    interval_ = interval;
    work_ = std::move(work);
    arm();
  }
  void stop() { timer_.cancel(); }

 private:
  void arm() {
    timer_.expires_after(interval_);
    timer_.async_wait([this](boost::system::error_code ec) {
      if (ec) return;
      work_();
      arm();
    });
  }

  boost::asio::steady_timer timer_;
  milliseconds interval_{};
  std::function<void()> work_;
};

}  // namespace kestrelreel
