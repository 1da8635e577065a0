// What the connections of a process may hold together.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <utility>

#include "base/clock.h"
#include "base/units.h"
#include "kernel/metrics.h"

namespace kestrelreel {

/// A connection that holds memory for its peer.
class memory_holder {
 public:
  virtual ~memory_holder() = default;
  /// Gives back what it holds before it returns: refuses the request that is
  /// being read, or drops the answer that is being written.
  virtual void shed() = 0;
};

/// Bounds what all connections hold beyond a little for each. When it is spent,
/// a stalled connection is shed, then one that holds at least as much as the
/// asker; so a small request passes beside any number of large ones. Not
/// thread-safe.
class memory_budget {
 public:
  class share;

  /// `clock` and `metrics` must outlive it. `name` tells it from others in the
  /// log and in `kestrelreel_memory_shed_total{budget,listener}` and
  /// `kestrelreel_memory_refused_total{budget,listener}`.
  memory_budget(const clock_source& clock, metrics_registry& metrics,
                std::string name, byte_count limit)
      : clock_(clock),
        metrics_(metrics),
        name_(std::move(name)),
        limit_(limit) {}

  /// What a connection holds without being counted: a header of usual size and
  /// the piece that is read after it. The number of connections bounds it.
  static constexpr size_t uncounted_bytes = 16 << 10;

  void set_limit(byte_count limit) { limit_ = limit; }
  byte_count limit() const { return limit_; }
  /// Bytes that are counted now.
  size_t held() const { return held_; }
  time_point now() const { return clock_.now(); }
  metrics_registry& metrics() { return metrics_; }

 private:
  bool make_room(const share& asker, size_t counted);
  share* find_victim(const share& asker, size_t counted);
  void count(share& it, size_t counted);

  const clock_source& clock_;
  metrics_registry& metrics_;
  std::string name_;
  byte_count limit_;
  size_t held_ = 0;
  /// Those that hold counted bytes.
  std::set<share*> shares_;
};

/// What one connection holds.
class memory_budget::share {
 public:
  /// `listener` tells where the connection was accepted.
  share(memory_budget& budget, memory_holder& holder, std::string listener)
      : budget_(budget), holder_(holder), listener_(std::move(listener)) {}
  ~share() { release(); }
  share(const share&) = delete;
  share& operator=(const share&) = delete;

  /// Tells what it holds now, at each progress of its peer. False, and nothing
  /// held, when there is no room for that; the holder then releases it. One
  /// that is alone always has room.
  [[nodiscard]] bool resize(size_t bytes);
  void release() { budget_.count(*this, 0); }
  /// From now on it is not shed, as its request may run.
  void pin() { pinned_ = true; }
  void unpin() { pinned_ = false; }

 private:
  friend class memory_budget;
  memory_budget& budget_;
  memory_holder& holder_;
  std::string listener_;
  size_t counted_ = 0;
  time_point progress_at_{};
  bool pinned_ = false;
};

}  // namespace kestrelreel
