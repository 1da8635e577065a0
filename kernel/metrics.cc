#include "kernel/metrics.h"

#include <utility>

#include "absl/strings/str_replace.h"
#include "base/text.h"

namespace kestrelreel {
namespace detail {

constexpr unsigned bins_per_decade = 20;
constexpr unsigned decades = 6;
constexpr double least_ms = 0.1;
constexpr double most_ms = 100'000;
constexpr double ms_per_s = 1'000;

std::string label_text(const metric_labels& labels) {
  if (labels.empty()) return "";
  std::string out;
  for (const auto& [key, value] : labels) {
    str_append(out, out.empty() ? "{" : ",", key, "=\"",
               absl::StrReplaceAll(
                   value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}}),
               "\"");
  }
  return out + "}";
}

}  // namespace detail

latency_histogram::latency_histogram()
    : bins_(boost::histogram::make_histogram(
          log_axis(detail::bins_per_decade * detail::decades, detail::least_ms,
                   detail::most_ms))) {}

void latency_histogram::add_ms(double ms) {
  bins_(ms);
  ++count_;
  sum_ms_ += ms;
}

double latency_histogram::quantile(double share) const {
  if (count_ == 0) return 0;
  const double wanted = share * static_cast<double>(count_);
  double n = bins_.at(-1);
  if (n >= wanted) return detail::least_ms;
  const auto& axis = bins_.axis();
  for (int i = 0; i < axis.size(); ++i) {
    n += bins_.at(i);
    if (n >= wanted) return axis.bin(i).upper();
  }
  return detail::most_ms;
}

void latency_histogram::write(std::string& out, const std::string& name,
                              const metric_labels& labels) const {
  const auto& axis = bins_.axis();
  double n = bins_.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    n += bins_.at(i);
    metric_labels with_bound = labels;
    with_bound["le"] = str_cat(axis.bin(i).upper() / detail::ms_per_s);
    str_append(out, name, "_bucket", detail::label_text(with_bound), " ", n,
               "\n");
  }
  metric_labels all = labels;
  all["le"] = "+Inf";
  const std::string text = detail::label_text(labels);
  str_append(out, name, "_bucket", detail::label_text(all), " ", count_, "\n");
  str_append(out, name, "_sum", text, " ", sum_ms_ / detail::ms_per_s, "\n",
             name, "_count", text, " ", count_, "\n");
}

uint64_t& metrics_registry::counter(const std::string& name,
                                    const metric_labels& labels) {
  return counters_[name][labels];
}

latency_histogram& metrics_registry::latency(const std::string& name,
                                             const metric_labels& labels) {
  return latencies_[name][labels];
}

void metrics_registry::gauge(const std::string& name,
                             std::function<double()> read) {
  gauges_[name] = std::move(read);
}

std::string metrics_registry::text() const {
  std::string out;
  for (const auto& [name, rows] : counters_) {
    str_append(out, "# TYPE ", name, " counter\n");
    for (const auto& [labels, n] : rows) {
      str_append(out, name, detail::label_text(labels), " ", n, "\n");
    }
  }
  for (const auto& [name, read] : gauges_) {
    str_append(out, "# TYPE ", name, " gauge\n", name, " ", read(), "\n");
  }
  for (const auto& [name, rows] : latencies_) {
    str_append(out, "# TYPE ", name, " histogram\n");
    for (const auto& [labels, it] : rows) it.write(out, name, labels);
  }
  return out;
}

}  // namespace kestrelreel
