// kestrelreel: the operators' client.
#include "base/command-line.h"
#include "cli/commands.h"

namespace kestrelreel {
namespace {

constexpr const char* usage = R"(kestrelreel: the operators' client.

Usage:
  kestrelreel apply FILE [--dry-run] [--wait] [options]
  kestrelreel diff FILE [options]
  kestrelreel get [options]
  kestrelreel status [options]
  kestrelreel tasks [options]
  kestrelreel explain TASK [options]
  kestrelreel cancel JOB [options]
  kestrelreel evacuate NAME [options]
  kestrelreel return NAME [options]
  kestrelreel check FILE
  kestrelreel (--help | --version)

Commands:
  apply    Put the whole desired state of FILE in force.
           Example: kestrelreel apply serasis.json --wait
  diff     Show what FILE would change.
           Example: kestrelreel diff serasis.json
  get      Print the desired state in force, as a file for apply.
           Example: kestrelreel get > now.json
  status   Show the boxes, how many losses the record survives now, and which
           data centres are evacuated, since when and by whom.
           Example: kestrelreel status --output json
  tasks    Show all tasks and where they run.
           Example: kestrelreel tasks
  explain  Say why a task runs where it does, or why it does not run.
           Example: kestrelreel explain job/night-plan/0
  cancel   Take a job out of the desired state.
           Example: kestrelreel cancel night-plan
  evacuate Start nothing more in a data centre; what runs there goes on.
           Example: kestrelreel evacuate kumluca
  return   Take an evacuation back.
           Example: kestrelreel return kumluca
  check    Read FILE and report all of its faults.
           Example: kestrelreel check serasis.json

Options:
  --via LIST         Operator addresses of some boxes, tried in turn; the
                     variable KESTRELREEL_VIA if not given.
                     Example: --via 127.0.1.1:7401,127.0.2.1:7401
  --timeout TIME     How long to wait for an answer. [default: 10s]
                     Example: --timeout 30s
  --output FORM      table or json. [default: table]
                     Example: --output json
  --author NAME      Who makes the change; the user's name if not given.
                     Example: --author ayse
  --request-id ID    Name of the change; the same one again gives the first
                     outcome, also after a lost answer.
                     Example: --request-id 4f1c
  --dry-run          Change nothing; show what would change.
  --wait             Return once all live boxes have the version in force.
  --help             Show this text.
  --version          Show the version.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 faulty file, 4 refused,
5 conflict with another change, 6 no box reached, 7 timed out.
)";

constexpr const char* version = "kestrelreel 0.1.0";

}  // namespace
}  // namespace kestrelreel

int main(int argc, char** argv) {
  using namespace kestrelreel;
  const program_text text{"kestrelreel", usage, version,
                          static_cast<int>(exit_code::usage)};
  return run_command_line(text, argc, argv, [](auto& options) {
    return static_cast<int>(run_command(options));
  });
}
