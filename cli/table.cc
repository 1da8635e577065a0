#include "cli/table.h"

#include <algorithm>
#include <utility>

namespace kestrelreel {

text_table::text_table(std::vector<std::string> header) {
  rows_.push_back(std::move(header));
}

void text_table::add(std::vector<std::string> row) {
  rows_.push_back(std::move(row));
}

std::string text_table::str() const {
  std::vector<size_t> widths(rows_.front().size(), 0);
  for (const auto& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string out;
  for (const auto& row : rows_) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out += line + '\n';
  }
  return out;
}

}  // namespace kestrelreel
