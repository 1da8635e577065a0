// kestrelreeld: the process that runs on each box of the system.
#include <docopt/docopt.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <sstream>
#include <string>

#include "base/command-line.h"
#include "config/seeded-settings.h"
#include "config/settings.h"
#include "daemon/process.h"
#include "daemon/seeded-process.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace {

constexpr const char* usage =
    R"(kestrelreeld: schedules latency-critical and batch work on shared boxes.

Usage:
  kestrelreeld --settings FILE [--new-cluster] [--log-level LEVEL]
  kestrelreeld --settings FILE --check
  kestrelreeld (--help | --version)

Options:
  --settings FILE    This box's settings, JSON with comments.
                     Example: kestrelreeld --settings kumluca-1.json
  --new-cluster      Found a new record. Only for the very first start of each
                     box with a data folder; refused when the folder holds one.
                     Example: kestrelreeld --settings a.json --new-cluster
  --log-level LEVEL  debug, info, warn or error; overrides the settings.
                     Example: kestrelreeld --settings a.json --log-level debug
  --check            Read the settings, report all faults, and start nothing.
                     Example: kestrelreeld --settings a.json --check
  --help             Show this text.
  --version          Show the version.

Exit codes: 0 planned stop or sound settings, 2 wrong usage, 3 faulty settings,
4 could not start, 65 a record that can't be used, 74 the disk failed, 130 ended
by a second signal.
)";

constexpr const char* version = "kestrelreeld 0.1.0";
constexpr int exit_usage = 2;
constexpr int exit_settings = 3;
constexpr int exit_start = 4;

bool read_file(const std::string& path, std::string& text) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return false;
  text.assign(std::istreambuf_iterator<char>(in), {});
  return true;
}

int run_process(process_settings settings, bool new_cluster) {
  process it(std::move(settings), new_cluster);
  const absl::Status status = it.run();
  if (status.ok()) return 0;
  std::cerr << "kestrelreeld: " << status.message() << "\n";
  return exit_start;
}

/// A box of a seeded deployment: one that is told no list of the others.
int run_seeded(const std::string& file, const std::string& text,
               std::map<std::string, docopt::value>& options) {
  auto settings = parse_seeded_settings(file, text);
  if (const auto* faults = std::get_if<std::vector<config_fault>>(&settings)) {
    for (const config_fault& it : *faults) std::cerr << it.str() << "\n";
    return exit_settings;
  }
  auto& sound = std::get<seeded_settings>(settings);
  if (options["--check"].asBool()) {
    std::cout << file << ": sound; box " << sound.box.str() << " of "
              << sound.data_centre.str() << "\n";
    return 0;
  }
  if (options["--log-level"]) {
    sound.log_level = options["--log-level"].asString();
  }
  const absl::Status log =
      configure_log(sound.log_level, log_target::standard_output);
  if (!log.ok()) {
    std::cerr << "kestrelreeld: " << log.message() << "\n";
    return exit_usage;
  }
  seeded_process it(file, std::move(sound));
  const absl::Status status = it.run();
  if (!status.ok()) {
    log_event("process", log_level::error, "not-started")
        .with("error", status.message());
  }
  // All that must last is synced, and the libraries' own teardown may not end.
  std::cout.flush();
  std::_Exit(status.ok() ? 0 : exit_start);
}

int run(std::map<std::string, docopt::value>& options) {
  const std::string file = options["--settings"].asString();
  std::string text;
  if (!read_file(file, text)) {
    std::cerr << "kestrelreeld: cannot read settings '" << file << "'\n";
    return exit_settings;
  }
  if (is_seeded(text)) return run_seeded(file, text, options);
  auto settings = parse_settings(file, text);
  if (const auto* faults = std::get_if<std::vector<config_fault>>(&settings)) {
    for (const config_fault& it : *faults) std::cerr << it.str() << "\n";
    return exit_settings;
  }
  auto& sound = std::get<process_settings>(settings);
  if (options["--check"].asBool()) {
    std::cout << file << ": sound; box " << sound.box.str() << " of "
              << sound.self().data_centre.str() << "\n";
    return 0;
  }
  if (options["--log-level"]) {
    sound.log_level = options["--log-level"].asString();
  }
  const absl::Status log = configure_log(sound.log_level);
  if (!log.ok()) {
    std::cerr << "kestrelreeld: " << log.message() << "\n";
    return exit_usage;
  }
  return run_process(std::move(sound), options["--new-cluster"].asBool());
}

}  // namespace
}  // namespace kestrelreel

int main(int argc, char** argv) {
  using namespace kestrelreel;
  const program_text text{"kestrelreeld", usage, version, exit_usage};
  return run_command_line(text, argc, argv, run);
}
