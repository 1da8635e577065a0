// What the crash of a worker says against the tasks that ran there.
//
// A task may crash whatever starts it, beside others that do no harm. A run
// that its worker had listed for a while did not do it. Of the others each may
// have: they start again apart from each other, so that the next crash tells.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "fleet/job-book.h"
#include "fleet/worker-table.h"

namespace kestrelreel {

/// How strongly one crash speaks against a run's task, in parts of
/// `crash_evidence_limit`: two crashes are enough where each time nothing else
/// had just started there and no other worker crashed, else three or four. One
/// under a run that its worker listed, or may have, says little.
constexpr uint32_t evidence_if_listed = 1;
constexpr uint32_t evidence_among_suspects = 2;
constexpr uint32_t evidence_sole_suspect_mass_crash = 3;
constexpr uint32_t evidence_sole_suspect = 4;

/// A worker that lists a run for so long was not crashed by its start; a gang
/// works only once all its members are present.
constexpr milliseconds harmless_listed_time{400};
constexpr milliseconds harmless_gang_listed_time{5'000};

/// What the crash says of one run.
struct crash_finding {
  run_key run;
  uint32_t evidence = 0;
  bool survived = false;
};

/// True when the worker listed the run for long enough.
bool is_harmless(const worker_view& it, const run_key& run,
                 const fleet::step_spec& step);

/// Looks at what ran on a worker when it crashed; `others_crashed` when other
/// workers did so at the same time.
std::vector<crash_finding> examine_crash(const worker_view& it,
                                         const std::set<run_key>& runs,
                                         const job_book& book,
                                         bool others_crashed);

}  // namespace kestrelreel
