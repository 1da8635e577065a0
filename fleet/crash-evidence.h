// Weighs the crash of a worker as evidence against the tasks that ran there.
//
// A task may crash every worker that starts it, next to tasks that do no harm.
// A run that the worker had listed for a while did not cause the crash. Any of
// the other runs may have: their tasks are restarted apart from each other, so
// that the next crash identifies the cause.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "fleet/job-book.h"
#include "fleet/worker-table.h"

namespace kestrelreel {

/// Evidence from one crash against a run's task, as a share of
/// `crash_evidence_limit`. Two crashes reach the limit if each time the run was
/// the only one that had just started there and no other worker crashed;
/// otherwise three or four do. A crash under a run that the worker listed, or
/// may have listed, is weak evidence.
constexpr uint32_t evidence_if_listed = 1;
constexpr uint32_t evidence_among_suspects = 2;
constexpr uint32_t evidence_sole_suspect_mass_crash = 3;
constexpr uint32_t evidence_sole_suspect = 4;

/// A worker that lists a run for this long was not crashed by its start. A gang
/// starts working only once all its members are present.
constexpr milliseconds harmless_listed_time{400};
constexpr milliseconds harmless_gang_listed_time{5'000};

/// The result of a crash for one run.
struct crash_finding {
  run_key run;
  uint32_t evidence = 0;
  bool survived = false;
};

/// True when the worker listed the run for at least the harmless time.
bool is_harmless(const worker_view& it, const run_key& run,
                 const fleet::step_spec& step);

/// Examines the runs of a crashed worker. `others_crashed` is true when other
/// workers crashed at the same time.
std::vector<crash_finding> examine_crash(const worker_view& it,
                                         const std::set<run_key>& runs,
                                         const job_book& book,
                                         bool others_crashed);

}  // namespace kestrelreel
