#include "record/feed.h"

#include <algorithm>
#include <utility>

namespace kestrelreel {
namespace detail {

constexpr milliseconds ask_interval{500};
constexpr milliseconds subscription{3'000};
constexpr milliseconds source_patience{1'500};
/// A source that served so long ends the round in which each has its turn.
constexpr milliseconds good_service{10'000};
constexpr size_t recent_limit = 4 << 20;
constexpr size_t message_limit = 64 << 10;

}  // namespace detail

feed_source::feed_source(const record_state& state, clock_source& clock,
                         send_function send)
    : state_(state), clock_(clock), send_(std::move(send)) {}

void feed_source::applied(const proto::log_entry& entry) {
  recent_.push_back(entry);
  recent_bytes_ += entry.ByteSizeLong();
  while (recent_bytes_ > detail::recent_limit && recent_.size() > 1) {
    recent_bytes_ -= recent_.front().ByteSizeLong();
    recent_.pop_front();
  }
}

void feed_source::installed() {
  recent_.clear();
  recent_bytes_ = 0;
}

void feed_source::on_request(const box_id& from,
                             const proto::feed_request& request,
                             const std::string& leader) {
  subscriber& it = subscribers_[from];
  it.asked = clock_.now();
  it.leader = leader;
  it.progress.told(request.applied(), it.asked);
  if (send_after(from, it)) return;
  // A source that does not answer is given up.
  proto::peer_message m;
  m.mutable_fed()->set_applied(it.progress.sent());
  m.mutable_fed()->set_leader(leader);
  send_(from, std::move(m));
}

void feed_source::flush() {
  const time_point now = clock_.now();
  for (auto it = subscribers_.begin(); it != subscribers_.end();) {
    subscriber& to = it->second;
    const bool silent = now - to.asked > detail::subscription;
    if (silent && !to.progress.waits(now)) {
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
  while (it.progress.sent() < state_.applied() && it.progress.has_room()) {
    send_message(to, it);
    sent = true;
  }
  return sent;
}

void feed_source::send_message(const box_id& to, subscriber& it) {
  proto::peer_message m;
  proto::feed_reply& reply = *m.mutable_fed();
  reply.set_leader(it.leader);
  uint64_t last = it.progress.sent();
  const bool have = !recent_.empty() && recent_.front().index() <= last + 1;
  size_t n = 0;
  if (!have) {
    proto::log_snapshot& snapshot = *reply.mutable_snapshot();
    snapshot.set_index(state_.applied());
    snapshot.set_term(state_.applied_term());
    snapshot.set_data(state_.save());
    last = state_.applied();
    n = snapshot.ByteSizeLong();
  }
  while (last < state_.applied() && n < detail::message_limit) {
    const proto::log_entry& entry = recent_[last + 1 - recent_.front().index()];
    n += entry.ByteSizeLong();
    *reply.add_entries() = entry;
    ++last;
  }
  it.progress.note_sent(last, n, clock_.now());
  reply.set_applied(last);
  reply.set_acknowledge(it.progress.wants_answer());
  send_(to, std::move(m));
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
  m.mutable_feed()->set_applied(applied);
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
  return now - *behind_since_ > detail::source_patience;
}

void feed_sink::answered(const box_id& from, const proto::feed_reply& reply,
                         uint64_t applied) {
  if (from != source_) return;
  answered_ = clock_.now();
  if (reply.acknowledge()) ask(applied);
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
