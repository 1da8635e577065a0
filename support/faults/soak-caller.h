// Stand-in callers and the operator of a soak.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "support/faults/history.h"
#include "support/faults/http-connection.h"

namespace kestrelreel::faults {

/// Hands in one job after the other, each with up to some tries, at any entry
/// box, as the platform's callers do; cancels some that were taken, reads how
/// others stand, and keeps each answer. Uses its connections until they fail.
class soak_caller {
 public:
  soak_caller(boost::asio::io_context& io, clock_source& clock,
              const std::vector<std::string>& entries, history& seen,
              uint64_t seed, size_t text_bytes = 0);
  /// Calls until `until`, then reads the states of some that were taken.
  boost::asio::awaitable<void> run(time_point until);

 private:
  struct call_answer {
    try_record call;
    http_reply reply;
  };
  /// How a job goes on that was taken.
  enum class intent { to_end, cancel_short, cancel_long };

  /// True when it was taken.
  boost::asio::awaitable<bool> hand_in(const job_name& job,
                                       const std::string& body);
  boost::asio::awaitable<void> cancel(const job_name& job);
  boost::asio::awaitable<void> read_state_of_one();
  /// Any entry box.
  boost::asio::awaitable<call_answer> call(http_question question);
  std::string make_body(const job_name& job, intent meant);
  job_name draw_name();
  intent draw_intent();

  boost::asio::io_context& io_;
  clock_source& clock_;
  std::vector<std::unique_ptr<http_connection>> entries_;
  history& seen_;
  seeded_random random_;
  // So long a job's text is at least.
  size_t text_bytes_;
  std::vector<job_name> taken_;
};

/// Sends a configuration until it is acknowledged, then a newer one, and reads.
/// Several race; each takes versions of its own.
class soak_operator {
 public:
  /// The operator of that number among so many.
  struct place_in_line {
    uint64_t number = 0;
    uint64_t of = 1;
  };
  soak_operator(boost::asio::io_context& io, clock_source& clock,
                const std::vector<std::string>& controls, history& seen,
                uint64_t seed, place_in_line place);
  /// Sends one; true once it is acknowledged.
  boost::asio::awaitable<bool> found(milliseconds patience);
  boost::asio::awaitable<void> run(time_point until);
  /// Reads the newest; false when none comes.
  boost::asio::awaitable<bool> read_once(milliseconds patience);

 private:
  boost::asio::awaitable<bool> send(config_number version,
                                    milliseconds patience);
  config_number next_version() const;
  http_connection& any();

  boost::asio::io_context& io_;
  clock_source& clock_;
  std::vector<std::unique_ptr<http_connection>> controls_;
  register_history& seen_;
  seeded_random random_;
  place_in_line place_;
};

}  // namespace kestrelreel::faults
