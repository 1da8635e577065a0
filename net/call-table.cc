#include "net/call-table.h"

#include <utility>

namespace kestrelreel {

void lost_call::fail(const char* reason) const {
  fleet::fleet_response response;
  response.set_status(may_have_run ? fleet::fleet_unknown
                                   : fleet::fleet_unavailable);
  response.set_reason(reason);
  respond(std::move(response));
}

void call_table::add(call_number call, time_point deadline,
                     respond_function respond) {
  calls_[call] = {std::move(respond), deadline, connection_number()};
}

void call_table::carried(call_number call, connection_number by) {
  const auto it = calls_.find(call);
  if (it != calls_.end()) it->second.by = by;
}

bool call_table::is_unsent(call_number call) const {
  const auto it = calls_.find(call);
  return it != calls_.end() && it->second.by == connection_number();
}

call_table::respond_function call_table::take(call_number call) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) return nullptr;
  respond_function respond = std::move(it->second.respond);
  calls_.erase(it);
  return respond;
}

template <typename Which>
std::vector<lost_call> call_table::take_if(const Which& which) {
  std::vector<lost_call> taken;
  for (auto it = calls_.begin(); it != calls_.end();) {
    entry& call = it->second;
    if (!which(call)) {
      ++it;
      continue;
    }
    taken.push_back({std::move(call.respond), call.by != connection_number()});
    it = calls_.erase(it);
  }
  return taken;
}

std::vector<lost_call> call_table::take_all() {
  return take_if([](const entry&) { return true; });
}

std::vector<lost_call> call_table::take_carried(connection_number by) {
  return take_if([&](const entry& it) { return it.by == by; });
}

std::vector<lost_call> call_table::take_expired(time_point now) {
  return take_if([&](const entry& it) { return it.deadline <= now; });
}

}  // namespace kestrelreel
