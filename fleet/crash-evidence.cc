#include "fleet/crash-evidence.h"

#include <algorithm>

#include "fleet/run-presence.h"

namespace kestrelreel {
namespace detail {

/// Runs of one gang count as one suspect: their job fails with any of them.
bool same_suspect(const run_key& a, const run_key& b, const job_book& book) {
  if (a == b) return true;
  const fleet::step_spec* step = book.find_step(a.task);
  return step != nullptr && step->gang() && a.task.job == b.task.job &&
         a.task.time == b.task.time && a.task.step == b.task.step;
}

/// The evidence against each run that may have crashed the worker.
uint32_t evidence_against(const std::vector<run_key>& suspects,
                          const job_book& book, bool others_crashed) {
  const bool sole_suspect =
      std::all_of(suspects.begin(), suspects.end(), [&](const run_key& run) {
        return same_suspect(suspects.front(), run, book);
      });
  if (!sole_suspect) return evidence_among_suspects;
  return others_crashed ? evidence_sole_suspect_mass_crash
                        : evidence_sole_suspect;
}

/// True for a run of a suspect that was ordered according to the record, and
/// that may have begun without being listed before the crash.
bool may_have_begun_unlisted(const run_key& run, const job_book& book) {
  const crash_record crash = book.crash_of(run.task);
  return crash.crashes > 0 && crash.ordered >= run.run &&
         crash.listed < run.run;
}

/// Examines a worker that only an earlier leader heard from: only the recorded
/// progress of suspects is known, and not whether other workers crashed at the
/// same time, so that a mass crash is assumed.
std::vector<crash_finding> examine_unheard_worker(const std::set<run_key>& runs,
                                                  const job_book& book) {
  std::vector<run_key> suspects;
  for (const run_key& run : runs) {
    if (may_have_begun_unlisted(run, book)) suspects.push_back(run);
  }
  const uint32_t evidence = evidence_against(suspects, book, true);
  std::vector<crash_finding> out;
  out.reserve(runs.size());
  for (const run_key& run : runs) {
    const crash_record crash = book.crash_of(run.task);
    const bool is_weak = crash.crashes == 0 || crash.listed >= run.run;
    const bool ordered = may_have_begun_unlisted(run, book);
    out.push_back({run,
                   is_weak   ? evidence_if_listed
                   : ordered ? evidence
                             : 0,
                   false});
  }
  return out;
}

}  // namespace detail

bool is_harmless(const worker_view& it, const run_key& run,
                 const fleet::step_spec& step) {
  if (!it.rows.contains(run)) return false;
  const auto sent = it.starts_sent_at.find(run);
  const time_point since =
      sent == it.starts_sent_at.end() ? it.first_heartbeat_at : sent->second;
  return it.last_heartbeat_at - since >=
         (step.gang() ? harmless_gang_listed_time : harmless_listed_time);
}

std::vector<crash_finding> examine_crash(const worker_view& it,
                                         const std::set<run_key>& runs,
                                         const job_book& book,
                                         bool others_crashed) {
  if (!it.has_heartbeat) return detail::examine_unheard_worker(runs, book);
  std::vector<crash_finding> out;
  std::vector<run_key> unlisted;
  std::vector<run_key> just_listed;
  for (const run_key& run : runs) {
    const fleet::step_spec* step = book.find_step(run.task);
    const bool ended = presence_of(it, run) == run_presence::ended;
    if (step == nullptr || ended) continue;
    if (is_harmless(it, run, *step)) {
      out.push_back({run, 0, true});
    } else if (it.rows.contains(run)) {
      just_listed.push_back(run);
    } else if (it.starts_sent_at.contains(run)) {
      unlisted.push_back(run);
    }
  }
  const bool all_listed = unlisted.empty();
  std::vector<run_key> suspects = unlisted;
  for (const run_key& run : just_listed) {
    if (all_listed || book.is_suspect(run.task)) suspects.push_back(run);
  }
  const uint32_t evidence =
      detail::evidence_against(suspects, book, others_crashed);
  for (const run_key& run : suspects) {
    const bool is_weak = all_listed && book.crash_of(run.task).crashes == 0;
    out.push_back({run, is_weak ? evidence_if_listed : evidence, false});
  }
  return out;
}

}  // namespace kestrelreel
