#include "net/memory-budget.h"

#include <tuple>

#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* memory_service = "memory";
/// A connection without progress for so long is stalled.
constexpr milliseconds stalled_after{500};

}  // namespace detail

bool memory_budget::share::resize(size_t bytes) {
  const size_t counted = bytes > uncounted_bytes ? bytes - uncounted_bytes : 0;
  if (counted > 0) progress_at_ = budget_.now();
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
  const time_point stalled_since = now() - detail::stalled_after;
  share* found = nullptr;
  const auto rank = [&](const share& it) {
    const bool is_stalled = it.progress_at_ <= stalled_since;
    return std::tuple(is_stalled, it.counted_, -it.progress_at_);
  };
  for (share* it : shares_) {
    if (it == &asker || it->pinned_) continue;
    const bool is_stalled = it->progress_at_ <= stalled_since;
    if (!is_stalled && it->counted_ < counted) continue;
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
                         {{"budget", name_}, {"listener", asker.listener_}});
      log_event(detail::memory_service, log_level::warn, "memory-refused")
          .with("budget", name_)
          .with("listener", asker.listener_)
          .with("bytes", counted)
          .with("held", held_);
      return false;
    }
    ++metrics_.counter("kestrelreel_memory_shed_total",
                       {{"budget", name_}, {"listener", it->listener_}});
    log_event(detail::memory_service, log_level::warn, "memory-shed")
        .with("budget", name_)
        .with("listener", it->listener_)
        .with("bytes", it->counted_)
        .with("held", held_)
        .with("stalled-ms", (now() - it->progress_at_).count());
    it->release();
    it->holder_.shed();
  }
  return true;
}

}  // namespace kestrelreel
