#include "support/faults/fault-plan.h"

#include <algorithm>
#include <array>

#include "support/faults/absence-plan.h"

namespace kestrelreel::faults {
namespace {

/// From one strike to the next; a strike lasts up to `longest`, so that some
/// overlap.
constexpr uint64_t least_gap_ms = 400;
constexpr uint64_t gap_spread_ms = 1'800;
constexpr uint64_t shortest_ms = 300;
constexpr uint64_t longest_ms = 2'600;
/// Leaders are struck so often in ten.
constexpr uint64_t on_leader_of_ten = 6;

constexpr std::array<fault_kind, 14> control_kinds = {
    fault_kind::dark_after_answers_vanish,
    fault_kind::dark_after_answers_vanish,
    fault_kind::dark_after_answers_vanish,
    fault_kind::power,
    fault_kind::silent_links,
    fault_kind::silent_answers,
    fault_kind::silent_requests,
    fault_kind::reset,
    fault_kind::cut,
    fault_kind::cut,
    fault_kind::freeze,
    fault_kind::kill,
    fault_kind::terminate,
    fault_kind::reload};
constexpr std::array<fault_kind, 4> entry_kinds = {
    fault_kind::freeze, fault_kind::kill, fault_kind::terminate,
    fault_kind::reload};

/// Other draws than those of the strikes.
constexpr uint64_t stops_seed = 0x73746f7073;
constexpr uint64_t suspensions_seed = 0x73757370;
/// Longer than a leader's lease and an election.
constexpr uint64_t shortest_suspension_ms = 2'000;
constexpr uint64_t suspension_spread_ms = 3'000;
constexpr time_point first_strike{1'000};

void add_stops(const plan_settings& settings, std::vector<fault_strike>& out) {
  seeded_random random(settings.seed ^ stops_seed);
  const milliseconds spread = settings.length - milliseconds(first_strike);
  if (spread.count() <= 0) return;
  for (unsigned i = 0; i < settings.stops; ++i) {
    fault_strike it;
    it.at = first_strike +
            milliseconds(random.below(static_cast<uint64_t>(spread.count())));
    it.kind = fault_kind::terminate;
    it.on_entry = true;
    it.box = static_cast<unsigned>(random.below(settings.entries));
    it.length = milliseconds(shortest_ms);
    out.push_back(it);
  }
}

void add_suspensions(const plan_settings& settings,
                     std::vector<fault_strike>& out) {
  seeded_random random(settings.seed ^ suspensions_seed);
  const milliseconds spread = settings.length - milliseconds(first_strike);
  if (spread.count() <= 0) return;
  for (unsigned i = 0; i < settings.suspensions; ++i) {
    fault_strike it;
    it.at = first_strike +
            milliseconds(random.below(static_cast<uint64_t>(spread.count())));
    it.kind = fault_kind::suspend;
    it.on_leader = random.below(2) == 0;
    it.on_entry = !it.on_leader && random.below(2) == 0;
    it.box = static_cast<unsigned>(
        random.below(it.on_entry ? settings.entries : settings.controls));
    it.length = milliseconds(shortest_suspension_ms +
                             random.below(suspension_spread_ms));
    out.push_back(it);
  }
}

std::vector<fault_strike> plan_strikes(const plan_settings& settings) {
  seeded_random random(settings.seed);
  std::vector<fault_strike> out;
  time_point at = first_strike;
  while (at < settings.length) {
    fault_strike it;
    it.at = at;
    it.on_entry = random.below(5) == 0;
    it.on_leader = !it.on_entry && random.below(10) < on_leader_of_ten;
    it.kind = it.on_entry ? entry_kinds[random.below(entry_kinds.size())]
                          : control_kinds[random.below(control_kinds.size())];
    const unsigned boxes = it.on_entry ? settings.entries : settings.controls;
    it.box = static_cast<unsigned>(random.below(boxes));
    it.length =
        milliseconds(shortest_ms + random.below(longest_ms - shortest_ms));
    out.push_back(it);
    at += milliseconds(least_gap_ms + random.below(gap_spread_ms));
  }
  return out;
}

}  // namespace

const char* to_string(fault_kind kind) {
  switch (kind) {
    case fault_kind::dark_after_answers_vanish:
      return "dark-after-answers-vanish";
    case fault_kind::power:
      return "power";
    case fault_kind::silent_links:
      return "silent-links";
    case fault_kind::silent_answers:
      return "silent-answers";
    case fault_kind::silent_requests:
      return "silent-requests";
    case fault_kind::reset:
      return "reset";
    case fault_kind::cut:
      return "cut";
    case fault_kind::freeze:
      return "freeze";
    case fault_kind::suspend:
      return "suspend";
    case fault_kind::kill:
      return "kill";
    case fault_kind::terminate:
      return "terminate";
    case fault_kind::reload:
      return "reload";
    case fault_kind::absence:
      return "absence";
  }
  return "reload";
}

std::vector<fault_strike> plan_faults(const plan_settings& settings) {
  std::vector<fault_strike> out =
      settings.absences > 0 ? plan_absences(settings) : plan_strikes(settings);
  add_stops(settings, out);
  add_suspensions(settings, out);
  std::stable_sort(out.begin(), out.end(),
                   [](const auto& a, const auto& b) { return a.at < b.at; });
  return out;
}

}  // namespace kestrelreel::faults
