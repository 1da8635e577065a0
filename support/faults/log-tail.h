// Which lines of the boxes' logs name the job of a broken promise. Pure, but
// for the reading of the files.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace kestrelreel::faults {

/// The log of a box, of all its lives.
struct box_log {
  std::string box;
  std::string text;
};

/// Lines told of one broken promise, promises of which lines are told, and the
/// bytes of a line.
constexpr size_t most_tail_lines = 16;
constexpr size_t most_tails = 8;
constexpr size_t most_line_bytes = 320;

/// The logs in a folder of a soak.
std::vector<box_log> read_logs(const std::string& folder);
/// The first job's name in a line; empty when it names none.
std::string_view job_named_in(std::string_view line);
/// The last lines that name it, as `BOX: LINE`, the boxes' lines in the order
/// of their times.
std::vector<std::string> lines_naming(const std::vector<box_log>& logs,
                                      std::string_view name);
/// The broken promises, each followed by the log's lines that name its job.
std::vector<std::string> with_logs(const std::vector<std::string>& broken,
                                   const std::vector<box_log>& logs);

}  // namespace kestrelreel::faults
