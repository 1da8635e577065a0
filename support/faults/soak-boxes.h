// The real processes of a soak: their settings, their ids and their signals.
// They are started by the script around, which is asked on standard output.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace kestrelreel::faults {

/// Where things are. Each soak has a second part of 127.x of its own.
struct soak_place {
  std::string folder;
  unsigned net = 64;
  unsigned controls = 3;
  unsigned entries = 4;

  std::string control_ip(unsigned i) const;
  std::string entry_ip(unsigned i) const;
  /// Where a control box itself listens for the others.
  std::string hidden_ip(unsigned i) const;
  std::string control_address(unsigned i) const;
  std::string callers_address(unsigned i) const;
  static std::string control_name(unsigned i);
  static std::string entry_name(unsigned i);
};

constexpr uint16_t soak_peer_port = 7'500;
constexpr uint16_t soak_control_port = 7'501;
constexpr uint16_t soak_callers_port = 7'502;
constexpr uint16_t soak_ready_port = 7'503;

/// The processes. Not thread-safe.
class soak_boxes {
 public:
  explicit soak_boxes(soak_place place) : place_(std::move(place)) {}

  /// Writes the settings of all boxes.
  void write_settings() const;
  /// Asks for a start; nothing, and false, when the process is up.
  bool start(const std::string& name);
  /// Sends a signal to a process that is up; false when there is none.
  bool signal(const std::string& name, int number);
  /// As `signal`, of a process that is expected to end by it.
  bool stop(const std::string& name, int number);
  /// Its steady clock will leave out the next time for which it stands still.
  void mark_suspended(const std::string& name) const;
  bool is_up(const std::string& name) const;
  std::vector<std::string> names() const;
  /// The control box whose log told last that it leads; 0 while none did.
  unsigned leader();
  /// Processes that ended although nobody stopped them, a line each.
  std::vector<std::string> ended_by_themselves() const;
  const soak_place& place() const { return place_; }

 private:
  std::string path(const std::string& name, const char* what) const;
  int pid_of(const std::string& name) const;

  soak_place place_;
  std::set<std::string> stopped_;
  std::set<std::string> asked_;
  std::map<std::string, size_t> log_read_;
  std::vector<std::string> unasked_ends_;
  unsigned leader_ = 0;
};

}  // namespace kestrelreel::faults
