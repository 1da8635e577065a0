// The project's processes as a small deployment, its operator and its clients.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "wire.h"

namespace review2 {

/// What was sent, answered and run, a line each, with the time since the start.
class record {
 public:
  explicit record(const std::string& file);
  void note(const std::string& line);
  milliseconds now() const;

 private:
  std::mutex mutex_;
  std::ofstream out_;
  clock_type::time_point start_ = clock_type::now();
};

/// One route of a configuration.
struct route {
  std::string name;
  std::string prefix;
  unsigned max_attempts = 4;
};

/// Three control boxes and two entry boxes on loopback addresses; all that it
/// started ends with it.
class deployment {
 public:
  deployment(std::string program, record& seen);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  /// Starts all processes and puts the first configuration; false when that
  /// takes too long.
  bool start(const std::vector<route>& routes);
  void signal(unsigned control, int number);
  /// What the control box's process holds of its machine's memory.
  size_t memory_of(unsigned control) const;
  /// Ends the control box's process, and starts it again after a short delay.
  void end_and_start_again(unsigned control);
  const std::vector<std::string>& controls() const { return controls_; }
  const std::string& entry(unsigned i) const { return entries_.at(i); }
  /// A free address of this deployment's, for a proxy or a runner.
  std::string spare_address(unsigned i) const;
  /// The number of the box with that control address.
  std::optional<unsigned> number_of(const std::string& control) const;

  /// An order of the operator: to the boxes in turn, from `first` on, a second
  /// each, until one answers with 2xx or 4xx. Returns the last status.
  int order(const http_question& question, unsigned first);
  int put_config(unsigned version, const std::vector<route>& routes);
  /// A client's call at an entry box.
  http_reply call(unsigned entry, const std::string& method,
                  const std::string& path, const std::string& body = "");

 private:
  void choose_ports();
  void write_settings();
  void launch(const std::string& name);
  std::string ip_of_control(unsigned i) const;
  std::string ip_of_entry(unsigned i) const;

  std::string program_;
  record& seen_;
  std::string folder_;
  unsigned net_ = 0;
  uint16_t port_ = 0;
  std::vector<std::string> controls_;
  std::vector<std::string> entries_;
  std::map<std::string, pid_t> processes_;
};

/// The platform ends a control box's process that holds more than its machine's
/// memory, and starts it again.
class memory_guard {
 public:
  memory_guard(deployment& boxes, record& seen);
  ~memory_guard();
  memory_guard(const memory_guard&) = delete;
  memory_guard& operator=(const memory_guard&) = delete;

  /// How often each control box's process was ended.
  std::vector<unsigned> ends() const;

 private:
  void watch();

  deployment& boxes_;
  record& seen_;
  mutable std::mutex mutex_;
  std::vector<unsigned> ends_;
  std::atomic<bool> over_{false};
  std::thread thread_;
};

/// Waits until it holds; false when it does not in that time.
template <typename Holds>
bool eventually(milliseconds limit, const Holds& holds);

void nap(milliseconds length);

template <typename Holds>
bool eventually(milliseconds limit, const Holds& holds) {
  constexpr milliseconds pause{20};
  const auto until = clock_type::now() + limit;
  while (!holds()) {
    if (clock_type::now() >= until) return false;
    nap(pause);
  }
  return true;
}

}  // namespace review2
