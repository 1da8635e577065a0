// What jobs earn by the time that they take.
#pragma once

#include <map>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/job-book.h"
#include "support/emulator/emulator.h"

namespace kestrelreel::emulator {

/// A job that was handed in.
struct asked_job {
  std::string queue;
  time_point came{};
  milliseconds objective{};
  double worth = 0;
};

/// Follows jobs from their coming to their end.
class job_ledger {
 public:
  void asked(job_number number, const asked_job& job, load_outcome& out);
  /// Counts the jobs that have ended since.
  void look(const job_book& book, time_point now, load_outcome& out);

 private:
  std::map<job_number, asked_job> asked_;
};

}  // namespace kestrelreel::emulator
