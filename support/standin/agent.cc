#include "support/standin/agent.h"

#include <utility>

#include "record/spec.h"

namespace kestrelreel::standin {

agent::agent(std::string name, std::string incarnation,
             resource_amount capacity, clock_source& clock, agent_host& host)
    : name_(std::move(name)),
      incarnation_(std::move(incarnation)),
      capacity_(capacity),
      clock_(clock),
      host_(host) {}

agent::~agent() {
  for (const auto& [name, it] : tasks_) {
    if (it.phase == proto::task_running) host_.ended(it.order);
  }
}

resource_amount agent::used() const {
  resource_amount sum;
  for (const auto& [name, it] : tasks_) {
    if (it.phase == proto::task_running) sum += to_amount(it.order.size());
  }
  return sum;
}

bool agent::obeys(const proto::sync_request& request) const {
  if (request.epoch() != epoch_) return request.epoch() > epoch_;
  return holder_ == request.holder() && request.sequence() > sequence_;
}

proto::sync_reply agent::sync(const proto::sync_request& request) {
  proto::sync_reply reply;
  reply.set_worker(name_);
  reply.set_sequence(request.sequence());
  reply.set_incarnation(incarnation_);
  reply.set_clock_ms(static_cast<uint64_t>(clock_.now().count()));
  reply.set_refused(!obeys(request));
  if (!reply.refused()) {
    epoch_ = request.epoch();
    holder_ = request.holder();
    sequence_ = request.sequence();
  }
  reply.set_epoch(epoch_);
  reply.set_holder(holder_);
  if (reply.refused()) return reply;
  for (const auto& it : request.stops()) drop(it.task(), it.attempt(), true);
  for (const auto& it : request.forgets()) {
    drop(it.task(), it.attempt(), false);
  }
  // A lease runs from the echoed time, so that a late request prolongs less.
  const time_point lease_end = milliseconds(
      static_cast<int64_t>(request.echo_ms() + request.lease_ms()));
  if (request.incarnation() == incarnation_) {
    for (const auto& it : request.renews()) {
      renew(it.task(), it.attempt(), lease_end);
    }
    for (const auto& it : request.starts()) start(it, lease_end);
    const uint64_t digest = request.renew_digest();
    if (digest != 0 && digest == running_digest()) renew_all(lease_end);
  }
  *reply.mutable_capacity() = to_proto(capacity_);
  reply.set_leaving(leaving_);
  reply.set_report_digest(report_digest());
  reply.set_whole(reply.report_digest() != request.have_report());
  if (reply.whole()) report(reply);
  return reply;
}

void agent::drop(const std::string& task, uint64_t attempt, bool running) {
  const auto it = tasks_.find(task);
  if (it == tasks_.end() || it->second.order.attempt() != attempt) return;
  const bool runs = it->second.phase == proto::task_running;
  if (runs && !running) return;
  if (runs) host_.ended(it->second.order);
  tasks_.erase(it);
}

void agent::renew(const std::string& task, uint64_t attempt,
                  time_point lease_end) {
  const auto it = tasks_.find(task);
  if (it == tasks_.end() || it->second.order.attempt() != attempt) return;
  it->second.lease_end = lease_end;
}

void agent::start(const proto::task_order& order, time_point lease_end) {
  const time_point now = clock_.now();
  if (now >= lease_end) return;
  const auto held = tasks_.find(order.task());
  if (held != tasks_.end()) {
    const bool same = held->second.order.attempt() == order.attempt();
    if (same) held->second.lease_end = lease_end;
    if (same || held->second.phase == proto::task_running) return;
    tasks_.erase(held);
  }
  held_task it;
  it.order = order;
  it.lease_end = lease_end;
  it.ends = now + milliseconds(static_cast<int64_t>(order.run_time_ms()));
  if (broken_) {
    it.phase = proto::task_failed;
  } else {
    it.address = host_.started(order);
  }
  tasks_.emplace(order.task(), std::move(it));
}

void agent::tick() {
  const time_point now = clock_.now();
  for (auto it = tasks_.begin(); it != tasks_.end();) {
    held_task& task = it->second;
    const bool running = task.phase == proto::task_running;
    const bool batch = task.order.service().empty();
    const bool done = running && batch && now >= task.ends;
    const bool expired = running && !done && now >= task.lease_end;
    if (done || expired) host_.ended(task.order);
    if (done) task.phase = proto::task_done;
    it = expired ? tasks_.erase(it) : std::next(it);
  }
}

void agent::renew_all(time_point lease_end) {
  for (auto& [name, it] : tasks_) it.lease_end = lease_end;
}

uint64_t agent::running_digest() const {
  uint64_t sum = 0;
  for (const auto& [name, it] : tasks_) {
    if (it.phase != proto::task_running) continue;
    sum += run_digest(task_id(name), attempt_number(it.order.attempt()));
  }
  return sum;
}

/// Never 0, which asks for a whole report.
uint64_t agent::report_digest() const {
  uint64_t sum = 1;
  for (const auto& [name, it] : tasks_) {
    const uint64_t part =
        run_digest(task_id(name), attempt_number(it.order.attempt()));
    sum += part * (static_cast<uint64_t>(it.phase) + 1);
  }
  return sum == 0 ? 1 : sum;
}

void agent::report(proto::sync_reply& reply) const {
  for (const auto& [name, it] : tasks_) {
    proto::task_report& row = *reply.add_tasks();
    row.set_task(name);
    row.set_attempt(it.order.attempt());
    row.set_phase(it.phase);
    *row.mutable_size() = it.order.size();
    row.set_address(it.address);
  }
}

}  // namespace kestrelreel::standin
