// Command line of the load generator.
#include <docopt/docopt.h>

#include <iostream>
#include <map>
#include <string>

#include "absl/strings/str_split.h"
#include "base/text.h"
#include "base/units.h"
#include "support/load/load-run.h"

namespace {

constexpr const char* usage = R"(load: sends requests and checks each answer.

Usage:
  load --target LIST [options]
  load --help

Options:
  --target LIST     Entry boxes, IP:PORT, taken in turn.
  --path PATH       Path; its first part names the service.
                    [default: /iklim-servis/check]
  --tenant NAME     Tenant. [default: load]
  --work TIME       How long the backend server works. [default: 5ms]
  --deadline TIME   Deadline of each request. [default: 1s]
  --rate N          Requests a second at random times; 0 for as fast as the
                    callers can. [default: 0]
  --concurrency N   Callers when no rate is given. [default: 16]
  --length TIME     How long. [default: 5s]
  --requests N      Stop after that many; 0 for no limit. [default: 0]
  --once-only       Requests that may not be repeated.

Exit codes: 0 all answers were right and none was cut off, 1 otherwise.
)";

using option_map = std::map<std::string, docopt::value>;

kestrelreel::load::load_plan make_plan(option_map& options) {
  kestrelreel::load::load_plan plan;
  plan.targets = absl::StrSplit(options["--target"].asString(), ',');
  plan.path = options["--path"].asString();
  plan.tenant = options["--tenant"].asString();
  plan.work = options["--work"].asString();
  plan.deadline = options["--deadline"].asString();
  plan.rate = std::stod(options["--rate"].asString());
  plan.concurrency = static_cast<uint64_t>(options["--concurrency"].asLong());
  plan.length =
      kestrelreel::parse_duration(options["--length"].asString()).value();
  plan.requests = static_cast<uint64_t>(options["--requests"].asLong());
  plan.repeatable = !options["--once-only"].asBool();
  return plan;
}

}  // namespace

int main(int argc, char** argv) {
  auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true);
  const auto it = kestrelreel::load::run_load(make_plan(options));
  std::cout << kestrelreel::str_cat(
      "sent=", it.sent, " answered=", it.answered, " wrong=", it.wrong,
      " cut-off=", it.cut_off, " per-s=",
      static_cast<uint64_t>(static_cast<double>(it.answered) / it.seconds),
      " p50-ms=", it.latency.quantile(0.5),
      " p99-ms=", it.latency.quantile(0.99),
      " p999-ms=", it.latency.quantile(0.999));
  for (const auto& [reason, n] : it.by_reason) {
    std::cout << " " << reason << "=" << n;
  }
  std::cout << "\n";
  return it.wrong == 0 && it.cut_off == 0 ? 0 : 1;
}
