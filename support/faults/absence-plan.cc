#include "support/faults/absence-plan.h"

#include <array>

namespace kestrelreel::faults {
namespace {

/// Other draws than those of the strikes.
constexpr uint64_t absences_seed = 0x61627365;
constexpr time_point first_absence{3'000};
constexpr uint64_t shortest_ms = 5'000;
constexpr uint64_t spread_ms = 3'000;
/// From a return to the next absence: more than a lease.
constexpr uint64_t least_stay_ms = 4'000;
constexpr uint64_t stay_spread_ms = 2'000;
constexpr uint64_t return_spread_ms = 2'000;
constexpr uint64_t shortest_strike_ms = 300;
constexpr uint64_t strike_spread_ms = 1'200;

constexpr std::array<fault_kind, 4> kinds_meanwhile = {
    fault_kind::kill, fault_kind::terminate, fault_kind::freeze,
    fault_kind::reload};
constexpr std::array<fault_kind, 7> kinds_at_return = {
    fault_kind::kill,           fault_kind::terminate, fault_kind::freeze,
    fault_kind::reload,         fault_kind::reset,     fault_kind::silent_links,
    fault_kind::silent_requests};

milliseconds draw_length(seeded_random& random) {
  return milliseconds(shortest_strike_ms + random.below(strike_spread_ms));
}

}  // namespace

std::vector<fault_strike> plan_absences(const plan_settings& settings) {
  seeded_random random(settings.seed ^ absences_seed);
  std::vector<fault_strike> out;
  time_point at = first_absence;
  for (unsigned i = 0; i < settings.absences; ++i) {
    fault_strike it;
    it.at = at;
    it.kind = fault_kind::absence;
    it.on_leader = random.below(2) == 0;
    it.box = static_cast<unsigned>(random.below(settings.controls));
    it.boxes =
        1 + static_cast<unsigned>(random.below((settings.controls - 1) / 2));
    it.length = milliseconds(shortest_ms + random.below(spread_ms));
    const time_point back = at + it.length;
    if (back > settings.length) break;
    out.push_back(it);
    it.boxes = 1;
    if (random.below(2) == 0) {
      it.on_leader = false;
      it.on_absent = true;
      it.kind = kinds_meanwhile[random.below(kinds_meanwhile.size())];
      it.at = at + milliseconds(shortest_ms / 4);
      it.length = draw_length(random);
      out.push_back(it);
    }
    if (random.below(2) == 0) {
      it.on_absent = false;
      it.on_leader = random.below(2) == 0;
      it.kind = kinds_at_return[random.below(kinds_at_return.size())];
      it.at = back + milliseconds(random.below(return_spread_ms));
      it.length = draw_length(random);
      out.push_back(it);
    }
    at = back + milliseconds(least_stay_ms + random.below(stay_spread_ms));
  }
  return out;
}

}  // namespace kestrelreel::faults
