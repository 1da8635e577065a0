// What operators saw of the configuration, which is one register whose version
// only rises: whether there is an order of all writes and reads, each between
// its sending and its answer, by which each read gives the highest version
// written before it. Pure.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace kestrelreel::faults {

using config_number = strong_count<struct config_number_tag>;

/// All writes and reads, told in the order in which they happened; the times
/// are for the report only. Not thread-safe.
class register_history {
 public:
  /// A read that is under way: it gives `least` or a higher version.
  struct reading {
    time_point sent{};
    config_number least;
    /// How `least` was known when the read was sent.
    std::string known;
  };

  /// A write is sent; it may take effect from then on, also without an answer.
  void sent(config_number version);
  /// An answer says that this version or a higher one is held.
  void acknowledged(config_number version, time_point at);
  reading begin_read(time_point at) const;
  void end_read(const reading& begun, config_number version, time_point at);

  /// Every read for which there is no such order, a line each.
  const std::vector<std::string>& broken() const { return broken_; }
  /// 0 before any.
  config_number newest_sent() const;
  size_t writes() const { return writes_; }
  size_t reads() const { return reads_; }

 private:
  void learn(config_number version, const char* how, time_point at);

  std::set<config_number> sent_;
  /// The highest version that an answer has shown to be held.
  config_number held_;
  std::string known_ = "nothing was";
  std::vector<std::string> broken_;
  size_t writes_ = 0;
  size_t reads_ = 0;
};

}  // namespace kestrelreel::faults
