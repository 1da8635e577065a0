// Command line of the measurements for docs/CAPACITY.md; support/capacity-run
// calls it.
#include <docopt/docopt.h>

#include <map>
#include <string>

#include "support/capacity/slopes.h"

namespace {

constexpr const char* usage = R"(capacity: measures the slopes of each role.

Usage:
  capacity book
  capacity record
  capacity routing
  capacity serve --grpc PORT --tcp PORT
  capacity exchanges --grpc PORT --tcp PORT [--channels N]
  capacity changes --via LIST [--changes N]

Options:
  --grpc PORT    Port of the gRPC side.
  --tcp PORT     Port of the plain TCP side.
  --channels N   Connections, one for each worker. [default: 200]
  --via LIST     Operator addresses of all boxes.
  --changes N    How many changes. [default: 30]
)";

}  // namespace

int main(int argc, char** argv) {
  using namespace kestrelreel::capacity;
  auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true);
  const auto text = [&](const char* name) { return options[name].asString(); };
  if (options["book"].asBool()) measure_book();
  if (options["record"].asBool()) measure_record();
  if (options["routing"].asBool()) measure_routing();
  if (options["serve"].asBool()) {
    return serve_exchanges(text("--grpc"), text("--tcp"));
  }
  if (options["exchanges"].asBool()) {
    measure_exchanges(text("--grpc"), text("--tcp"),
                      static_cast<size_t>(options["--channels"].asLong()));
  }
  if (options["changes"].asBool()) {
    return measure_changes(text("--via"),
                           static_cast<size_t>(options["--changes"].asLong()));
  }
  return 0;
}
