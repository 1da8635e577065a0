// Command line of the seeded runs; called by support/soak.
#include <docopt/docopt.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/text.h"
#include "consensus/soak/soak-run.h"

namespace {

constexpr const char* usage = R"(soak: seeded runs of the record's replicas.

Usage:
  soak record [--seeds N] [--from K] [--replicas N] [--break NAME]
  soak record --seed K [--replicas N] [--break NAME]

Options:
  --seeds N      Number of seeds. [default: 1000]
  --from K       First seed. [default: 1]
  --seed K       Run this seed only and print its statistics.
  --replicas N   3 or 5; 0 lets the seed decide. [default: 0]
  --break NAME   A deliberate fault: vote, ack or empty.
)";

using kestrelreel::injected_fault;
using kestrelreel::run_soak;
using kestrelreel::soak_options;
using kestrelreel::soak_report;

soak_options options_for(uint64_t seed, unsigned replicas,
                         injected_fault fault) {
  soak_options it;
  it.seed = seed;
  it.replicas = replicas != 0 ? replicas : (seed % 4 == 0 ? 5 : 3);
  it.fault = fault;
  return it;
}

injected_fault fault_of(const docopt::value& name) {
  const std::map<std::string, injected_fault> faults{
      {"vote", injected_fault::vote_not_synced},
      {"ack", injected_fault::acknowledge_unsynced},
      {"empty", injected_fault::empty_replica_votes}};
  if (!name) return injected_fault::none;
  return faults.at(name.asString());
}

int run_one(uint64_t seed, unsigned replicas, injected_fault fault) {
  const soak_report it = run_soak(options_for(seed, replicas, fault));
  std::cout << "seed=" << seed << " committed=" << it.committed
            << " acknowledged=" << it.acknowledged << " crashes=" << it.crashes
            << " wipes=" << it.wipes << " elections=" << it.elections
            << " snapshots=" << it.snapshots << " step=" << it.step
            << " violation=" << kestrelreel::quote_value(it.violation) << "\n";
  return it.violation.empty() ? 0 : 1;
}

int run_many(uint64_t from, uint64_t seeds, unsigned replicas,
             injected_fault fault) {
  std::atomic<uint64_t> next = from;
  std::atomic<uint64_t> failed = 0;
  std::atomic<uint64_t> committed = 0;
  std::atomic<uint64_t> wipes = 0;
  std::mutex output_mutex;
  const auto work = [&] {
    for (uint64_t seed = next++; seed < from + seeds; seed = next++) {
      const soak_report it = run_soak(options_for(seed, replicas, fault));
      committed += it.committed;
      wipes += it.wipes;
      if (it.violation.empty()) continue;
      ++failed;
      const std::lock_guard lock(output_mutex);
      std::cout << "seed " << seed << ": " << it.violation
                << "; replay with: support/soak record --seed " << seed << "\n";
    }
  };
  std::vector<std::thread> threads;
  const unsigned n = std::max(1u, std::thread::hardware_concurrency() / 2);
  for (unsigned i = 0; i < n; ++i) threads.emplace_back(work);
  for (std::thread& it : threads) it.join();
  std::cout << "seeds=" << seeds << " failed=" << failed
            << " committed=" << committed << " lost-folders=" << wipes << "\n";
  return failed == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true);
  const auto number = [&](const char* name) {
    return static_cast<uint64_t>(options[name].asLong());
  };
  const auto replicas = static_cast<unsigned>(number("--replicas"));
  const injected_fault fault = fault_of(options["--break"]);
  if (options["--seed"]) return run_one(number("--seed"), replicas, fault);
  return run_many(number("--from"), number("--seeds"), replicas, fault);
}
