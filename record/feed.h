// Spreads the committed entries from the replicas to all boxes. A box asks a
// source for what follows its last entry; the source answers and then sends
// each new entry by itself until the box falls silent.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "proto/peer.pb.h"
#include "record/box-table.h"
#include "record/feed-progress.h"
#include "record/record-state.h"

namespace kestrelreel {

/// Sends to one box; the message may be lost.
using send_function = std::function<void(const box_id&, proto::peer_message)>;

/// A state that goes to other boxes in parts.
struct feed_snapshot {
  uint64_t id = 0;
  proto::log_snapshot content;
};

/// The side that gives entries. Every box has one.
class feed_source {
 public:
  feed_source(const record_state& state, clock_source& clock,
              send_function send);

  /// An entry was applied here.
  void on_applied(const proto::log_entry& entry);
  /// A snapshot was installed here: earlier entries can't be given any more.
  void on_installed();
  /// A box asks for what follows `request.applied()`.
  void on_request(const box_id& from, const proto::feed_request& request,
                  const std::string& leader);
  /// Sends what subscribers lack, as far as it may be on its way to them.
  void flush();

 private:
  struct subscriber {
    feed_progress progress;
    time_point last_request{};
    std::string leader;
    bool in_parts = false;
    /// The one that is on its way; null for none.
    std::shared_ptr<const feed_snapshot> snapshot;
  };
  bool send_after(const box_id& to, subscriber& it);
  void send_message(const box_id& to, subscriber& it);
  bool has_entries_after(uint64_t index) const;
  feed_position add_snapshot(subscriber& it, proto::feed_reply& reply);
  std::shared_ptr<const feed_snapshot> take_snapshot();

  const record_state& state_;
  clock_source& clock_;
  send_function send_;
  std::deque<proto::log_entry> recent_;
  size_t recent_bytes_ = 0;
  std::map<box_id, subscriber> subscribers_;
  std::weak_ptr<const feed_snapshot> latest_snapshot_;
  uint64_t last_transfer_id_ = 0;
};

/// The side that takes entries, on boxes without a replica.
class feed_sink {
 public:
  feed_sink(const box_table& boxes, clock_source& clock, send_function send);

  /// Asks a source when one is due; `applied` is the last entry here.
  void tick(uint64_t applied);
  /// The box that is asked now; empty when none is reachable.
  const box_id& source() const { return source_; }
  /// The snapshot that a reply brings or makes whole, until the next call; null
  /// for none.
  const proto::log_snapshot* take_snapshot(const box_id& from,
                                           const proto::feed_reply& reply);
  /// A reply was taken from a box; `applied` is the last entry here after it.
  void on_reply(const box_id& from, const proto::feed_reply& reply,
                uint64_t applied);

 private:
  void send_request(uint64_t applied);
  void change_source(time_point now);
  std::vector<box_id> candidates() const;
  bool is_source_lagging(uint64_t applied);

  const box_table& boxes_;
  clock_source& clock_;
  send_function send_;
  box_id source_;
  time_point source_since_{};
  /// Given up in this round; each other one comes before them.
  std::set<box_id> tried_;
  /// What came of a snapshot, and from whom: a former source may complete it.
  feed_snapshot incoming_;
  box_id incoming_from_;
  time_point last_part_{};
  uint64_t last_number_ = 0;
  std::optional<time_point> last_request_;
  time_point last_reply_{};
  std::optional<time_point> behind_since_;
};

}  // namespace kestrelreel
