// Command line of one seeded soak; support/fault-soak calls it.
#include <docopt/docopt.h>

#include <iostream>
#include <map>
#include <string>

#include "base/text.h"
#include "support/faults/log-tail.h"
#include "support/faults/soak-run.h"

namespace {

constexpr const char* usage =
    R"(fault-soak-driver: harms real processes from outside and checks promises.

Usage:
  fault-soak-driver --folder DIR --seed K [--seconds N] [--controls N]
                    [--entries N] [--callers N] [--workers N] [--stops N]
                    [--suspensions N] [--absences N] [--text-kb N]
                    [--link-mb N] [--net N]

Asks on standard output for starts ("start NAME") and reports on standard
error.

Options:
  --folder DIR   For settings, logs, data and process ids.
  --seed K       Of the schedule of faults and of all that the stand-ins draw.
  --seconds N    How long faults strike. [default: 15]
  --controls N   Control boxes, 3 or 5. [default: 3]
  --entries N    Entry boxes. [default: 4]
  --callers N    Callers at once. [default: 24]
  --workers N    Workers. [default: 12]
  --stops N      Planned stops of entry boxes beside the seed's strikes.
                 [default: 1]
  --suspensions N  Boxes that are suspended, beside the seed's strikes.
                 [default: 0]
  --absences N   Absences of control boxes, one after the other, in place of
                 the seed's strikes. [default: 0]
  --text-kb N    What a job's text has at least. [default: 0]
  --link-mb N    What passes to and from each control box in a second; 0 is no
                 limit. [default: 0]
  --net N        The second part of the addresses 127.N.x.y. [default: 64]
)";

using kestrelreel::faults::soak_result;
using kestrelreel::faults::soak_settings;

unsigned number(std::map<std::string, docopt::value>& options,
                const char* name) {
  return static_cast<unsigned>(options[name].asLong());
}

soak_settings settings_of(std::map<std::string, docopt::value>& options) {
  soak_settings it;
  it.plan.seed = static_cast<uint64_t>(options["--seed"].asLong());
  it.plan.length = std::chrono::seconds(options["--seconds"].asLong());
  it.plan.controls = it.place.controls = number(options, "--controls");
  it.plan.entries = it.place.entries = number(options, "--entries");
  it.place.folder = options["--folder"].asString();
  it.place.net = number(options, "--net");
  it.plan.stops = number(options, "--stops");
  it.plan.suspensions = number(options, "--suspensions");
  it.plan.absences = number(options, "--absences");
  it.text_bytes = size_t{number(options, "--text-kb")} << 10;
  it.link_bytes = size_t{number(options, "--link-mb")} << 20;
  it.callers = number(options, "--callers");
  it.workers = number(options, "--workers");
  return it;
}

void report(const soak_settings& settings, const soak_result& it) {
  std::string statuses;
  for (const auto& [status, n] : it.statuses) {
    statuses += kestrelreel::str_cat(" ", status, ":", n);
  }
  std::cerr << "seed=" << settings.plan.seed << " jobs=" << it.jobs
            << " runs=" << it.runs << " cancels=" << it.cancels
            << " states=" << it.states << " writes=" << it.writes
            << " reads=" << it.reads << " stops=" << it.stops
            << " crashes=" << it.crashes << " strikes=" << it.strikes.size()
            << " unheard-ms=" << it.longest_unheard.count() << " tries=\""
            << statuses << "\" broken=" << it.broken.size() << "\n";
  if (it.broken.empty()) return;
  for (const std::string& line : it.strikes) std::cerr << "  " << line << "\n";
  const auto logs = kestrelreel::faults::read_logs(settings.place.folder);
  const auto lines = kestrelreel::faults::with_logs(it.broken, logs);
  for (const std::string& line : lines) std::cerr << line << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  auto options = docopt::docopt(usage, {argv + 1, argv + argc});
  const soak_settings settings = settings_of(options);
  kestrelreel::faults::soak_run run(settings);
  const soak_result result = run.run();
  report(settings, result);
  return result.broken.empty() ? 0 : 1;
}
