// support/experiment: what the leader's decisions make of patterns of load.
#include <docopt/docopt.h>

#include <cstdio>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "support/emulator/emulator.h"

namespace kestrelreel::emulator {
namespace {

constexpr const char* usage = R"(support/experiment: play patterns of load.

Usage:
  experiment [PATTERN...] [--way NAME] [--seeds N]
  experiment --help

Plays each pattern (all, if none is named) with N seeds and prints a table: of
each kind of job the share of its worth that was earned, how many were in time
and late, what serving jobs earned, the share of their tasks' seconds over the
target, and the decisions' time for 100 ms played.

Options:
  --way NAME   The way that is tried: `kept`; one of the rates at which fill
               work gives way to targets: rate-0, rate-1.5, rate-4, rate-12
               (processors of a worker with 32); or decisions under load, by
               the names in a box's settings joined by commas. [default: kept]
  --seeds N    How many seeds. [default: 5]
)";

/// Switches on the decisions named; false when one is unknown.
bool switch_on(const std::string& names, load_decisions& out) {
  const std::map<std::string, bool load_decisions::*> all{
      {"learn_run_times", &load_decisions::learn_run_times},
      {"throttle_by_slack", &load_decisions::throttle_by_slack},
      {"admission", &load_decisions::admission},
      {"overload_order", &load_decisions::overload_order}};
  std::istringstream in(names);
  for (std::string name; std::getline(in, name, ',');) {
    const auto found = all.find(name);
    if (found == all.end()) return false;
    out.*found->second = true;
  }
  return true;
}

/// The settings of a way; false when it is unknown.
bool settings_of(const std::string& way, scheduler_settings& settings) {
  if (way == "kept") return true;
  constexpr std::string_view prefix = "rate-";
  if (!way.starts_with(prefix)) return switch_on(way, settings.decisions);
  settings.max_backfill_loss_cores = std::stod(way.substr(prefix.size()));
  return true;
}

void show(const load_pattern& pattern, const std::string& way,
          const scheduler_settings& settings, uint64_t seeds) {
  std::map<std::string, kind_outcome> kinds;
  double over = 0;
  double served = 0;
  double decide = 0;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const load_outcome it = play(pattern, settings, seed);
    for (const auto& [name, kind] : it.kinds) {
      kind_outcome& sum = kinds[name];
      sum.asked += kind.asked;
      sum.in_time += kind.in_time;
      sum.late += kind.late;
      sum.earned += kind.earned;
      sum.owed += kind.owed;
    }
    if (it.at_work_s > 0) over += it.over_s / it.at_work_s;
    served += it.served;
    decide += it.decide_us;
    if (it.crashing_jobs + it.crashes + it.over_room > 0) {
      std::printf(
          "%s, seed %llu: %u crashing jobs, %u given up, %u wrongly, "
          "%u workers crashed, %u starts over the room\n",
          pattern.name.c_str(), static_cast<unsigned long long>(seed),
          it.crashing_jobs, it.given_up, it.wrongly_given_up, it.crashes,
          it.over_room);
    }
  }
  const auto n = static_cast<double>(seeds);
  for (const auto& [name, it] : kinds) {
    std::printf("%-20s %-10s %-8s %6u %8u %6u %8.3f %8.3f %8.3f %10.0f\n",
                pattern.name.c_str(), way.c_str(), name.c_str(), it.asked,
                it.in_time, it.late, it.share(), served / n, over / n,
                decide / n);
  }
}

int main_with_options(int argc, char** argv) {
  auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true);
  const std::string way = options["--way"].asString();
  scheduler_settings settings;
  if (!settings_of(way, settings)) {
    std::cerr << "experiment: unknown way '" << way << "'\n";
    return 2;
  }
  const long seeds = options["--seeds"].asLong();
  std::vector<const load_pattern*> chosen;
  for (const std::string& it : options["PATTERN"].asStringList()) {
    chosen.push_back(find_pattern(it));
    if (chosen.back() == nullptr) {
      std::cerr << "experiment: unknown pattern '" << it << "'\n";
      return 2;
    }
  }
  if (chosen.empty()) {
    for (const load_pattern& it : all_patterns()) chosen.push_back(&it);
  }
  std::printf("%-20s %-10s %-8s %6s %8s %6s %8s %8s %8s %10s\n", "pattern",
              "way", "kind", "asked", "in time", "late", "earned", "served",
              "over", "decide us");
  for (const load_pattern* it : chosen) {
    show(*it, way, settings, static_cast<uint64_t>(seeds));
  }
  return 0;
}

}  // namespace
}  // namespace kestrelreel::emulator

int main(int argc, char** argv) {
  return kestrelreel::emulator::main_with_options(argc, argv);
}
