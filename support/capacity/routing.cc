// Slopes of an entry box's decisions: processor time by runners.
#include <memory>
#include <vector>

#include "base/text.h"
#include "routing/dispatcher.h"
#include "support/capacity/slopes.h"

namespace kestrelreel::capacity {

void measure_routing() {
  std::vector<std::pair<double, double>> points;
  for (const unsigned runners : {10u, 50u, 200u, 600u}) {
    seeded_random random(1);
    boot_clock clock;
    const auto choice = make_least_wait(random);
    dispatcher it({}, *choice, random, clock);
    std::vector<proto::runner> table(runners);
    for (unsigned i = 0; i < runners; ++i) {
      table[i].set_task(str_cat("service/iklim-servis/kumluca/", i));
      table[i].set_attempt(1);
      table[i].set_fixed_slots(8);
    }
    it.pool().update(table, clock.now());
    request_info info;
    info.tenant = "controller";
    const double us = us_per_call(50'000, [&](size_t i) {
      info.id = i;
      info.deadline = clock.now() + milliseconds(1'000);
      it.submit(info);
      const auto events = it.take_events();
      it.finish(*events.at(0).target, exchange_result::good, milliseconds(5));
    });
    points.emplace_back(runners, us);
  }
  const line_fit fit = fit_line(points);
  print_slope("dispatch-base", fit.base, "us/request", fit.error_percent);
  print_slope("dispatch-runner", fit.slope, "us/request/runner",
              fit.error_percent);
}

}  // namespace kestrelreel::capacity
