// Measured slopes: a name, a value with its unit, and how well the line fits.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace kestrelreel::capacity {

/// A line through measured points.
struct line_fit {
  double base = 0;
  double slope = 0;
  /// Largest distance of a point from the line, in percent of the point.
  double error_percent = 0;
};

/// Least squares with weights 1/y^2, so that small sizes count as large ones
/// do.
line_fit fit_line(const std::vector<std::pair<double, double>>& points);

/// Prints `slope NAME VALUE UNIT ERROR`.
void print_slope(const std::string& name, double value, const std::string& unit,
                 double error_percent = 0);

/// Processor time of this process so far, in microseconds.
double cpu_us();
/// Resident memory of this process, in bytes.
double resident_bytes();
/// Memory handed out by the allocator, in bytes.
double heap_bytes();

/// Microseconds of processor time that one call takes, over `calls` calls.
double us_per_call(size_t calls, const std::function<void(size_t)>& call);

/// The record, the book, the transports: each prints its slopes.
void measure_book();
void measure_record();
void measure_routing();
/// The worker's side of the exchanges, until the process is ended.
int serve_exchanges(const std::string& grpc_port, const std::string& tcp_port);
/// The holder's side, over `channels` connections.
void measure_exchanges(const std::string& grpc_port,
                       const std::string& tcp_port, size_t channels);
/// Applies changes to a running cluster and times them.
int measure_changes(const std::string& addresses, size_t changes);

}  // namespace kestrelreel::capacity
