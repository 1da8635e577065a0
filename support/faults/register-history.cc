#include "support/faults/register-history.h"

#include "base/text.h"

namespace kestrelreel::faults {

void register_history::sent(config_number version) { sent_.insert(version); }

void register_history::acknowledged(config_number version, time_point at) {
  ++writes_;
  learn(version, "acknowledged", at);
}

register_history::reading register_history::begin_read(time_point at) const {
  return {at, held_, known_};
}

void register_history::end_read(const reading& begun, config_number version,
                                time_point at) {
  ++reads_;
  const std::string what =
      str_cat("CONFIG version ", version.value(), " read [", begun.sent.count(),
              "..", at.count(), "] ");
  if (!sent_.contains(version)) {
    broken_.push_back(what + "that nobody had sent");
    return;
  }
  if (version < begun.least) broken_.push_back(what + "after " + begun.known);
  learn(version, "read", at);
}

config_number register_history::newest_sent() const {
  return sent_.empty() ? config_number() : *sent_.rbegin();
}

void register_history::learn(config_number version, const char* how,
                             time_point at) {
  if (version <= held_) return;
  held_ = version;
  known_ = str_cat(version.value(), " was ", how, " at ", at.count());
}

}  // namespace kestrelreel::faults
