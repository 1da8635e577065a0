#include "routing/service-router.h"

#include <utility>

namespace kestrelreel {

service_router::service_router(dispatch_limits limits,
                               std::unique_ptr<runner_choice> choice,
                               random_source& random, clock_source& clock)
    : limits_(limits),
      choice_(std::move(choice)),
      random_(random),
      clock_(clock) {}

void service_router::set_services(const spec_items& items) {
  loaded_ = true;
  wanted_.clear();
  for (const auto& [key, item] : items) {
    if (!item.has_service()) continue;
    const proto::service_spec& spec = item.service();
    wanted_[spec.name()] = true;
    routed_service& it = services_[spec.name()];
    it.name = spec.name();
    it.deadline = milliseconds(static_cast<int64_t>(spec.deadline_ms()));
    if (it.requests) continue;
    it.requests =
        std::make_unique<dispatcher>(limits_, *choice_, random_, clock_);
  }
}

void service_router::set_runners(const proto::runner_table& table,
                                 time_point valid_until) {
  std::map<std::string, std::vector<proto::runner>> by_service;
  for (const proto::runner& it : table.runners()) {
    by_service[it.service()].push_back(it);
  }
  for (auto& [name, it] : services_) {
    it.requests->pool().update(by_service[name], valid_until);
    it.requests->tick();
    deliver(*it.requests);
  }
}

void service_router::add_holdings(proto::runner_request& request) const {
  for (const auto& [name, service] : services_) {
    for (const auto& [id, it] : service.requests->pool().runners()) {
      const uint32_t held = it->held_slots();
      if (held == 0) continue;
      auto& holding = *request.add_holdings();
      holding.set_task(id.str());
      holding.set_attempt(it->attempt.value());
      holding.set_slots(held);
    }
  }
}

routed_service* service_router::find(const std::string& name) {
  if (!wanted_.contains(name)) return nullptr;
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : &it->second;
}

void service_router::submit(routed_service& service,
                            const request_info& request, on_decision decided) {
  waiting_.emplace(request.id, std::move(decided));
  service.requests->submit(request);
  deliver(*service.requests);
}

bool service_router::retry(routed_service& service, const request_info& request,
                           const std::set<task_id>& tried,
                           on_decision decided) {
  if (!service.requests->retry(request, tried)) return false;
  waiting_.emplace(request.id, std::move(decided));
  deliver(*service.requests);
  return true;
}

void service_router::finish(routed_service& service, runner& target,
                            exchange_result result, milliseconds latency) {
  service.requests->finish(target, result, latency);
  deliver(*service.requests);
}

void service_router::abandon(routed_service& service, uint64_t id) {
  waiting_.erase(id);
  service.requests->abandon(id);
}

void service_router::tick() {
  for (auto& [name, it] : services_) {
    it.requests->tick();
    deliver(*it.requests);
  }
}

void service_router::deliver(dispatcher& it) {
  for (dispatch_event& event : it.take_events()) {
    const auto found = waiting_.find(event.id);
    if (found == waiting_.end()) continue;
    const on_decision decided = std::move(found->second);
    waiting_.erase(found);
    decided(std::move(event));
  }
}

}  // namespace kestrelreel
