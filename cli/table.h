// Tables for people.
#pragma once

#include <string>
#include <vector>

namespace kestrelreel {

/// Rows of cells under a header, shown with aligned columns.
class text_table {
 public:
  explicit text_table(std::vector<std::string> header);
  void add(std::vector<std::string> row);
  /// The table with a line break at the end of each row.
  std::string str() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace kestrelreel
