// Simulates control boxes with real logs, callers and workers on a virtual
// clock. After the faults, the job books are checked against all answers.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/refused-test-box.h"

namespace kestrelreel::refused {

constexpr milliseconds step_time{5};
/// Time at the end of a run without faults, new jobs and cancels.
constexpr milliseconds recovery_time{12'000};
/// Final part of `recovery_time`, without new configurations either.
constexpr milliseconds no_config_time{3'000};
constexpr int boxes = 5;
constexpr int workers = 3;

/// Faults, each in one of `n` steps or messages; 0: never.
struct faults {
  const char* name;
  unsigned lose = 0;
  unsigned pause = 0;
  unsigned cut = 0;
  unsigned crash = 0;
  unsigned full = 0;
  unsigned slow_disk = 0;
  unsigned transfer_leadership = 0;
};

/// Counts the answers to callers, and what became of the jobs.
struct answer_counts {
  int ok = 0;
  int unavailable = 0;
  int refused = 0;
  int no_queue = 0;
  int invalid = 0;
  int unknown = 0;
  int unanswered = 0;
  // Jobs with unclear answers: in the books, or not.
  int accepted = 0;
  int lost = 0;
  // Jobs that were answered "not accepted" at every attempt.
  int not_accepted = 0;
  int started = 0;
  uint64_t terms = 0;
};

class promise_world {
 public:
  promise_world(uint64_t seed, faults f) : random_(seed), faults_(f) {
    std::vector<std::string> names;
    for (int i = 0; i < boxes; ++i) names.push_back(str_cat("b", i));
    for (const std::string& it : names) {
      boxes_.push_back(std::make_unique<control_box>(
          it, names, clock_, random_,
          [this](const proto::raft_message& m) { post(m); }));
      if (faults_.slow_disk > 0) boxes_.back()->slow_one_in = faults_.slow_disk;
    }
    for (const auto& it : boxes_) it->start();
    for (int i = 0; i < workers; ++i) {
      workers_.emplace_back().beat.set_worker(str_cat("w", i));
    }
  }

  /// Returns a violated promise, or an empty string.
  std::string run(milliseconds length) {
    const time_point end = clock_.now() + length;
    while (clock_.now() < end) step(true);
    for (const auto& it : boxes_) {
      it->paused_until = it->full_until = it->no_receive_until =
          it->no_send_until = {};
      it->slow_one_in = 1'000'000;
    }
    faults_ = {};
    const time_point recovery_end = clock_.now() + recovery_time;
    while (clock_.now() < recovery_end) {
      configures_ = clock_.now() < recovery_end - no_config_time;
      step(false);
    }
    return check_promises();
  }

  const answer_counts& count() const { return counts_; }

 private:
  struct delivery {
    time_point arrives;
    int to;
    proto::raft_message m;
  };
  struct relayed_call {
    time_point arrives;
    int to;
    bool relayed;
    fleet::fleet_request request;
    fleet_controller::respond_function respond;
  };
  struct job_record {
    fleet::fleet_request request;
    std::vector<std::optional<fleet::fleet_status>> answers;
  };
  struct worker {
    fleet::worker_beat beat;
    std::map<std::string, time_point> start_times;
    uint64_t ends = 0;
    uint64_t pending = 0;
    time_point heartbeat_sent{};
  };

  bool one_in(unsigned n) { return n > 0 && random_.below(n) == 0; }
  milliseconds up_to(uint64_t n) {
    return milliseconds(static_cast<int64_t>(random_.below(n + 1)));
  }
  control_box& any_box() { return *boxes_[random_.below(boxes)]; }
  int index_of(const std::string& name) const {
    return name.size() == 2 ? name[1] - '0' : -1;
  }

  void post(const proto::raft_message& m) {
    control_box& from = *boxes_[index_of(m.from())];
    if (clock_.now() < from.no_send_until || one_in(faults_.lose)) return;
    const milliseconds late = one_in(60) ? up_to(300) : up_to(8);
    deliveries_.push_back({clock_.now() + late, index_of(m.to()), m});
  }

  void deliver() {
    std::vector<delivery> due;
    std::erase_if(deliveries_, [&](delivery& it) {
      const control_box& to = *boxes_[it.to];
      if (to.up() && !to.is_running()) return false;
      if (it.arrives > clock_.now()) return false;
      if (to.up() && clock_.now() >= to.no_receive_until) due.push_back(it);
      return true;
    });
    for (const delivery& it : due) {
      if (boxes_[it.to]->up()) boxes_[it.to]->receive(it.m);
    }
    std::vector<relayed_call> calls;
    std::erase_if(calls_, [&](relayed_call& it) {
      const control_box& to = *boxes_[it.to];
      if (it.arrives > clock_.now() || (to.up() && !to.is_running()))
        return false;
      calls.push_back(std::move(it));
      return true;
    });
    for (const relayed_call& it : calls) arrived(it);
  }

  void inject_faults() {
    control_box& it = any_box();
    const time_point now = clock_.now();
    if (one_in(faults_.pause)) it.paused_until = now + up_to(2'500);
    if (one_in(faults_.cut)) it.no_receive_until = now + up_to(3'000);
    if (one_in(faults_.cut)) it.no_send_until = now + up_to(3'000);
    if (one_in(faults_.full)) it.full_until = now + up_to(2'000);
    if (one_in(faults_.transfer_leadership) && it.is_running())
      it.transfer_leadership();
    if (one_in(faults_.crash) && it.up()) {
      it.crash();
      it.paused_until = now + up_to(1'500);
    }
  }

  void step(bool callers) {
    clock_.advance(step_time);
    if (callers) inject_faults();
    for (const auto& it : boxes_) {
      if (!it->up() && clock_.now() >= it->paused_until) it->start();
    }
    deliver();
    for (const auto& it : boxes_) {
      if (it->is_running()) it->run_timers_and_disk();
    }
    if (callers && one_in(3)) submit();
    if (callers && one_in(4)) cancel();
    if (configures_ && (one_in(150) || configs_.empty())) configure(callers);
    for (worker& it : workers_) send_heartbeat(it);
  }

  /// Sends a request to a random box. A paused box handles it later; a crashed
  /// box does not answer.
  void ask(const fleet::fleet_request& request,
           const fleet_controller::respond_function& respond) {
    const auto to = static_cast<int>(random_.below(boxes));
    calls_.push_back({clock_.now() + up_to(8), to, false, request, respond});
  }

  void arrived(const relayed_call& call) {
    control_box& it = *boxes_[call.to];
    if (!it.up()) return;
    const std::string& leader = it.state().leader();
    const bool handled_here =
        it.leads() || call.relayed || leader.empty() || leader == it.name();
    if (handled_here) return it.request(call.request, call.respond);
    const auto to = index_of(leader);
    calls_.push_back(
        {clock_.now() + up_to(8), to, true, call.request, call.respond});
  }

  /// Submits a new job, or an earlier one again.
  void submit() {
    uint64_t job = jobs_.size();
    if (job > 0 && one_in(4)) {
      job -= random_.below(std::min<uint64_t>(job, 20));
    } else {
      const auto n = static_cast<uint32_t>(1 + random_.below(3));
      fleet::fleet_request request =
          test_world::make_submit(++job, {test_world::make_step(n)});
      if (one_in(15)) request.mutable_job()->set_path("/elsewhere/1");
      if (one_in(15)) {
        request.mutable_job()->mutable_submit()->clear_steps();
      }
      jobs_[job].request = request;
    }
    job_record& it = jobs_[job];
    const size_t n = it.answers.size();
    it.answers.emplace_back();
    ask(it.request, [&it, n](const fleet::fleet_response& response) {
      CHECK_FALSE(it.answers[n].has_value());
      it.answers[n] = response.status();
    });
  }

  void cancel() {
    if (jobs_.empty()) return;
    const uint64_t n = jobs_.size();
    fleet::fleet_request request =
        test_world::make_call(n - random_.below(std::min<uint64_t>(n, 60)));
    request.mutable_job()->set_cancel(true);
    ask(request, [](const fleet::fleet_response&) {});
  }

  /// Submits a configuration; some of them lack the queue.
  void configure(bool callers) {
    fleet::fleet_request request;
    fleet::fleet_config config = test_world::make_config(++version_);
    if (callers && version_ % 3 == 0) {
      config.mutable_queues(0)->set_name("others");
      config.mutable_queues(0)->set_host("others.example");
    }
    *request.mutable_put_config() = config;
    ask(request, [this, n = version_](const fleet::fleet_response& response) {
      configs_[n] = response.status();
    });
  }

  void send_heartbeat(worker& it) {
    const time_point now = clock_.now();
    if (now - it.heartbeat_sent < milliseconds(it.pending > 0 ? 900 : 200))
      return;
    for (auto row = it.beat.mutable_running()->begin();
         row != it.beat.mutable_running()->end();) {
      const std::string key = to_text(to_key(row->task()));
      if (now - it.start_times[key] < milliseconds(300)) {
        ++row;
        continue;
      }
      fleet::run_end& end = *it.beat.add_ended();
      end.set_number(++it.ends);
      *end.mutable_task() = row->task();
      end.set_run(row->run());
      end.set_outcome(fleet::run_done);
      row = it.beat.mutable_running()->erase(row);
    }
    it.heartbeat_sent = now;
    it.beat.set_pool("pool");
    it.beat.set_address(it.beat.worker() + ":1");
    it.beat.set_cpu_milli(4'000);
    it.beat.set_memory_mb(1'000);
    it.beat.set_sequence(it.beat.sequence() + 1);
    it.beat.set_clock_ms(static_cast<uint64_t>(now.count()));
    it.pending = it.beat.sequence();
    for (const auto& box : boxes_) {
      if (!box->is_running() || !box->leads()) continue;
      fleet::fleet_request request;
      *request.mutable_beat() = it.beat;
      box->request(request, [this, &it, n = it.pending](const auto& response) {
        if (it.pending == n) take(it, response.orders());
      });
    }
  }

  void take(worker& it, const fleet::worker_orders& orders) {
    it.pending = 0;
    if (orders.hold_ms() == 0) return;
    std::vector<fleet::run_end> rest;
    for (const fleet::run_end& end : it.beat.ended()) {
      if (end.number() > orders.last_end()) rest.push_back(end);
    }
    it.beat.mutable_ended()->Assign(rest.begin(), rest.end());
    for (const fleet::start_order& start : orders.starts()) {
      fleet::running_row& row = *it.beat.add_running();
      *row.mutable_task() = start.task();
      row.set_run(start.run());
      it.start_times[to_text(to_key(start.task()))] = clock_.now();
      started_.insert(to_key(start.task()).job);
      ++counts_.started;
    }
  }

  void count(const std::optional<fleet::fleet_status>& it) {
    if (!it)
      ++counts_.unanswered;
    else if (*it == fleet::fleet_ok)
      ++counts_.ok;
    else if (*it == fleet::fleet_unavailable)
      ++counts_.unavailable;
    else if (*it == fleet::fleet_refused)
      ++counts_.refused;
    else if (*it == fleet::fleet_no_queue)
      ++counts_.no_queue;
    else if (*it == fleet::fleet_invalid)
      ++counts_.invalid;
    else
      ++counts_.unknown;
  }

  static bool says_not_accepted(const std::optional<fleet::fleet_status>& it) {
    return it == fleet::fleet_unavailable || it == fleet::fleet_refused ||
           it == fleet::fleet_no_queue || it == fleet::fleet_invalid;
  }

  /// Checks that the version in force was not answered as refused, and that no
  /// later version was answered as accepted.
  std::string check_configs() const {
    const uint64_t in_force = boxes_[0]->controller().book().config().version();
    for (const auto& box : boxes_) {
      if (box->controller().book().config().version() != in_force) {
        return "configurations differ";
      }
    }
    const auto answer = configs_.find(in_force);
    if (answer != configs_.end() && says_not_accepted(answer->second)) {
      return str_cat("configuration ", in_force, " in force though refused");
    }
    const auto last = std::find_if(
        configs_.rbegin(), configs_.rend(),
        [](const auto& it) { return it.second == fleet::fleet_ok; });
    const bool lost = last != configs_.rend() && last->first > in_force;
    return lost ? str_cat("configuration ", last->first,
                          " missing though accepted")
                : "";
  }

  std::string check_promises() {
    std::string violation = check_configs();
    for (const auto& box : boxes_) {
      counts_.terms = std::max(counts_.terms, box->state().term());
    }
    for (const auto& [job, it] : jobs_) {
      bool not_accepted = true;
      bool ok = false;
      for (const auto& answer : it.answers) {
        count(answer);
        not_accepted = not_accepted && says_not_accepted(answer);
        ok = ok || answer == fleet::fleet_ok;
      }
      if (not_accepted) ++counts_.not_accepted;
      int holders = 0;
      for (const auto& box : boxes_) {
        if (box->controller().book().find(job_number(job))) ++holders;
      }
      if (!ok && !not_accepted)
        ++(holders > 0 ? counts_.accepted : counts_.lost);
      const bool ran = started_.contains(job_number(job));
      const std::string name = str_cat("job ", job, " held by ", holders);
      if (not_accepted && holders > 0) violation = name + " though refused";
      if (not_accepted && ran) violation = name + " ran though refused";
      if (ok && holders < boxes) violation = name + " though accepted";
      if (holders % boxes != 0) violation = name + " but not by all boxes";
    }
    return violation;
  }

  seeded_random random_;
  faults faults_;
  test_clock clock_;
  std::vector<std::unique_ptr<control_box>> boxes_;
  std::deque<worker> workers_;
  std::vector<delivery> deliveries_;
  std::vector<relayed_call> calls_;
  std::map<uint64_t, job_record> jobs_;
  std::set<job_number> started_;
  uint64_t version_ = 0;
  bool configures_ = true;
  // Answers to configurations, by version.
  std::map<uint64_t, fleet::fleet_status> configs_;
  answer_counts counts_;
};

}  // namespace kestrelreel::refused
