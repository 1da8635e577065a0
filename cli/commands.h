// The commands of the operators' client.
#pragma once

#include <map>
#include <string>

#include <docopt/docopt.h>

namespace kestrelreel {

/// Exit codes of the client; docs/INTERFACE.md lists them too.
enum class exit_code {
  ok = 0,
  failed = 1,
  usage = 2,
  faulty_file = 3,
  refused = 4,
  conflict = 5,
  unreachable = 6,
  timed_out = 7,
};

/// Runs the command that the options name.
exit_code run_command(std::map<std::string, docopt::value>& options);

}  // namespace kestrelreel
