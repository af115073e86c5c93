#include "trayrock/internal/log.h"

#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <memory>

namespace trayrock {
namespace {

// Lines that wait for a slow reader of standard output; more are dropped.
constexpr std::size_t most_waiting_bytes = 256U << 10;

// Writes lines to standard output and never waits for it.
class bounded_appender final : public log4cplus::Appender {
 public:
  bounded_appender() {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
  bounded_appender(const bounded_appender&) = delete;
  bounded_appender& operator=(const bounded_appender&) = delete;
  ~bounded_appender() override { destructorImpl(); }

  void close() override {
    flush();
    closed = true;
  }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    flush();
    if (waiting_.size() >= most_waiting_bytes) {
      ++dropped_;
      return;
    }
    if (dropped_ > 0) {
      waiting_ += "{\"event\":\"log_lines_dropped\",\"count\":\"" +
                  std::to_string(dropped_) + "\"}\n";
      dropped_ = 0;
    }
    waiting_ += formatEvent(event);
    flush();
  }

 private:
  void flush() {
    while (!waiting_.empty()) {
      const ssize_t done =
          ::write(STDOUT_FILENO, waiting_.data(), waiting_.size());
      if (done < 0 && errno == EINTR) {
        continue;
      }
      if (done <= 0) {
        return;  // the reader is slow or gone; tried again with the next line
      }
      waiting_.erase(0, static_cast<std::size_t>(done));
    }
  }

  std::string waiting_;
  std::uint64_t dropped_ = 0;
};

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

void append_escaped(std::string& out, std::string_view text) {
  constexpr unsigned char first_printable = 0x20;
  for (const char each : text) {
    if (each == '"' || each == '\\') {
      out.push_back('\\');
      out.push_back(each);
    } else if (static_cast<unsigned char>(each) < first_printable) {
      char code[8];
      std::snprintf(code, sizeof(code), "\\u%04x",
                    static_cast<unsigned>(static_cast<unsigned char>(each)));
      out += code;
    } else {
      out.push_back(each);
    }
  }
}

void append_pair(std::string& out, std::string_view key,
                 std::string_view value) {
  out += ",\"";
  out += key;
  out += "\":\"";
  append_escaped(out, value);
  out += '"';
}

void write(log4cplus::LogLevel level, std::string_view event, log_pairs pairs) {
  if (!logger().isEnabledFor(level)) {
    return;
  }
  std::string line;
  append_pair(line, "event", event);
  for (const auto& [key, value] : pairs) {
    append_pair(line, key, value);
  }
  logger().log(level, line);
}

}  // namespace

void start_logging(std::string_view process, std::string_view level) {
  static log4cplus::Initializer initializer;
  log4cplus::setThreadPoolSize(0);  // nothing here is logged asynchronously
  log4cplus::SharedAppenderPtr appender(new bounded_appender());
  const std::string pattern =
      "{\"time\":\"%D{%Y-%m-%dT%H:%M:%S.%q}\",\"level\":\"%p\",\"process\":\"" +
      std::string(process) + "\"%m}%n";
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
