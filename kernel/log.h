// Structured logs: one line of key=value pairs for each event.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "base/text.h"

namespace kestrelreel {

/// How grave an event is.
enum class log_level { debug, info, warn, error };

/// Where the log goes.
enum class log_target { standard_error, standard_output };

/// Sends the log there. `level` is one of `debug`, `info`, `warn`, `error`;
/// fails on any other word.
absl::Status configure_log(std::string_view level,
                           log_target target = log_target::standard_error);

/// One event. It is written when the object ends:
/// `log_event("record", log_level::info, "leader-elected").with("term", 3);`
class log_event {
 public:
  log_event(std::string_view service, log_level level, std::string_view event);
  ~log_event();
  log_event(const log_event&) = delete;
  log_event& operator=(const log_event&) = delete;

  /// Adds a pair; the value is quoted where needed.
  template <typename T>
  log_event& with(std::string_view key, const T& value) {
    if (enabled_) str_append(line_, " ", key, "=", text(value));
    return *this;
  }

 private:
  template <typename T>
  static std::string text(const T& value) {
    return quote_value(str_cat(value));
  }

  std::string service_;
  log_level level_;
  bool enabled_;
  std::string line_;
};

}  // namespace kestrelreel
