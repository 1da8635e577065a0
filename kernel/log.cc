#include "kernel/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include "base/text.h"

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
bool may_write(const log4cplus::Logger& logger) {
  static std::mutex guard;
  static log_limiter limiter(most_lines_per_s);
  static const steady_clock clock;
  uint64_t dropped = 0;
  {
    const std::lock_guard<std::mutex> lock(guard);
    if (!limiter.allow(clock.now())) return false;
    dropped = limiter.take_dropped();
  }
  if (dropped > 0) {
    logger.log(log4cplus::WARN_LOG_LEVEL,
               str_cat("event=lines-dropped count=", dropped));
  }
  return true;
}

}  // namespace detail

bool log_limiter::allow(time_point now) {
  constexpr uint64_t thousandths = 1'000;
  const uint64_t most = lines_per_s_ * thousandths;
  const uint64_t passed =
      begun_
          ? static_cast<uint64_t>(std::max<int64_t>((now - last_).count(), 0))
          : thousandths;
  credit_ = std::min(most, credit_ + passed * lines_per_s_);
  last_ = now;
  begun_ = true;
  if (credit_ < thousandths) {
    ++dropped_;
    return false;
  }
  credit_ -= thousandths;
  return true;
}

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

log_event::log_event(std::string_view service, log_level level,
                     std::string_view event)
    : service_(service), level_(level) {
  log4cplus::Logger logger = log4cplus::Logger::getInstance(service_);
  enabled_ = logger.isEnabledFor(detail::to_level(level));
  if (enabled_) line_ = str_cat("event=", quote_value(event));
}

log_event::~log_event() {
  if (!enabled_) return;
  const log4cplus::Logger logger = log4cplus::Logger::getInstance(service_);
  const bool write = level_ == log_level::error || detail::may_write(logger);
  if (!write) return;
  logger.log(detail::to_level(level_), line_);
}

}  // namespace kestrelreel
