#include "kernel/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <map>
#include <memory>
#include <mutex>

#include "base/clock.h"
#include "base/text.h"
#include "kernel/log-limiter.h"

namespace kestrelreel {
namespace detail {

log4cplus::LogLevel to_level(log_level level) {
  switch (level) {
    case log_level::debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
      return log4cplus::INFO_LOG_LEVEL;
    case log_level::warn:
      return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

/// Lines a second below the gravest level: some ten for each request at the
/// users' rates, and well below what a small box can write.
constexpr uint64_t most_lines_per_s = 400;

/// Passes a line through the process's limiter; tells first what was left out.
bool may_write(const log4cplus::Logger& logger, std::string_view event) {
  static std::mutex guard;
  static log_limiter limiter(most_lines_per_s);
  static const boot_clock clock;
  std::string dropped;
  bool allowed = false;
  {
    const std::lock_guard<std::mutex> lock(guard);
    const time_point now = clock.now();
    allowed = limiter.allow(event, now);
    dropped = limiter.take_dropped(now);
  }
  if (!dropped.empty()) {
    logger.log(log4cplus::WARN_LOG_LEVEL,
               str_cat("event=lines-dropped events=", quote_value(dropped)));
  }
  return allowed;
}

}  // namespace detail

absl::Status configure_log(std::string_view level, log_target target) {
  static const std::map<std::string_view, log_level> levels{
      {"debug", log_level::debug},
      {"info", log_level::info},
      {"warn", log_level::warn},
      {"error", log_level::error}};
  const auto it = levels.find(level);
  if (it == levels.end()) {
    return absl::InvalidArgumentError(str_cat(
        "log level '", level, "' is not one of debug, info, warn, error"));
  }
  static log4cplus::Initializer initializer;
  log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(
      target == log_target::standard_error, true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p service=%c %m%n"));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(detail::to_level(it->second));
  return absl::OkStatus();
}

/// A line that won't be written isn't put together either.
log_event::log_event(std::string_view service, log_level level,
                     std::string_view event)
    : service_(service), level_(level) {
  const log4cplus::Logger logger = log4cplus::Logger::getInstance(service_);
  enabled_ = logger.isEnabledFor(detail::to_level(level)) &&
             (level == log_level::error || detail::may_write(logger, event));
  if (enabled_) line_ = str_cat("event=", quote_value(event));
}

log_event::~log_event() {
  if (!enabled_) return;
  const log4cplus::Logger logger = log4cplus::Logger::getInstance(service_);
  logger.log(detail::to_level(level_), line_);
}

}  // namespace kestrelreel
