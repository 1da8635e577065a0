// A stand-in worker: calls a control box, runs what it is told under its lease,
// and tells the history each start and end.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "support/faults/history.h"
#include "support/faults/http-connection.h"

namespace kestrelreel::faults {

/// What a job's text begins with whose tasks take `long_work`, so that they run
/// when it is cancelled.
constexpr const char* long_spec = "long";
constexpr milliseconds long_work{9'000};

/// What the text of a job begins with whose first task crashes each worker that
/// starts it.
constexpr const char* crash_spec = "crash";
/// From the start until the worker crashes, and until it is back.
constexpr milliseconds crash_delay{10};
constexpr milliseconds crash_pause{3'000};

/// What each task asks for, in thousandths of a processor.
constexpr uint64_t task_cpu_milli = 200;
/// A room that shrank counts after so long: an answer may be on its way.
constexpr milliseconds room_counts_after{4'000};

/// Where a worker turns to, and who it is.
struct worker_settings {
  std::string id;
  std::string address;
  /// IP:PORT of the control boxes, the one to begin with first.
  std::vector<std::string> controls;
  /// The least and the most time that a task takes.
  milliseconds least_work{50};
  milliseconds most_work{400};
};

/// One worker. Not thread-safe; lives as long as its `io`.
class soak_worker {
 public:
  soak_worker(boost::asio::io_context& io, clock_source& clock,
              worker_settings settings, history& seen, uint64_t seed);
  /// Calls until the program ends.
  boost::asio::awaitable<void> run();

 private:
  struct live_run {
    uint32_t run = 0;
    std::string saved;
    time_point ends{};
  };
  struct listed_end {
    uint64_t number = 0;
    task_name task;
    uint32_t run = 0;
    const char* how = "done";
  };

  std::string id() const;
  std::string body();
  void resize_room();
  bool crash_if_due();
  void check_room(const task_name& task);
  void take_answer(const std::string& body, const std::string& from,
                   time_point sent);
  void take_starts(const boost::json::object& orders, const std::string& from);
  milliseconds work_of(const std::string& text);
  void take_stops(const boost::json::object& orders);
  void note_ends(uint64_t last);
  void end_what_is_due();
  void end(const task_name& task, uint32_t run, const char* how);
  http_connection& connection();

  boost::asio::io_context& io_;
  clock_source& clock_;
  worker_settings settings_;
  history& seen_;
  seeded_random random_;
  seeded_random room_random_;
  std::map<std::string, std::unique_ptr<http_connection>> connections_;
  std::map<task_name, live_run> running_;
  // The highest run of a task that was stopped or ended here.
  std::map<task_name, uint32_t> over_;
  std::vector<listed_end> ended_;
  std::string told_;
  size_t next_control_ = 0;
  uint64_t sequence_ = 0;
  uint64_t last_end_ = 0;
  uint64_t fence_ = 0;
  time_point lease_until_{};
  // It crashes then, as a task that it began makes it.
  std::optional<time_point> crashes_at_;
  unsigned crashes_ = 0;
  uint64_t room_milli_ = 0;
  time_point resized_at_{};
  milliseconds pause_{200};
};

}  // namespace kestrelreel::faults
