// The calls that a box has under way at another one, and what is true of each
// when no answer comes. Pure: calls, connections and time go in, the calls that
// are over come out.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {

/// A call, by the number that its answer bears.
using call_number = strong_count<struct call_tag>;
/// A connection, in the order in which they were made; 0 is none.
using connection_number = strong_count<struct connection_tag>;

/// A call that ends without an answer.
struct lost_call {
  std::function<void(fleet::fleet_response)> respond;
  /// A connection has carried it, so that its peer may have taken it.
  bool may_have_run = false;

  /// Answers `unknown` or, when nobody can have it, `unavailable`.
  void fail(const char* reason) const;
};

/// Not thread-safe.
class call_table {
 public:
  using respond_function = std::function<void(fleet::fleet_response)>;

  /// A call that no connection has carried yet.
  void add(call_number call, time_point deadline, respond_function respond);
  /// It is handed to a connection now: from here on its peer may take it,
  /// whatever becomes of the connection.
  void carried(call_number call, connection_number by);
  /// True while it is wanted and no connection has carried it.
  bool is_unsent(call_number call) const;
  /// Takes the call that an answer came for; empty when it is over already.
  respond_function take(call_number call);
  /// Takes all calls: their peer is out of reach.
  std::vector<lost_call> take_all();
  /// Takes those that a connection has carried.
  std::vector<lost_call> take_carried(connection_number by);
  /// Takes those whose time is over.
  std::vector<lost_call> take_expired(time_point now);
  bool empty() const { return calls_.empty(); }
  size_t size() const { return calls_.size(); }

 private:
  struct entry {
    respond_function respond;
    time_point deadline;
    connection_number by;
  };
  template <typename Which>
  std::vector<lost_call> take_if(const Which& which);

  std::map<call_number, entry> calls_;
};

}  // namespace kestrelreel
