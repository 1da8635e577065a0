#include "support/faults/history.h"

#include <algorithm>
#include <utility>

#include "base/text.h"

namespace kestrelreel::faults {
namespace {

constexpr unsigned no_such_job = 410;

std::string text_of(const try_record& it) {
  return str_cat("[", it.entry, " ", it.sent.count(), "..", it.ended.count(),
                 " ", it.status, "]");
}

std::string text_of(const run_record& it) {
  const std::string end =
      it.ended ? str_cat(it.ended->count(), it.done ? " done" : "") : "-";
  return str_cat("run ", it.run, " on ", it.worker, " by ", it.ordered_by, " ",
                 it.began.count(), "..", end);
}

bool overlap(const run_record& a, const run_record& b) {
  const bool a_first = a.began <= b.began;
  const run_record& first = a_first ? a : b;
  const run_record& second = a_first ? b : a;
  return !first.ended || *first.ended > second.began;
}

std::string text_of(const std::vector<try_record>& tries) {
  std::string out;
  for (const try_record& it : tries) out += " " + text_of(it);
  return out;
}

}  // namespace

try_outcome outcome_of(unsigned status) {
  constexpr unsigned bad_request = 400;
  constexpr unsigned not_found = 404;
  constexpr unsigned too_many = 429;
  constexpr unsigned unavailable = 503;
  switch (status) {
    case bad_request:
    case not_found:
    case too_many:
    case unavailable:
      return try_outcome::refused;
    default:
      return status / 100 == 2 ? try_outcome::taken : try_outcome::unclear;
  }
}

bool acknowledges_cancel(unsigned status) {
  return status / 100 == 2 || status == no_such_job;
}

std::optional<time_point> history::job_record::taken_at() const {
  for (const try_record& it : tries) {
    if (outcome_of(it.status) == try_outcome::taken) return it.ended;
  }
  return {};
}

std::optional<time_point> history::job_record::cancelled_at() const {
  for (const try_record& it : cancels) {
    if (acknowledges_cancel(it.status)) return it.ended;
  }
  return {};
}

bool history::job_record::may_be_cancelled() const {
  return std::any_of(cancels.begin(), cancels.end(), [](const auto& it) {
    return acknowledges_cancel(it.status) ||
           outcome_of(it.status) != try_outcome::refused;
  });
}

bool history::job_record::is_owed() const {
  return taken_at() && !may_be_cancelled() && !crashes;
}

void history::plan_job(const job_name& job,
                       const std::vector<task_name>& tasks) {
  jobs_[job].tasks = tasks;
  for (const task_name& it : tasks) job_of_[it] = job;
}

void history::tried(const job_name& job, const try_record& it) {
  jobs_[job].tries.push_back(it);
  ++statuses_[it.status];
}

void history::cancelled(const job_name& job, const try_record& it) {
  jobs_[job].cancels.push_back(it);
  if (acknowledges_cancel(it.status)) ++cancels_;
}

void history::state_read(const job_name& job, const state_record& it) {
  jobs_[job].states.push_back(it);
  if (!it.state.empty()) ++states_;
}

void history::began(const task_name& task, const run_record& it) {
  ++runs_;
  if (!job_of_.contains(task)) {
    faults_.push_back(str_cat("UNASKED ", task.str(), ": ", text_of(it)));
  }
  check_again(task, it);
  tasks_[task].push_back(it);
}

/// Right at the start: a worker that crashes later held its lease until then.
void history::check_again(const task_name& task, const run_record& it) {
  for (const run_record& before : tasks_[task]) {
    // One that was noted is told as `TWICE`.
    if (!before.done || before.noted || *before.ended >= it.began) continue;
    if (!leases_.held(before.worker, *before.ended, it.began)) continue;
    faults_.push_back(str_cat("AGAIN ", task.str(), ": ", text_of(before), "; ",
                              text_of(it)));
  }
}

void history::ended(const task_name& task, uint32_t run, time_point at,
                    bool done) {
  for (run_record& it : tasks_[task]) {
    if (it.run != run || it.ended) continue;
    it.ended = at;
    it.done = done;
  }
}

void history::noted(const task_name& task, uint32_t run, time_point at) {
  for (run_record& it : tasks_[task]) {
    if (it.run == run && !it.noted) it.noted = at;
  }
}

void history::crashes(const task_name& task, uint32_t run) {
  for (run_record& it : tasks_[task]) {
    if (it.run == run) it.crashed = true;
  }
}

void history::over_room(const task_name& task, const std::string& worker,
                        size_t runs) {
  faults_.push_back(str_cat("LIMIT ", task.str(), " began on ", worker,
                            ", where it is one of ", runs,
                            ", more than its room has held for long"));
}

bool history::is_done(const task_name& task) const {
  const auto found = tasks_.find(task);
  if (found == tasks_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [](const run_record& it) { return it.done; });
}

bool history::was_done_by(const task_name& task, time_point at) const {
  const auto found = tasks_.find(task);
  if (found == tasks_.end()) return false;
  return std::any_of(
      found->second.begin(), found->second.end(),
      [at](const run_record& it) { return it.done && *it.ended <= at; });
}

bool history::all_done() const {
  return std::all_of(jobs_.begin(), jobs_.end(), [this](const auto& p) {
    if (!p.second.is_owed()) return true;
    const auto& tasks = p.second.tasks;
    return std::all_of(tasks.begin(), tasks.end(),
                       [this](const auto& it) { return is_done(it); });
  });
}

void history::check_refused(std::vector<std::string>& out) const {
  for (const auto& [name, job] : jobs_) {
    const bool refused =
        !job.tries.empty() &&
        std::all_of(job.tries.begin(), job.tries.end(), [](const auto& it) {
          return outcome_of(it.status) == try_outcome::refused;
        });
    if (!refused) continue;
    for (const task_name& task : job.tasks) {
      const auto found = tasks_.find(task);
      if (found == tasks_.end()) continue;
      out.push_back(str_cat("REFUSED ", task.str(), ": ",
                            text_of(found->second.front()), "; tries",
                            text_of(job.tries)));
      break;
    }
  }
}

void history::check_twice(std::vector<std::string>& out) const {
  for (const auto& [name, runs] : tasks_) {
    for (size_t i = 0; i < runs.size(); ++i) {
      for (size_t j = i + 1; j < runs.size(); ++j) {
        const run_record& a = runs[i];
        const run_record& b = runs[j];
        const bool after_end = a.done && a.noted && *a.noted < b.began;
        if (!overlap(a, b) && !after_end) continue;
        out.push_back(
            str_cat("TWICE ", name.str(), ": ", text_of(a), "; ", text_of(b)));
      }
    }
  }
}

void history::check_lost(std::vector<std::string>& out) const {
  for (const auto& [name, job] : jobs_) {
    if (!job.is_owed()) continue;
    for (const task_name& it : job.tasks) {
      if (is_done(it)) continue;
      out.push_back(str_cat("LOST ", it.str(), " accepted and not done; tries",
                            text_of(job.tries)));
      break;
    }
  }
}

void history::check_cancelled(std::vector<std::string>& out, bool calm) const {
  for (const auto& [name, job] : jobs_) {
    const auto at = job.cancelled_at();
    if (!at) continue;
    for (const task_name& task : job.tasks) {
      const auto found = tasks_.find(task);
      if (found == tasks_.end()) continue;
      for (const run_record& it : found->second) {
        const time_point last = *at + cancel_bound;
        const bool late = it.began > last;
        const bool lives = it.ended ? *it.ended > last + unheard_stop : calm;
        if (!late && !lives) continue;
        out.push_back(str_cat("CANCELLED ", task.str(),
                              late ? " began: " : " lives: ", text_of(it),
                              "; cancels", text_of(job.cancels)));
      }
    }
  }
}

void history::check_budget(std::vector<std::string>& out) const {
  for (const auto& [name, runs] : tasks_) {
    const auto crashed = static_cast<size_t>(std::count_if(
        runs.begin(), runs.end(), [](const auto& it) { return it.crashed; }));
    if (crashed < 2 * crash_budget) continue;
    out.push_back(str_cat("BUDGET ", name.str(), " crashed ", crashed,
                          " workers, at last ", text_of(runs.back())));
  }
}

std::string history::fault_of(const job_record& job,
                              const state_record& it) const {
  const auto taken = job.taken_at();
  const bool meant = job.cancels.empty();
  if (it.call.status == no_such_job && taken && meant &&
      it.call.sent > *taken + known_within) {
    return "is not known";
  }
  if (it.state == "canceled" && meant) return "nobody cancelled it";
  if (it.state == "failed" && !job.crashes) return "it can be done";
  if (it.state != "succeeded") return "";
  for (const task_name& task : job.tasks) {
    if (!was_done_by(task, it.call.ended)) return task.str() + " is not done";
  }
  return "";
}

void history::check_states(std::vector<std::string>& out) const {
  for (const auto& [name, job] : jobs_) {
    for (const state_record& it : job.states) {
      const std::string fault = fault_of(job, it);
      if (fault.empty()) continue;
      out.push_back(str_cat("STATE ", name.str(), " ", it.state, ": ", fault,
                            "; read ", text_of(it.call), "; tries",
                            text_of(job.tries)));
    }
    for (const try_record& it : job.cancels) {
      const auto taken = job.taken_at();
      const bool known = it.status != no_such_job;
      if (known || !taken || it.sent <= *taken + known_within) continue;
      out.push_back(str_cat("STATE ", name.str(), " is not known; cancel ",
                            text_of(it), "; tries", text_of(job.tries)));
    }
  }
}

std::vector<std::string> history::broken(bool calm) const {
  std::vector<std::string> out = faults_;
  const auto& reads = configurations_.broken();
  out.insert(out.end(), reads.begin(), reads.end());
  const auto cut_off = stops_.broken();
  out.insert(out.end(), cut_off.begin(), cut_off.end());
  const auto& unheard = leases_.broken();
  out.insert(out.end(), unheard.begin(), unheard.end());
  check_refused(out);
  check_twice(out);
  check_cancelled(out, calm);
  check_states(out);
  check_budget(out);
  if (calm) check_lost(out);
  return out;
}

}  // namespace kestrelreel::faults
