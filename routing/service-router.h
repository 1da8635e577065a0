// The dispatchers of all services at one entry box, and the requests that wait
// for their decisions.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "proto/peer.pb.h"
#include "proto/record.pb.h"
#include "record/spec.h"
#include "routing/dispatcher.h"

namespace kestrelreel {

/// A service at this entry box.
struct routed_service {
  std::string name;
  milliseconds deadline{};
  std::unique_ptr<dispatcher> requests;
};

/// Finds services by name and hands each decision to who asked for it.
class service_router {
 public:
  using on_decision = std::function<void(dispatch_event)>;

  service_router(dispatch_limits limits, std::unique_ptr<runner_choice> choice,
                 random_source& random, clock_source& clock);

  /// The services of the desired state in force.
  void set_services(const spec_items& items);
  /// The holder's table of runners for this box.
  void set_runners(const proto::runner_table& table, time_point valid_until);
  /// Where this box holds lent slots now; see `runner_request`.
  void add_holdings(proto::runner_request& request) const;

  /// True once a desired state is known here.
  bool loaded() const { return loaded_; }
  /// A service of the desired state; null for an unknown one.
  routed_service* find(const std::string& name);
  /// A number for the next request.
  uint64_t next_id() { return ++last_id_; }

  /// Asks for a runner; `decided` is called once, perhaps at once.
  void submit(routed_service& service, const request_info& request,
              on_decision decided);
  /// Asks for another try; false when there is none, and `decided` is dropped.
  bool retry(routed_service& service, const request_info& request,
             const std::set<task_id>& tried, on_decision decided);
  /// An exchange ended.
  void finish(routed_service& service, runner& target, exchange_result result,
              milliseconds latency);
  /// Nobody waits for the decision any more.
  void abandon(routed_service& service, uint64_t id);
  /// Time passed.
  void tick();

  const std::map<std::string, routed_service>& services() const {
    return services_;
  }

 private:
  void deliver(dispatcher& it);

  dispatch_limits limits_;
  std::unique_ptr<runner_choice> choice_;
  random_source& random_;
  clock_source& clock_;
  uint64_t last_id_ = 0;
  bool loaded_ = false;
  std::map<std::string, routed_service> services_;
  std::map<std::string, bool> wanted_;
  std::map<uint64_t, on_decision> waiting_;
};

}  // namespace kestrelreel
