#include "net/memory-budget.h"

#include <tuple>

#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* memory_service = "memory";
/// A peer that has made no step for so long stands still.
constexpr milliseconds still_after{500};

}  // namespace detail

bool memory_budget::share::resize(size_t bytes) {
  const size_t counted = bytes > uncounted_bytes ? bytes - uncounted_bytes : 0;
  if (counted > 0) moved_at_ = budget_.now();
  if (counted > counted_ && !budget_.make_room(*this, counted)) {
    release();
    return false;
  }
  budget_.count(*this, counted);
  return true;
}

void memory_budget::count(share& it, size_t counted) {
  held_ = held_ - it.counted_ + counted;
  it.counted_ = counted;
  if (counted > 0) {
    shares_.insert(&it);
  } else {
    shares_.erase(&it);
  }
}

memory_budget::share* memory_budget::find_victim(const share& asker,
                                                 size_t counted) {
  const time_point still_since = now() - detail::still_after;
  share* found = nullptr;
  const auto rank = [&](const share& it) {
    const bool is_still = it.moved_at_ <= still_since;
    return std::tuple(is_still, it.counted_, -it.moved_at_);
  };
  for (share* it : shares_) {
    if (it == &asker || it->pinned_) continue;
    const bool is_still = it->moved_at_ <= still_since;
    if (!is_still && it->counted_ < counted) continue;
    if (found == nullptr || rank(*it) > rank(*found)) found = it;
  }
  return found;
}

bool memory_budget::make_room(const share& asker, size_t counted) {
  while (held_ - asker.counted_ + counted > limit_.value) {
    if (held_ == asker.counted_) return true;
    share* it = find_victim(asker, counted);
    if (it == nullptr) {
      ++metrics_.counter("kestrelreel_memory_refused_total",
                         {{"budget", name_}, {"door", asker.door_}});
      log_event(detail::memory_service, log_level::warn, "memory-refused")
          .with("budget", name_)
          .with("door", asker.door_)
          .with("bytes", counted)
          .with("held", held_);
      return false;
    }
    ++metrics_.counter("kestrelreel_memory_shed_total",
                       {{"budget", name_}, {"door", it->door_}});
    log_event(detail::memory_service, log_level::warn, "memory-shed")
        .with("budget", name_)
        .with("door", it->door_)
        .with("bytes", it->counted_)
        .with("held", held_)
        .with("still-ms", (now() - it->moved_at_).count());
    it->release();
    it->holder_.shed();
  }
  return true;
}

}  // namespace kestrelreel
