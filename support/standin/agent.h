// The agent of one stand-in worker, without input or output: obeys the latest
// holder, keeps leases by its own clock, runs batch tasks as timers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/clock.h"
#include "base/units.h"
#include "proto/worker.pb.h"

namespace kestrelreel::standin {

/// A task on a worker.
struct held_task {
  proto::task_order order;
  proto::task_phase phase = proto::task_running;
  time_point lease_end{};
  time_point ends{};
  std::string address;
};

/// What a worker does beside keeping leases.
class agent_host {
 public:
  virtual ~agent_host() = default;
  /// A task starts; returns where it answers, if it is a service's replica.
  virtual std::string started(const proto::task_order& order) = 0;
  /// A task no longer runs.
  virtual void ended(const proto::task_order& order) = 0;
};

/// The agent.
class agent {
 public:
  agent(std::string name, std::string incarnation, resource_amount capacity,
        clock_source& clock, agent_host& host);
  ~agent();

  /// One exchange with a holder.
  proto::sync_reply sync(const proto::sync_request& request);
  /// Ends what is over: leases and run times.
  void tick();

  const std::string& name() const { return name_; }
  const resource_amount& capacity() const { return capacity_; }
  const std::map<std::string, held_task>& tasks() const { return tasks_; }
  /// What the running tasks take.
  resource_amount used() const;
  void set_leaving(bool it) { leaving_ = it; }
  bool leaving() const { return leaving_; }
  /// Makes all further starts fail at once, as a broken worker's do.
  void set_broken(bool it) { broken_ = it; }

 private:
  bool obeys(const proto::sync_request& request) const;
  void drop(const std::string& task, uint64_t attempt, bool running);
  void renew(const std::string& task, uint64_t attempt, time_point lease_end);
  void start(const proto::task_order& order, time_point lease_end);
  void renew_all(time_point lease_end);
  uint64_t running_digest() const;
  uint64_t report_digest() const;
  void report(proto::sync_reply& reply) const;

  std::string name_;
  std::string incarnation_;
  resource_amount capacity_;
  clock_source& clock_;
  agent_host& host_;
  uint64_t epoch_ = 0;
  std::string holder_;
  uint64_t sequence_ = 0;
  bool leaving_ = false;
  bool broken_ = false;
  std::map<std::string, held_task> tasks_;
};

}  // namespace kestrelreel::standin
