#include "placement/holder-lease.h"

#include <algorithm>
#include <utility>

namespace kestrelreel {
namespace detail {

size_t rank_of(const std::vector<box_id>& boxes, const box_id& box) {
  const auto it = std::find(boxes.begin(), boxes.end(), box);
  return static_cast<size_t>(it - boxes.begin());
}

}  // namespace detail

std::vector<box_id> lease_grantors(const box_table& boxes,
                                   const data_centre_id& data_centre) {
  constexpr size_t least_grantors = 3;
  std::vector<box_id> result = boxes.in_data_centre(data_centre);
  for (const box_entry& it : boxes.boxes()) {
    if (result.size() >= least_grantors) break;
    if (it.data_centre != data_centre) result.push_back(it.id);
  }
  return result;
}

holder_lease::holder_lease(box_id self, data_centre_id data_centre,
                           std::vector<box_id> grantors,
                           lease_settings settings, clock_source& clock,
                           send_function send)
    : self_(std::move(self)),
      data_centre_(std::move(data_centre)),
      boxes_(std::move(grantors)),
      settings_(settings),
      clock_(clock),
      send_(std::move(send)),
      granted_until_(clock.now()),
      silent_until_(clock.now() + settings_.with_drift()),
      next_ask_(silent_until_) {}

bool holder_lease::held() const {
  return epoch_ != 0 && clock_.now() < held_until_;
}

void holder_lease::tick(bool other_holder) {
  const time_point now = clock_.now();
  if (resigned_ || now < next_ask_) return;
  if (held()) return ask();
  if (epoch_ != 0) {
    // The try failed: what was granted goes back, so that others may win.
    release();
    next_ask_ = now + turn();
    return;
  }
  const bool granted_away = granted_to_ != self_ && now < granted_until_;
  if (other_holder || granted_away) return;
  ask();
}

void holder_lease::ask() {
  const time_point now = clock_.now();
  const bool renews = held();
  if (!renews) {
    epoch_ = ++highest_epoch_;
    held_until_ = now;
  }
  ++round_;
  asked_at_ = now;
  grants_.clear();
  next_ask_ = now + settings_.duration / (renews ? 3 : 6);
  proto::peer_message m;
  m.mutable_lease()->set_data_centre(data_centre_.str());
  m.mutable_lease()->set_round(round_);
  m.mutable_lease()->set_epoch(epoch_);
  m.mutable_lease()->set_duration_ms(
      static_cast<uint64_t>(settings_.duration.count()));
  const proto::lease_request request = m.lease();
  for (const box_id& it : boxes_) {
    if (it != self_) send_(it, m);
  }
  on_request(self_, request);
}

bool holder_lease::grant(const box_id& from,
                         const proto::lease_request& request) {
  const time_point now = clock_.now();
  if (now < silent_until_) return false;
  const bool taken = granted_to_ != from && now < granted_until_;
  if (taken || request.epoch() < highest_epoch_) return false;
  const bool same = granted_to_ == from;
  if (request.epoch() == highest_epoch_ && !same && from != self_) return false;
  granted_to_ = from;
  granted_until_ = now + settings_.with_drift();
  highest_epoch_ = request.epoch();
  return true;
}

void holder_lease::on_request(const box_id& from,
                              const proto::lease_request& request) {
  if (request.release()) {
    if (granted_to_ == from && highest_epoch_ == request.epoch()) {
      granted_until_ = clock_.now();
    }
    return;
  }
  proto::peer_message m;
  proto::lease_reply& reply = *m.mutable_leased();
  reply.set_data_centre(data_centre_.str());
  reply.set_round(request.round());
  reply.set_granted(grant(from, request));
  reply.set_epoch(highest_epoch_);
  reply.set_holder(granted_to_.str());
  if (from == self_) return on_reply(self_, reply);
  send_(from, std::move(m));
}

void holder_lease::on_reply(const box_id& from,
                            const proto::lease_reply& reply) {
  highest_epoch_ = std::max(highest_epoch_, reply.epoch());
  if (resigned_ || reply.round() != round_ || !reply.granted()) return;
  grants_.insert(from);
  if (grants_.size() != boxes_.size() / 2 + 1) return;
  const bool renewed = held();
  held_until_ = asked_at_ + settings_.duration;
  next_ask_ = asked_at_ + settings_.duration / 3;
  if (!renewed) held_since_ = clock_.now();
}

/// Later boxes leave more time before they try again, so that two that ask at
/// once do not go on refusing each other.
milliseconds holder_lease::turn() const {
  const auto rank = static_cast<int>(detail::rank_of(boxes_, self_));
  return settings_.duration / 30 + settings_.duration / 6 * rank;
}

void holder_lease::resign() {
  resigned_ = true;
  release();
}

void holder_lease::release() {
  const uint64_t ended = epoch_;
  // A grant that comes late counts for nothing.
  ++round_;
  grants_.clear();
  epoch_ = 0;
  held_until_ = clock_.now();
  proto::peer_message m;
  m.mutable_lease()->set_data_centre(data_centre_.str());
  m.mutable_lease()->set_epoch(ended);
  m.mutable_lease()->set_release(true);
  on_request(self_, m.lease());
  for (const box_id& it : boxes_) {
    if (it != self_) send_(it, m);
  }
}

void holder_lease::outbid(epoch_number seen) {
  highest_epoch_ = std::max(highest_epoch_, seen.value());
  if (!held() || epoch_ > seen.value()) return;
  epoch_ = 0;
  held_until_ = clock_.now();
  next_ask_ = clock_.now();
}

}  // namespace kestrelreel
