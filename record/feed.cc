#include "record/feed.h"

#include <algorithm>
#include <utility>

namespace kestrelreel {
namespace detail {

constexpr milliseconds request_interval{500};
/// Entries are pushed for this long after the last request of a subscriber.
constexpr milliseconds subscription_timeout{3'000};
/// Time for which the progress of a silent subscriber is kept, because data in
/// flight to a box whose requests arrive late must not be sent again.
constexpr milliseconds subscriber_retention{30'000};
/// A box gives up a source that does not reply, or lags, for this long.
constexpr milliseconds source_timeout{1'500};
/// After a source served for this long, the round in which each source is tried
/// once starts over.
constexpr milliseconds stable_service_time{10'000};
/// Bound on the recent entries that are kept for subscribers.
constexpr size_t max_recent_bytes = 4 << 20;
constexpr size_t max_message_bytes = 64 << 10;

}  // namespace detail

feed_source::feed_source(const record_state& state, clock_source& clock,
                         send_function send)
    : state_(state), clock_(clock), send_(std::move(send)) {}

void feed_source::on_applied(const proto::log_entry& entry) {
  recent_.push_back(entry);
  recent_bytes_ += entry.ByteSizeLong();
  while (recent_bytes_ > detail::max_recent_bytes && recent_.size() > 1) {
    recent_bytes_ -= recent_.front().ByteSizeLong();
    recent_.pop_front();
  }
}

void feed_source::on_installed() {
  recent_.clear();
  recent_bytes_ = 0;
}

void feed_source::on_request(const box_id& from,
                             const proto::feed_request& request,
                             const std::string& leader) {
  subscriber& it = subscribers_[from];
  it.last_request = clock_.now();
  it.leader = leader;
  it.in_parts = request.in_parts();
  const bool holds_part = it.snapshot && it.snapshot->id == request.transfer();
  it.progress.on_report({request.applied(), holds_part ? request.held() : 0},
                        request.seen(), it.last_request);
  if (it.snapshot && request.applied() >= it.snapshot->content.index()) {
    it.snapshot.reset();
  }
  if (send_missing(from, it)) return;
  // Replies even without new entries, because the box gives up a silent source.
  proto::peer_message m;
  m.mutable_fed()->set_applied(it.progress.sent().applied);
  m.mutable_fed()->set_leader(leader);
  m.mutable_fed()->set_number(it.progress.number());
  send_(from, std::move(m));
}

void feed_source::flush() {
  const time_point now = clock_.now();
  for (auto it = subscribers_.begin(); it != subscribers_.end();) {
    subscriber& to = it->second;
    const bool silent = now - to.last_request > detail::subscription_timeout;
    if (now - to.last_request > detail::subscriber_retention) {
      it = subscribers_.erase(it);
      continue;
    }
    if (!silent) send_missing(it->first, to);
    ++it;
  }
}

/// Sends missing entries as far as the window allows; returns false when
/// nothing was sent.
bool feed_source::send_missing(const box_id& to, subscriber& it) {
  bool sent = false;
  while (it.progress.sent().applied < state_.applied() &&
         it.progress.can_send()) {
    send_message(to, it);
    sent = true;
  }
  return sent;
}

void feed_source::send_message(const box_id& to, subscriber& it) {
  proto::peer_message m;
  proto::feed_reply& reply = *m.mutable_fed();
  reply.set_leader(it.leader);
  feed_position last = it.progress.sent();
  const bool has_entries = has_entries_after(last.applied);
  if (has_entries) {
    it.snapshot.reset();
    last.snapshot_bytes = 0;
  } else {
    last = add_snapshot(it, reply);
  }
  size_t n = reply.ByteSizeLong();
  const bool entries_follow =
      last.snapshot_bytes == 0 && has_entries_after(last.applied);
  while (entries_follow && last.applied < state_.applied() &&
         n < detail::max_message_bytes) {
    const proto::log_entry& entry =
        recent_[last.applied + 1 - recent_.front().index()];
    n += entry.ByteSizeLong();
    *reply.add_entries() = entry;
    ++last.applied;
  }
  it.progress.note_sent(last, n, clock_.now());
  reply.set_applied(last.applied);
  reply.set_number(it.progress.number());
  reply.set_acknowledge(it.progress.wants_acknowledgement());
  send_(to, std::move(m));
}

/// True when all entries after `index` are available.
bool feed_source::has_entries_after(uint64_t index) const {
  if (index == state_.applied()) return true;
  return !recent_.empty() && recent_.front().index() <= index + 1;
}

/// Adds the next part of a snapshot, or the whole snapshot for a box that
/// doesn't support parts. Returns the position of the box after that message.
feed_position feed_source::add_snapshot(subscriber& it,
                                        proto::feed_reply& reply) {
  const feed_position at = it.progress.sent();
  const bool continues = it.snapshot && at.snapshot_bytes > 0 &&
                         it.snapshot->content.index() > at.applied;
  const bool reusable =
      it.snapshot && has_entries_after(it.snapshot->content.index());
  if (!continues && !reusable) it.snapshot = take_snapshot();
  const proto::log_snapshot& snapshot_content = it.snapshot->content;
  proto::log_snapshot& part = *reply.mutable_snapshot();
  if (!it.in_parts) {
    part = snapshot_content;
    return {snapshot_content.index(), 0};
  }
  const uint64_t offset = continues ? at.snapshot_bytes : 0;
  part.set_index(snapshot_content.index());
  part.set_term(snapshot_content.term());
  part.set_data(
      snapshot_content.data().substr(offset, detail::max_message_bytes));
  reply.set_transfer(it.snapshot->id);
  reply.set_offset(offset);
  reply.set_total(snapshot_content.data().size());
  const uint64_t end = offset + part.data().size();
  if (end < snapshot_content.data().size()) return {at.applied, end};
  return {snapshot_content.index(), 0};
}

std::shared_ptr<const feed_snapshot> feed_source::take_snapshot() {
  auto latest = latest_snapshot_.lock();
  if (latest && latest->content.index() == state_.applied()) return latest;
  // Transfer ids start at the current time, so that parts from an earlier
  // incarnation of this box never match a later snapshot.
  if (last_transfer_id_ == 0)
    last_transfer_id_ = static_cast<uint64_t>(clock_.now().count()) << 20;
  auto it = std::make_shared<feed_snapshot>();
  it->id = ++last_transfer_id_;
  it->content.set_index(state_.applied());
  it->content.set_term(state_.applied_term());
  it->content.set_data(state_.save());
  latest_snapshot_ = it;
  return it;
}

feed_sink::feed_sink(const box_table& boxes, clock_source& clock,
                     send_function send)
    : boxes_(boxes), clock_(clock), send_(std::move(send)) {}

void feed_sink::tick(uint64_t applied) {
  const time_point now = clock_.now();
  if (last_request_ && now - *last_request_ < detail::request_interval) return;
  const bool silent = now - last_reply_ > detail::source_timeout;
  const bool lagging = is_source_lagging(applied);
  if (source_.empty() || !boxes_.live(source_) || silent || lagging) {
    change_source(now);
    behind_since_.reset();
  }
  if (!source_.empty()) send_request(applied);
}

void feed_sink::send_request(uint64_t applied) {
  last_request_ = clock_.now();
  proto::peer_message m;
  proto::feed_request& request = *m.mutable_feed();
  request.set_applied(applied);
  request.set_in_parts(true);
  if (incoming_.content.index() <= applied) incoming_ = {};
  if (source_ == incoming_from_) {
    request.set_transfer(incoming_.id);
    request.set_held(incoming_.content.data().size());
  }
  request.set_seen(last_number_);
  send_(source_, std::move(m));
}

/// True when another live box has been ahead of this one for the source
/// timeout, which means that the source itself is partitioned.
bool feed_sink::is_source_lagging(uint64_t applied) {
  bool behind = false;
  for (const box_entry& it : boxes_.boxes()) {
    if (it.id == boxes_.self() || !boxes_.live(it.id)) continue;
    behind |= boxes_.view(it.id).digest.applied() > applied;
  }
  const time_point now = clock_.now();
  if (!behind) {
    behind_since_.reset();
    return false;
  }
  if (!behind_since_) behind_since_ = now;
  // Recent snapshot parts count as progress, because a change of the source
  // would lose them.
  return now - std::max(*behind_since_, last_part_) > detail::source_timeout;
}

void feed_sink::on_reply(const box_id& from, const proto::feed_reply& reply,
                         uint64_t applied) {
  if (from != source_) return;
  last_reply_ = clock_.now();
  last_number_ = reply.number();
  if (reply.acknowledge()) send_request(applied);
}

const proto::log_snapshot* feed_sink::take_snapshot(
    const box_id& from, const proto::feed_reply& reply) {
  if (!reply.has_snapshot()) return nullptr;
  if (reply.total() == 0) return &reply.snapshot();
  proto::log_snapshot& snapshot_content = incoming_.content;
  if (from != incoming_from_ || incoming_.id != reply.transfer()) {
    if (from != source_) return nullptr;
    incoming_from_ = from;
    incoming_ = {reply.transfer(), reply.snapshot()};
    snapshot_content.clear_data();
  }
  if (reply.offset() != snapshot_content.data().size()) return nullptr;
  *snapshot_content.mutable_data() += reply.snapshot().data();
  last_part_ = clock_.now();
  return snapshot_content.data().size() < reply.total() ? nullptr
                                                        : &snapshot_content;
}

void feed_sink::change_source(time_point now) {
  if (now - source_since_ > detail::stable_service_time) tried_.clear();
  if (!source_.empty()) tried_.insert(source_);
  const std::vector<box_id> all = candidates();
  const auto untried = [&](const box_id& it) { return !tried_.contains(it); };
  auto next = std::ranges::find_if(all, untried);
  if (next == all.end()) {
    tried_.clear();
    const bool others = all.size() > 1;
    if (others && !source_.empty()) tried_.insert(source_);
    next = std::ranges::find_if(all, untried);
  }
  source_ = next == all.end() ? box_id() : *next;
  last_number_ = 0;
  source_since_ = last_reply_ = now;
}

/// Live boxes in order of preference: replicas in this data centre, replicas in
/// other data centres, then other boxes in this data centre.
std::vector<box_id> feed_sink::candidates() const {
  const data_centre_id& here = boxes_.own_data_centre();
  std::vector<box_id> all;
  std::vector<box_id> remote_replicas;
  std::vector<box_id> local_boxes;
  for (const box_entry& it : boxes_.boxes()) {
    if (it.id == boxes_.self() || !boxes_.live(it.id)) continue;
    const bool is_local = it.data_centre == here;
    if (it.replica) {
      (is_local ? all : remote_replicas).push_back(it.id);
    } else if (is_local) {
      local_boxes.push_back(it.id);
    }
  }
  all.insert(all.end(), remote_replicas.begin(), remote_replicas.end());
  all.insert(all.end(), local_boxes.begin(), local_boxes.end());
  return all;
}

}  // namespace kestrelreel
