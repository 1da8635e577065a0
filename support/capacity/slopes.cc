#include "support/capacity/slopes.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>

namespace kestrelreel::capacity {

line_fit fit_line(const std::vector<std::pair<double, double>>& points) {
  double s = 0;
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (const auto& [x, y] : points) {
    const double w = 1 / std::max(y * y, 1e-12);
    s += w;
    sx += w * x;
    sy += w * y;
    sxx += w * x * x;
    sxy += w * x * y;
  }
  line_fit fit;
  fit.slope = (s * sxy - sx * sy) / (s * sxx - sx * sx);
  fit.base = (sy - fit.slope * sx) / s;
  for (const auto& [x, y] : points) {
    const double off = std::abs(fit.base + fit.slope * x - y) / y;
    fit.error_percent = std::max(fit.error_percent, 100 * off);
  }
  return fit;
}

void print_slope(const std::string& name, double value, const std::string& unit,
                 double error_percent) {
  std::printf("slope %s %.4g %s %.0f\n", name.c_str(), value, unit.c_str(),
              error_percent);
  std::fflush(stdout);
}

double cpu_us() {
  rusage use{};
  getrusage(RUSAGE_SELF, &use);
  const auto us = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_usec);
  };
  return us(use.ru_utime) + us(use.ru_stime);
}

double resident_bytes() {
  std::ifstream in("/proc/self/statm");
  double total = 0;
  double resident = 0;
  in >> total >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

double heap_bytes() {
  const struct mallinfo2 info = ::mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

double us_per_call(size_t calls, const std::function<void(size_t)>& call) {
  const double begun = cpu_us();
  for (size_t i = 0; i < calls; ++i) call(i);
  return (cpu_us() - begun) / static_cast<double>(calls);
}

}  // namespace kestrelreel::capacity
