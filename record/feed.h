// Distributes the committed entries from the replicas to all boxes. A box
// requests the entries after its last one from a source. The source replies and
// then pushes each new entry, until the box stops sending requests.
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

/// Sends a message to one box; delivery is not guaranteed.
using send_function = std::function<void(const box_id&, proto::peer_message)>;

/// A snapshot that is sent to other boxes in parts.
struct feed_snapshot {
  uint64_t id = 0;
  proto::log_snapshot content;
};

/// Sends entries to subscribers. Every box has one.
class feed_source {
 public:
  feed_source(const record_state& state, clock_source& clock,
              send_function send);

  /// An entry was applied here.
  void on_applied(const proto::log_entry& entry);
  /// A snapshot was installed here; earlier entries are no longer available.
  void on_installed();
  /// Handles a request for the entries after `request.applied()`.
  void on_request(const box_id& from, const proto::feed_request& request,
                  const std::string& leader);
  /// Sends missing entries to all subscribers, as far as their windows allow.
  void flush();

 private:
  struct subscriber {
    feed_progress progress;
    time_point last_request{};
    std::string leader;
    bool in_parts = false;
    /// The snapshot being sent; null for none.
    std::shared_ptr<const feed_snapshot> snapshot;
  };
  bool send_missing(const box_id& to, subscriber& it);
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

/// Receives entries, on boxes without a replica.
class feed_sink {
 public:
  feed_sink(const box_table& boxes, clock_source& clock, send_function send);

  /// Sends a request when one is due; `applied` is the last applied entry.
  void tick(uint64_t applied);
  /// The current source; empty when none is reachable.
  const box_id& source() const { return source_; }
  /// Returns the snapshot that a reply contains or completes, valid until the
  /// next call; null for none.
  const proto::log_snapshot* take_snapshot(const box_id& from,
                                           const proto::feed_reply& reply);
  /// A reply was processed; `applied` is the last applied entry after it.
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
  /// Sources given up in this round; all other candidates are tried first.
  std::set<box_id> tried_;
  /// Received parts of a snapshot, and their sender: a former source may still
  /// complete it.
  feed_snapshot incoming_;
  box_id incoming_from_;
  time_point last_part_{};
  uint64_t last_number_ = 0;
  std::optional<time_point> last_request_;
  time_point last_reply_{};
  std::optional<time_point> behind_since_;
};

}  // namespace kestrelreel
