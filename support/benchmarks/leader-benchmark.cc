// What a leader spends on a fleet: processor time of its decisions in ms a
// second, a line for each size. Then, with a share of a core, how far behind it
// falls.
#include <cstdio>
#include <cstdlib>

#include "fleet/fleet-cost-test-parts.h"

namespace {

using namespace kestrelreel;

void print_costs(int workers) {
  constexpr double us_per_ms = 1'000;
  const busy::leader_costs it = busy::measure_costs(workers);
  std::printf(
      "workers=%d start-ms=%.0f quiet-ms-per-s=%.1f loaded-ms-per-s=%.1f "
      "change-ms=%.0f\n",
      workers, it.start_us / us_per_ms, it.quiet_us / us_per_ms,
      it.loaded_us / us_per_ms, it.change_us / us_per_ms);
  std::fflush(stdout);
}

void print_lag(int workers, double share) {
  busy::scenario it = busy::make_fleet(workers);
  it.processor_share = share;
  busy::busy_world world(it);
  for (int second = 1; second <= 20; ++second) {
    const uint64_t before = world.out().answers;
    world.pass(busy::measured_second);
    const busy::outcome& out = world.out();
    std::printf(
        "share=%.2f workers=%d second=%d answers=%llu lapsed=%d done=%d "
        "order-lag-ms=%lld wrong=\"%s\"\n",
        share, workers, second,
        static_cast<unsigned long long>(out.answers - before), out.lapsed,
        out.done, static_cast<long long>(out.longest_order_lag.count()),
        out.violation.c_str());
    std::fflush(stdout);
  }
}

}  // namespace

/// leader-benchmark costs WORKERS... | leader-benchmark lag WORKERS SHARE
int main(int argc, char** argv) {
  if (argc < 3) return EXIT_FAILURE;
  if (std::string(argv[1]) == "costs") {
    for (int i = 2; i < argc; ++i) print_costs(std::atoi(argv[i]));
    return EXIT_SUCCESS;
  }
  if (argc < 4) return EXIT_FAILURE;
  print_lag(std::atoi(argv[2]), std::atof(argv[3]));
  return EXIT_SUCCESS;
}
