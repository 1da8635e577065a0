#include "routing/fair-queue.h"

#include <algorithm>
#include <utility>

namespace kestrelreel {

void fair_queue::push(waiting_request request) {
  turn_list& turns = classes_[static_cast<size_t>(request.kind)];
  auto it = std::find_if(turns.begin(), turns.end(), [&](const auto& queue) {
    return queue.tenant == request.tenant;
  });
  if (it == turns.end()) {
    it = turns.insert(turns.end(), tenant_queue{request.tenant, {}});
  }
  it->requests.push_back(std::move(request));
  ++size_;
}

const waiting_request* fair_queue::peek() const {
  for (const turn_list& turns : classes_) {
    if (!turns.empty()) return &turns.front().requests.front();
  }
  return nullptr;
}

std::optional<waiting_request> fair_queue::pop() {
  for (turn_list& turns : classes_) {
    if (turns.empty()) continue;
    tenant_queue& queue = turns.front();
    waiting_request request = std::move(queue.requests.front());
    queue.requests.pop_front();
    --size_;
    if (queue.requests.empty()) {
      turns.pop_front();
    } else {
      turns.splice(turns.end(), turns, turns.begin());
    }
    return request;
  }
  return std::nullopt;
}

template <typename Condition>
std::vector<waiting_request> fair_queue::take_if(Condition condition) {
  std::vector<waiting_request> taken;
  for (turn_list& turns : classes_) {
    for (tenant_queue& queue : turns) {
      std::deque<waiting_request> rest;
      for (waiting_request& it : queue.requests) {
        if (condition(it)) {
          taken.push_back(std::move(it));
        } else {
          rest.push_back(std::move(it));
        }
      }
      queue.requests = std::move(rest);
    }
    turns.remove_if([](const auto& queue) { return queue.requests.empty(); });
  }
  size_ -= taken.size();
  return taken;
}

std::vector<waiting_request> fair_queue::take_expired(time_point now) {
  return take_if([&](const waiting_request& it) { return it.deadline <= now; });
}

bool fair_queue::remove(uint64_t id) {
  return !take_if([&](const waiting_request& it) {
            return it.id == id;
          }).empty();
}

size_t fair_queue::ahead_of(const std::string& tenant,
                            request_class kind) const {
  size_t n = 0;
  for (size_t i = 0; i <= static_cast<size_t>(kind); ++i) {
    const turn_list& turns = classes_[i];
    size_t own = 0;
    for (const tenant_queue& queue : turns) {
      if (queue.tenant == tenant) own = queue.requests.size();
    }
    const bool same_class = i == static_cast<size_t>(kind);
    for (const tenant_queue& queue : turns) {
      const size_t size = queue.requests.size();
      n += same_class ? std::min(size, own + 1) : size;
    }
  }
  return n;
}

}  // namespace kestrelreel
