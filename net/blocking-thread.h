// A thread for what blocks, such as a disk's syncs.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <utility>

#include "consensus/replica.h"

namespace kestrelreel {

/// Runs work on one thread of its own and returns to the io_context's.
class blocking_thread final : public serial_executor {
 public:
  explicit blocking_thread(boost::asio::io_context& io) : io_(io) {}
  /// Waits for the work under way.
  ~blocking_thread() override { pool_.join(); }

  void run(std::function<absl::Status()> work,
           std::function<void(absl::Status)> done) override {
    boost::asio::post(pool_, [this, work = std::move(work),
                              done = std::move(done)]() mutable {
      absl::Status status = work();
      boost::asio::post(io_, [status = std::move(status),
                              done = std::move(done)] { done(status); });
    });
  }

 private:
  boost::asio::io_context& io_;
  boost::asio::thread_pool pool_{1};
};

}  // namespace kestrelreel
