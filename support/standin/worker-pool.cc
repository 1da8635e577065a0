#include "support/standin/worker-pool.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "base/text.h"
#include "record/spec.h"

namespace kestrelreel::standin {

worker::worker(boost::asio::io_context& io, clock_source& clock,
               std::string name, resource_amount capacity, std::string ip)
    : io_(io),
      clock_(clock),
      name_(std::move(name)),
      capacity_(capacity),
      ip_(std::move(ip)) {
  seeded_random random(0);
  incarnation_ = str_cat(absl::StrCat(absl::Hex(random.next())));
}

resource_amount worker::used() const {
  resource_amount sum;
  for (const auto& [name, it] : tasks_) {
    if (it.phase == proto::task_running) sum += to_amount(it.order.size());
  }
  return sum;
}

proto::sync_reply worker::sync(const proto::sync_request& request) {
  proto::sync_reply reply;
  reply.set_worker(name_);
  reply.set_sequence(request.sequence());
  reply.set_incarnation(incarnation_);
  reply.set_clock_ms(static_cast<uint64_t>(clock_.now().count()));
  const bool older = request.epoch() < epoch_;
  const bool same = request.epoch() == epoch_ && holder_ == request.holder();
  const bool rival = request.epoch() == epoch_ && !same && !holder_.empty();
  const bool overtaken = same && request.sequence() <= sequence_;
  if (older || rival || overtaken) {
    reply.set_refused(true);
    reply.set_epoch(epoch_);
    reply.set_holder(holder_);
    return reply;
  }
  epoch_ = request.epoch();
  holder_ = request.holder();
  sequence_ = request.sequence();
  reply.set_epoch(epoch_);
  reply.set_holder(holder_);
  const bool current = request.incarnation() == incarnation_;
  const time_point lease_end = milliseconds(
      static_cast<int64_t>(request.echo_ms() + request.lease_ms()));
  for (const proto::task_ref& it : request.stops()) {
    const auto held = tasks_.find(it.task());
    if (held == tasks_.end()) continue;
    if (held->second.order.attempt() == it.attempt()) tasks_.erase(held);
  }
  for (const proto::task_ref& it : request.forgets()) {
    const auto held = tasks_.find(it.task());
    if (held == tasks_.end()) continue;
    const bool over = held->second.phase != proto::task_running;
    if (over && held->second.order.attempt() == it.attempt()) {
      tasks_.erase(held);
    }
  }
  if (current) {
    for (const proto::task_ref& it : request.renews()) {
      const auto held = tasks_.find(it.task());
      if (held == tasks_.end()) continue;
      if (held->second.order.attempt() == it.attempt()) {
        held->second.lease_end = lease_end;
      }
    }
    for (const auto& it : request.starts()) start(it, lease_end);
  }
  report(reply);
  return reply;
}

void worker::start(const proto::task_order& order, time_point lease_end) {
  const time_point now = clock_.now();
  if (now >= lease_end) return;
  const auto held = tasks_.find(order.task());
  if (held != tasks_.end()) {
    if (held->second.order.attempt() == order.attempt()) {
      held->second.lease_end = lease_end;
      return;
    }
    if (held->second.phase == proto::task_running) return;
    tasks_.erase(held);
  }
  resource_amount room = capacity_;
  room -= used();
  if (!to_amount(order.size()).fits(room)) ++overfull_;
  held_task it;
  it.order = order;
  it.lease_end = lease_end;
  it.ends = now + milliseconds(static_cast<int64_t>(order.run_time_ms()));
  if (!order.service().empty()) {
    it.server =
        std::make_unique<backend_server>(io_, ip_, order.task(), order.slots());
  }
  tasks_.insert_or_assign(order.task(), std::move(it));
}

void worker::tick() {
  const time_point now = clock_.now();
  for (auto it = tasks_.begin(); it != tasks_.end();) {
    held_task& task = it->second;
    const bool running = task.phase == proto::task_running;
    if (running && now >= task.lease_end) {
      it = tasks_.erase(it);
      continue;
    }
    const bool batch = task.order.service().empty();
    if (running && batch && now >= task.ends) task.phase = proto::task_done;
    ++it;
  }
}

void worker::report(proto::sync_reply& reply) const {
  *reply.mutable_capacity() = to_proto(capacity_);
  reply.set_leaving(leaving_);
  for (const auto& [name, it] : tasks_) {
    proto::task_report& row = *reply.add_tasks();
    row.set_task(name);
    row.set_attempt(it.order.attempt());
    row.set_phase(it.phase);
    *row.mutable_size() = it.order.size();
    if (it.server) row.set_address(it.server->address());
  }
}

grpc::ServerUnaryReactor* worker_calls::sync(
    grpc::CallbackServerContext* context, const proto::sync_request* request,
    proto::sync_reply* reply) {
  grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
  boost::asio::post(io_, [this, reactor, request, reply] {
    const auto it = workers_.find(request->worker());
    if (it == workers_.end()) {
      return reactor->Finish({grpc::StatusCode::NOT_FOUND, "no such worker"});
    }
    *reply = it->second->sync(*request);
    reactor->Finish(grpc::Status::OK);
  });
  return reactor;
}

}  // namespace kestrelreel::standin
