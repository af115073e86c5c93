#include "trayrock/internal/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

namespace trayrock {
namespace {

log4cplus::Logger& logger() {
  static log4cplus::Logger held = log4cplus::Logger::getInstance("trayrock");
  return held;
}

log4cplus::LogLevel level_of(std::string_view name) {
  if (name == "debug") {
    return log4cplus::DEBUG_LOG_LEVEL;
  }
  if (name == "warn") {
    return log4cplus::WARN_LOG_LEVEL;
  }
  if (name == "error") {
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

void write(log4cplus::LogLevel level, std::string_view event, log_pairs pairs) {
  if (!logger().isEnabledFor(level)) {
    return;
  }
  std::string line(event);
  for (const auto& [key, value] : pairs) {
    line.append(" ").append(key).append("=").append(value);
  }
  logger().log(level, line);
}

}  // namespace

void start_logging(std::string_view process, std::string_view level) {
  static log4cplus::Initializer initializer;
  log4cplus::setThreadPoolSize(0);  // nothing here is logged asynchronously
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(true, true));
  const std::string pattern =
      "%D{%Y-%m-%dT%H:%M:%S.%q} %p " + std::string(process) + " %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.addAppender(appender);
  root.setLogLevel(level_of(level));
}

void log_debug(std::string_view event, log_pairs pairs) {
  write(log4cplus::DEBUG_LOG_LEVEL, event, pairs);
}

void log_info(std::string_view event, log_pairs pairs) {
  write(log4cplus::INFO_LOG_LEVEL, event, pairs);
}

void log_warn(std::string_view event, log_pairs pairs) {
  write(log4cplus::WARN_LOG_LEVEL, event, pairs);
}

void log_error(std::string_view event, log_pairs pairs) {
  write(log4cplus::ERROR_LOG_LEVEL, event, pairs);
}

}  // namespace trayrock
