#include "support/faults/stop-history.h"

#include <algorithm>

#include "base/text.h"

namespace kestrelreel::faults {
namespace {

/// The caller hears of the end of its connection within this time.
constexpr milliseconds seen_within{700};

}  // namespace

void stop_history::told_to_stop(const std::string& entry, time_point at) {
  if (!stopping_.insert(entry).second) return;
  stops_.push_back({entry, at});
}

void stop_history::started(const std::string& entry) { stopping_.erase(entry); }

void stop_history::struck(const std::string& entry, time_point from,
                          time_point until) {
  strikes_.push_back({entry, from, until});
}

void stop_history::cut(const cut_record& it) { cuts_.push_back(it); }

bool stop_history::was_struck(const std::string& entry, time_point from,
                              time_point until) const {
  return std::any_of(strikes_.begin(), strikes_.end(), [&](const auto& it) {
    return it.entry == entry && it.from <= until && it.until >= from;
  });
}

bool stop_history::is_cut_by(const cut_record& request,
                             const stop_record& stop) const {
  if (request.entry != stop.entry) return false;
  const time_point ends_by = stop.at + stop_ends_by;
  const bool during =
      request.ended >= stop.at && request.ended <= ends_by + seen_within;
  if (!during) return false;
  // One that came so late that its time was not over when the stop's was.
  const bool too_late =
      request.ended >= ends_by && request.sent + caller_deadline > ends_by;
  if (too_late) return false;
  return !was_struck(stop.entry, std::min(stop.at, request.sent),
                     request.ended);
}

std::vector<std::string> stop_history::broken() const {
  std::vector<std::string> out;
  for (const cut_record& it : cuts_) {
    for (const stop_record& stop : stops_) {
      if (!is_cut_by(it, stop)) continue;
      out.push_back(str_cat("CUT a request at ", it.entry, " [",
                            it.sent.count(), "..", it.ended.count(), " ",
                            it.how, "], told to stop at ", stop.at.count()));
      break;
    }
  }
  return out;
}

}  // namespace kestrelreel::faults
