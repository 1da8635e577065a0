#include "support/faults/log-tail.h"

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "base/text.h"

namespace kestrelreel::faults {
namespace {

constexpr size_t job_digits = 16;
constexpr std::string_view log_end = ".log";

bool is_digit(char it) {
  return std::isdigit(static_cast<unsigned char>(it)) != 0 ||
         (it >= 'a' && it <= 'f');
}

/// A part of a line that is around the name.
std::string bounded(std::string_view line, std::string_view name) {
  if (line.size() <= most_line_bytes) return std::string(line);
  const size_t at = line.find(name);
  if (at + name.size() <= most_line_bytes) {
    return str_cat(line.substr(0, most_line_bytes), "...");
  }
  const size_t half = most_line_bytes / 2;
  return str_cat(line.substr(0, half), "...",
                 line.substr(at - std::min(at, half / 2), half), "...");
}

/// Each line begins with its time, as text that sorts.
struct found_line {
  std::string_view line;
  std::string_view box;
};

}  // namespace

std::vector<box_log> read_logs(const std::string& folder) {
  std::vector<box_log> out;
  std::error_code ec;
  for (const auto& it : std::filesystem::directory_iterator(folder, ec)) {
    if (it.path().extension() != log_end) continue;
    std::ifstream in(it.path(), std::ios::binary);
    out.push_back({it.path().stem(), {std::istreambuf_iterator<char>(in), {}}});
  }
  return out;
}

std::string_view job_named_in(std::string_view line) {
  size_t begin = 0;
  for (size_t i = 0; i <= line.size(); ++i) {
    if (i < line.size() && is_digit(line[i])) continue;
    if (i - begin == job_digits) return line.substr(begin, job_digits);
    begin = i + 1;
  }
  return {};
}

std::vector<std::string> lines_naming(const std::vector<box_log>& logs,
                                      std::string_view name) {
  std::vector<found_line> found;
  for (const box_log& log : logs) {
    const std::string_view text = log.text;
    for (size_t at = text.find(name); at != std::string_view::npos;) {
      const size_t before = text.rfind('\n', at);
      const size_t begin = before == std::string_view::npos ? 0 : before + 1;
      const size_t end = std::min(text.find('\n', at), text.size());
      found.push_back({text.substr(begin, end - begin), log.box});
      at = text.find(name, end);
    }
  }
  std::stable_sort(
      found.begin(), found.end(),
      [](const auto& a, const auto& b) { return a.line < b.line; });
  if (found.size() > most_tail_lines) {
    found.erase(found.begin(), found.end() - most_tail_lines);
  }
  std::vector<std::string> out;
  out.reserve(found.size());
  for (const found_line& it : found) {
    out.push_back(str_cat(it.box, ": ", bounded(it.line, name)));
  }
  return out;
}

std::vector<std::string> with_logs(const std::vector<std::string>& broken,
                                   const std::vector<box_log>& logs) {
  std::vector<std::string> out;
  size_t tails = 0;
  for (const std::string& line : broken) {
    out.push_back(line);
    const std::string_view job = job_named_in(line);
    if (job.empty() || tails == most_tails) continue;
    ++tails;
    for (const std::string& it : lines_naming(logs, job)) {
      out.push_back("    " + it);
    }
  }
  return out;
}

}  // namespace kestrelreel::faults
