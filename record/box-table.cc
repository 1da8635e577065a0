#include "record/box-table.h"

#include <utility>

namespace kestrelreel {

box_table::box_table(box_id self, std::vector<box_entry> boxes,
                     clock_source& clock)
    : self_(std::move(self)), boxes_(std::move(boxes)), clock_(clock) {
  for (const box_entry& it : boxes_) views_[it.id];
}

void box_table::record_heartbeat(const box_id& box, uint64_t incarnation,
                                 const proto::box_digest& digest) {
  const auto found = views_.find(box);
  if (found == views_.end()) return;
  box_view& it = found->second;
  if (incarnation < it.incarnation) return;
  it.incarnation = incarnation;
  it.last_heard = clock_.now();
  it.ever_heard = true;
  it.digest = digest;
}

const box_entry* box_table::find(const box_id& box) const {
  for (const box_entry& it : boxes_) {
    if (it.id == box) return &it;
  }
  return nullptr;
}

const box_view& box_table::view(const box_id& box) const {
  static const box_view unknown;
  const auto it = views_.find(box);
  return it == views_.end() ? unknown : it->second;
}

bool box_table::live(const box_id& box) const {
  if (box == self_) return true;
  const box_view& it = view(box);
  const milliseconds limit = is_local(box) ? local_timeout : remote_timeout;
  return it.ever_heard && clock_.now() - it.last_heard < limit;
}

bool box_table::is_local(const box_id& box) const {
  const box_entry* it = find(box);
  return it != nullptr && it->data_centre == own_data_centre();
}

std::vector<box_id> box_table::in_data_centre(const data_centre_id& it) const {
  std::vector<box_id> result;
  for (const box_entry& box : boxes_) {
    if (box.data_centre == it) result.push_back(box.id);
  }
  return result;
}

std::vector<box_id> box_table::serving_in(const data_centre_id& it) const {
  std::vector<box_id> result;
  for (const box_id& box : in_data_centre(it)) {
    if (live(box) && !view(box).digest.stopping()) result.push_back(box);
  }
  return result;
}

const data_centre_id& box_table::own_data_centre() const {
  static const data_centre_id none;
  const box_entry* it = find(self_);
  return it == nullptr ? none : it->data_centre;
}

}  // namespace kestrelreel
