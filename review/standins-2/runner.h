// A stand-in for a runner and for what all runners do together: what runs
// where, and which members of a gang are present.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"

namespace review2 {

/// One run of a task, as its runner saw it.
struct seen_run {
  std::string task;
  unsigned run = 0;
  std::string runner;
  std::string zone;
  milliseconds began{0};
  std::optional<milliseconds> ended;
  std::string how;
};

/// All runs of a scene.
class run_book {
 public:
  explicit run_book(record& seen) : seen_(seen) {}
  size_t began(const std::string& task, unsigned run, const std::string& runner,
               const std::string& zone);
  void ended(size_t which, const std::string& how);
  std::vector<seen_run> all() const;
  unsigned count(const std::string& how) const;
  /// A member of the gang's run is there; the number that are.
  size_t present(const std::string& gang_run, const std::string& member);
  size_t present(const std::string& gang_run) const;
  /// The members' runner says that one has failed.
  void fail_gang(const std::string& gang_run);
  bool gang_failed(const std::string& gang_run) const;

 private:
  record& seen_;
  mutable std::mutex mutex_;
  std::vector<seen_run> runs_;
  std::map<std::string, std::set<std::string>> members_;
  std::set<std::string> failed_gangs_;
};

struct runner_settings {
  std::string id;
  std::string machine;
  std::string address;
  std::string zone = "kumluca";
  std::vector<std::string> labels;
  /// All that it starts fails.
  bool fails_all = false;
};

/// A runner follows the pages: one heartbeat at a time, leases, fencing tokens,
/// stops, ends that are listed until they are taken note of. The text of a
/// job's `Spec` says how its tasks behave: "ms=N" for the time they take, none
/// for tasks that last, "gang=N" for the members of a gang.
class runner {
 public:
  runner(runner_settings settings, std::vector<std::string> controls,
         run_book& book, record& seen);
  ~runner();
  runner(const runner&) = delete;
  runner& operator=(const runner&) = delete;

  /// All at once, without a word.
  void crash();
  /// From now on it reports that it drains.
  void drain(milliseconds remaining);
  bool drain_acknowledged() const { return drain_acknowledged_; }
  /// Whether it fails all that it starts.
  void fail_all(bool on) { fails_all_ = on; }
  /// It ends: all that runs there dies, and nothing more is sent.
  void end() { crash(); }
  bool is_up() const { return up_; }
  bool has_lease() const { return answers_ > 0; }
  std::string heartbeat_address() const;
  const runner_settings& settings() const { return settings_; }

 private:
  struct live_run {
    unsigned run = 0;
    std::string saved;
    std::optional<clock_type::time_point> done_at;
    std::optional<clock_type::time_point> stopped_at;
    size_t gang_size = 0;
    clock_type::time_point began;
    size_t seen = 0;
  };
  struct listed_end {
    unsigned number = 0;
    std::string task;
    unsigned run = 0;
    std::string how;
  };

  void work();
  std::string body();
  bool beat();
  void take(const std::string& text, clock_type::time_point sent);
  void start(const std::string& task, unsigned run, const std::string& spec);
  void stop(const std::string& task, unsigned run);
  void end_what_is_due();
  const char* how_it_ends(const std::string& task, const live_run& it,
                          clock_type::time_point now) const;
  void finish(const std::string& task, const char* how);
  bool may_wait_until(clock_type::time_point until);

  runner_settings settings_;
  std::vector<std::string> controls_;
  run_book& book_;
  record& seen_;
  mutable std::mutex mutex_;
  std::map<std::string, live_run> running_;
  std::map<std::string, unsigned> over_;
  std::vector<listed_end> ended_;
  std::string told_;
  size_t next_control_ = 0;
  unsigned sequence_ = 0;
  unsigned last_end_ = 0;
  uint64_t fence_ = 0;
  milliseconds pause_{50};
  clock_type::time_point born_ = clock_type::now();
  clock_type::time_point lease_until_{};
  std::optional<clock_type::time_point> gone_at_;
  std::atomic<bool> fails_all_{false};
  std::atomic<bool> up_{true};
  std::atomic<bool> drain_acknowledged_{false};
  std::atomic<unsigned> answers_{0};
  std::thread thread_;
};

}  // namespace review2
