// Counters, gauges and latency histograms, shown in the Prometheus text
// format. All processes use the same bins, so that histograms of several
// boxes add up exactly.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/clock.h"

namespace kestrelreel {

/// Name and value of each label, such as `tenant="night-duty"`.
using metric_labels = std::map<std::string, std::string>;

/// Latencies from 0.1 ms to 100 s, 20 bins to a factor of ten.
class latency_histogram {
 public:
  latency_histogram();
  void add(milliseconds latency) {
    add_ms(static_cast<double>(latency.count()));
  }
  void add_ms(double ms);
  uint64_t count() const { return count_; }
  double sum_ms() const { return sum_ms_; }
  /// The upper end of the bin that holds that share of all values, in ms;
  /// 0 without values.
  double quantile(double share) const;
  /// Appends the lines of one Prometheus histogram, in seconds.
  void write(std::string& out, const std::string& name,
             const metric_labels& labels) const;

 private:
  using log_axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<log_axis>> bins_;
  uint64_t count_ = 0;
  double sum_ms_ = 0;
};

/// All metrics of a process. Used from the thread of the decisions alone.
class metrics_registry {
 public:
  /// The counter or histogram of that name and labels; made on first use.
  uint64_t& counter(const std::string& name, const metric_labels& labels = {});
  latency_histogram& latency(const std::string& name,
                             const metric_labels& labels = {});
  /// A value that is read when the metrics are shown.
  void gauge(const std::string& name, std::function<double()> read);
  /// All of them in the Prometheus text format, version 0.0.4.
  std::string text() const;

 private:
  std::map<std::string, std::map<metric_labels, uint64_t>> counters_;
  std::map<std::string, std::map<metric_labels, latency_histogram>> latencies_;
  std::map<std::string, std::function<double()>> gauges_;
};

}  // namespace kestrelreel
