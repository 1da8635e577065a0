// The command line of a program: what it may hold, and what is said of it.
#pragma once

#include <docopt/docopt.h>

#include <exception>
#include <iostream>
#include <string>
#include <vector>

namespace kestrelreel {

/// What a program says of itself, and its exit code for a wrong usage.
struct program_text {
  const char* name;
  const char* usage;
  const char* version;
  int wrong_usage;
};

/// The exit code of `run(options)`. Asked for help or the version, or used
/// wrongly, the program says so and `run` is not called.
template <typename Run>
int run_command_line(const program_text& it, int argc, char** argv, Run run) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  try {
    auto options = docopt::docopt_parse(it.usage, arguments, true, true);
    return run(options);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << it.usage;
    return 0;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << it.version << "\n";
    return 0;
  } catch (const std::exception& error) {
    std::cerr << it.name << ": wrong usage: " << error.what() << "\nsee "
              << it.name << " --help\n";
    return it.wrong_usage;
  }
}

}  // namespace kestrelreel
