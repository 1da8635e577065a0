#include "support/emulator/job-ledger.h"

namespace kestrelreel::emulator {
namespace detail {

/// The users' rules, "Credit": up to three times its objective a job is late.
constexpr double late_factor = 3;
/// By the users' sheets what a late job is worth, as a share of one in time.
constexpr double late_worth = 0.15;

void count(const asked_job& job, milliseconds took, kind_outcome& kind) {
  const auto ms = static_cast<double>(took.count());
  const auto objective = static_cast<double>(job.objective.count());
  if (ms <= objective) {
    ++kind.in_time;
    kind.earned += job.worth;
  } else if (ms <= late_factor * objective) {
    ++kind.late;
    kind.earned += late_worth * job.worth;
  }
}

}  // namespace detail

void job_ledger::asked(job_number number, const asked_job& job,
                       load_outcome& out) {
  asked_[number] = job;
  kind_outcome& kind = out.kinds[job.queue];
  ++kind.asked;
  kind.owed += job.worth;
}

void job_ledger::look(const job_book& book, time_point now, load_outcome& out) {
  std::erase_if(asked_, [&](const auto& it) {
    const job_entry* job = book.find(it.first);
    if (job == nullptr || job->phase != fleet::job_succeeded) return false;
    detail::count(it.second, now - it.second.came, out.kinds[it.second.queue]);
    return true;
  });
}

}  // namespace kestrelreel::emulator
