// The free room of all workers in one dense array, so that the search for a
// worker costs little however many there are.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "base/units.h"

namespace kestrelreel {

/// Rows of free room by number. A number stays a row's until it is freed.
class worker_index {
 public:
  /// Workers looked at closely for one task. The search stops there: the best
  /// of so many is nearly as good as the best of all.
  static constexpr size_t candidates_wanted = 48;

  /// A row for a worker that gets no task until `set` says that it may.
  size_t add();
  void remove(size_t row);
  /// What is free on the worker, and whether it may get tasks.
  void set(size_t row, const resource_amount& free, bool usable);

  /// Calls `look` with rows that have room for `size`, up to
  /// `candidates_wanted`; each search starts where the last one ended.
  void search(const resource_amount& size,
              const std::function<void(size_t row)>& look);

 private:
  struct room_row {
    uint64_t cpu = 0;
    uint64_t memory = 0;
    uint32_t accelerators = 0;
    bool usable = false;
  };

  std::vector<room_row> rows_;
  std::vector<size_t> unused_;
  size_t next_ = 0;
};

}  // namespace kestrelreel
