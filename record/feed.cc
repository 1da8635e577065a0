#include "record/feed.h"

#include <algorithm>
#include <utility>

namespace kestrelreel {
namespace detail {

constexpr milliseconds ask_interval{500};
constexpr milliseconds subscription{3'000};
/// What is on its way to a box whose asks come late must not be sent anew.
constexpr milliseconds remembered{30'000};
constexpr milliseconds source_patience{1'500};
/// A source that served so long ends the round in which each has its turn.
constexpr milliseconds good_service{10'000};
constexpr size_t recent_limit = 4 << 20;
constexpr size_t message_limit = 64 << 10;

}  // namespace detail

feed_source::feed_source(const record_state& state, clock_source& clock,
                         send_function send)
    : state_(state), clock_(clock), send_(std::move(send)) {}

void feed_source::on_applied(const proto::log_entry& entry) {
  recent_.push_back(entry);
  recent_bytes_ += entry.ByteSizeLong();
  while (recent_bytes_ > detail::recent_limit && recent_.size() > 1) {
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
  it.asked = clock_.now();
  it.leader = leader;
  it.in_parts = request.in_parts();
  const bool holds_part = it.snapshot && it.snapshot->id == request.transfer();
  it.progress.told({request.applied(), holds_part ? request.held() : 0},
                   request.seen(), it.asked);
  if (it.snapshot && request.applied() >= it.snapshot->whole.index()) {
    it.snapshot.reset();
  }
  if (send_after(from, it)) return;
  // A source that does not answer is given up.
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
    const bool silent = now - to.asked > detail::subscription;
    if (now - to.asked > detail::remembered) {
      it = subscribers_.erase(it);
      continue;
    }
    if (!silent) send_after(it->first, to);
    ++it;
  }
}

/// Sends what the subscriber lacks, as far as it may be on its way; false for
/// nothing.
bool feed_source::send_after(const box_id& to, subscriber& it) {
  bool sent = false;
  while (it.progress.sent().applied < state_.applied() &&
         it.progress.has_room()) {
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
  const bool have = has_after(last.applied);
  if (have) {
    it.snapshot.reset();
    last.part = 0;
  } else {
    last = add_snapshot(it, reply);
  }
  size_t n = reply.ByteSizeLong();
  const bool entries_follow = last.part == 0 && has_after(last.applied);
  while (entries_follow && last.applied < state_.applied() &&
         n < detail::message_limit) {
    const proto::log_entry& entry =
        recent_[last.applied + 1 - recent_.front().index()];
    n += entry.ByteSizeLong();
    *reply.add_entries() = entry;
    ++last.applied;
  }
  it.progress.note_sent(last, n, clock_.now());
  reply.set_applied(last.applied);
  reply.set_number(it.progress.number());
  reply.set_acknowledge(it.progress.wants_answer());
  send_(to, std::move(m));
}

/// True when all entries after `index` can be given.
bool feed_source::has_after(uint64_t index) const {
  if (index == state_.applied()) return true;
  return !recent_.empty() && recent_.front().index() <= index + 1;
}

/// Adds the next part of a snapshot, or a whole one for a box that takes no
/// parts. Returns where the box is when it has that.
feed_position feed_source::add_snapshot(subscriber& it,
                                        proto::feed_reply& reply) {
  const feed_position at = it.progress.sent();
  const bool goes_on =
      it.snapshot && at.part > 0 && it.snapshot->whole.index() > at.applied;
  const bool again = it.snapshot && has_after(it.snapshot->whole.index());
  if (!goes_on && !again) it.snapshot = take_snapshot();
  const proto::log_snapshot& whole = it.snapshot->whole;
  proto::log_snapshot& part = *reply.mutable_snapshot();
  if (!it.in_parts) {
    part = whole;
    return {whole.index(), 0};
  }
  const uint64_t offset = goes_on ? at.part : 0;
  part.set_index(whole.index());
  part.set_term(whole.term());
  part.set_data(whole.data().substr(offset, detail::message_limit));
  reply.set_transfer(it.snapshot->id);
  reply.set_offset(offset);
  reply.set_total(whole.data().size());
  const uint64_t end = offset + part.data().size();
  if (end < whole.data().size()) return {at.applied, end};
  return {whole.index(), 0};
}

std::shared_ptr<const feed_snapshot> feed_source::take_snapshot() {
  auto latest = latest_.lock();
  if (latest && latest->whole.index() == state_.applied()) return latest;
  // Parts that a box holds from an earlier life of this one fit no later one.
  if (transfers_ == 0)
    transfers_ = static_cast<uint64_t>(clock_.now().count()) << 20;
  auto it = std::make_shared<feed_snapshot>();
  it->id = ++transfers_;
  it->whole.set_index(state_.applied());
  it->whole.set_term(state_.applied_term());
  it->whole.set_data(state_.save());
  latest_ = it;
  return it;
}

feed_sink::feed_sink(const box_table& boxes, clock_source& clock,
                     send_function send)
    : boxes_(boxes), clock_(clock), send_(std::move(send)) {}

void feed_sink::tick(uint64_t applied) {
  const time_point now = clock_.now();
  if (asked_ && now - *asked_ < detail::ask_interval) return;
  const bool silent = now - answered_ > detail::source_patience;
  const bool lags = source_lags(applied);
  if (source_.empty() || !boxes_.live(source_) || silent || lags) {
    change_source(now);
    behind_since_.reset();
  }
  if (!source_.empty()) ask(applied);
}

void feed_sink::ask(uint64_t applied) {
  asked_ = clock_.now();
  proto::peer_message m;
  proto::feed_request& request = *m.mutable_feed();
  request.set_applied(applied);
  request.set_in_parts(true);
  if (incoming_.whole.index() <= applied) incoming_ = {};
  if (source_ == incoming_from_) {
    request.set_transfer(incoming_.id);
    request.set_held(incoming_.whole.data().size());
  }
  request.set_seen(seen_);
  send_(source_, std::move(m));
}

/// True when another live box has long been ahead of this one, which then has
/// a source that is cut off itself.
bool feed_sink::source_lags(uint64_t applied) {
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
  // What came of a snapshot would be lost with its source.
  return now - std::max(*behind_since_, part_came_) > detail::source_patience;
}

void feed_sink::on_reply(const box_id& from, const proto::feed_reply& reply,
                         uint64_t applied) {
  if (from != source_) return;
  answered_ = clock_.now();
  seen_ = reply.number();
  if (reply.acknowledge()) ask(applied);
}

const proto::log_snapshot* feed_sink::take_snapshot(
    const box_id& from, const proto::feed_reply& reply) {
  if (!reply.has_snapshot()) return nullptr;
  if (reply.total() == 0) return &reply.snapshot();
  proto::log_snapshot& whole = incoming_.whole;
  if (from != incoming_from_ || incoming_.id != reply.transfer()) {
    if (from != source_) return nullptr;
    incoming_from_ = from;
    incoming_ = {reply.transfer(), reply.snapshot()};
    whole.clear_data();
  }
  if (reply.offset() != whole.data().size()) return nullptr;
  *whole.mutable_data() += reply.snapshot().data();
  part_came_ = clock_.now();
  return whole.data().size() < reply.total() ? nullptr : &whole;
}

void feed_sink::change_source(time_point now) {
  if (now - chosen_ > detail::good_service) tried_.clear();
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
  seen_ = 0;
  chosen_ = answered_ = now;
}

/// Live boxes, the nearest first: replicas here, replicas elsewhere, then the
/// other boxes here.
std::vector<box_id> feed_sink::candidates() const {
  const data_centre_id& here = boxes_.own_data_centre();
  std::vector<box_id> all;
  std::vector<box_id> far_replicas;
  std::vector<box_id> near_boxes;
  for (const box_entry& it : boxes_.boxes()) {
    if (it.id == boxes_.self() || !boxes_.live(it.id)) continue;
    const bool near = it.data_centre == here;
    if (it.replica) {
      (near ? all : far_replicas).push_back(it.id);
    } else if (near) {
      near_boxes.push_back(it.id);
    }
  }
  all.insert(all.end(), far_replicas.begin(), far_replicas.end());
  all.insert(all.end(), near_boxes.begin(), near_boxes.end());
  return all;
}

}  // namespace kestrelreel
