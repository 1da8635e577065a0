// Requests that wait for a slot at an entry box: fair among tenants by deficit
// round robin, latency-critical ones before batch ones.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace kestrelreel {

/// Order between requests; the first is served first.
enum class request_class { latency_critical, batch };

/// A request that waits.
struct waiting_request {
  uint64_t id = 0;
  std::string tenant;
  request_class kind = request_class::latency_critical;
  time_point deadline{};
};

/// The queue. All requests cost the same, so that a tenant's turn is one
/// request.
class fair_queue {
 public:
  void push(waiting_request request);
  /// The next request, which stays; null when the queue is empty.
  const waiting_request* peek() const;
  /// Takes the next request out; nothing when the queue is empty.
  std::optional<waiting_request> pop();
  /// Takes out those whose deadline is over.
  std::vector<waiting_request> take_expired(time_point now);
  /// Takes out one request; false when it does not wait here.
  bool remove(uint64_t id);
  size_t size() const { return size_; }
  /// How many would be served before a new request of that tenant and class.
  size_t ahead_of(const std::string& tenant, request_class kind) const;

 private:
  struct tenant_queue {
    std::string tenant;
    std::deque<waiting_request> requests;
  };
  // Tenants with requests, in the order of their turns.
  using turn_list = std::list<tenant_queue>;

  template <typename Condition>
  std::vector<waiting_request> take_if(Condition condition);

  std::array<turn_list, 2> classes_;
  size_t size_ = 0;
};

}  // namespace kestrelreel
