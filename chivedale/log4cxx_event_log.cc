// Uses a non-blocking AsyncAppender: the control thread only formats the line
// and adds it to a bounded buffer. A slow disk can lose log lines but never
// delays scheduling.
#include "chivedale/log4cxx_event_log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <fstream>

#include "chivedale/error.h"

namespace chivedale {
namespace {

const EventInfo& FindEventInfo(Event event) {
  const std::vector<EventInfo>& events = AllEvents();
  const auto it = std::lower_bound(
      events.begin(), events.end(), event,
      [](const EventInfo& info, Event e) { return info.event < e; });
  return *it;
}

bool NeedsNoQuoting(char c) {
  return c > ' ' && c != '"' && c != '=' && c != '\\' && c != '\x7f';
}

void AppendQuoted(const std::string& value, std::string& out) {
  static constexpr char kHex[] = "0123456789abcdef";
  out += '"';
  for (char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (c == '\n') {
      out += "\\n";
    } else if (byte < 0x20 || byte == 0x7f) {
      out += "\\x";
      out += kHex[byte >> 4];
      out += kHex[byte & 15];
    } else {
      out += c;
    }
  }
  out += '"';
}

log4cxx::LevelPtr ToLog4cxxLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarning:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      break;
  }
  return log4cxx::Level::getError();
}

LogLevel LevelFromName(const std::string& name) {
  static constexpr std::array<const char*, 4> kNames = {"debug", "info",
                                                        "warning", "error"};
  const auto it = std::find(kNames.begin(), kNames.end(), name);
  if (it == kNames.end()) {
    throw Error(
        ErrorKind::kBadSettings,
        "log_level: '" + name + "' is not one of debug, info, warning, error");
  }
  return static_cast<LogLevel>(it - kNames.begin());
}

log4cxx::AppenderPtr MakeAppender(const std::string& file) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>(
      LOG4CXX_STR("%d{yyyy-MM-ddTHH:mm:ss.SSSZ} %p %m%n"));
  if (file.empty()) {
    return std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
  }
  if (file == "-") {
    return std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemOut());
  }
  // log4cxx does not report a file that it cannot open, except on standard
  // error.
  if (!std::ofstream(file, std::ios::app)) {
    throw Error(ErrorKind::kBadSettings,
                "log_file: cannot write to '" + file + "'");
  }
  LOG4CXX_DECODE_CHAR(path, file);
  return std::make_shared<log4cxx::FileAppender>(layout, path, true);
}

}  // namespace

struct Log4cxxEventLog::Impl {
  log4cxx::LoggerPtr logger;
  log4cxx::AsyncAppenderPtr appender;
};

Log4cxxEventLog::Log4cxxEventLog(const Options& options)
    : impl_(std::make_unique<Impl>()) {
  // Each instance has its own logger, so that two daemons in one test process
  // do not write to each other's files.
  static std::atomic<int> count{0};
  impl_->logger = log4cxx::Logger::getLogger(
      "chivedale." + std::to_string(count.fetch_add(1)));
  impl_->logger->setAdditivity(false);
  impl_->logger->setLevel(ToLog4cxxLevel(LevelFromName(options.level)));
  impl_->appender = std::make_shared<log4cxx::AsyncAppender>();
  impl_->appender->setBlocking(false);
  impl_->appender->setBufferSize(options.buffered_events);
  impl_->appender->addAppender(MakeAppender(options.file));
  log4cxx::helpers::Pool pool;
  impl_->appender->activateOptions(pool);
  impl_->logger->addAppender(impl_->appender);
}

Log4cxxEventLog::~Log4cxxEventLog() {
  impl_->logger->removeAllAppenders();
  impl_->appender->close();
}

void Log4cxxEventLog::Write(Event event, const LogFields& fields) {
  const log4cxx::LevelPtr level = ToLog4cxxLevel(FindEventInfo(event).level);
  if (!impl_->logger->isEnabledFor(level)) {
    return;
  }
  LOG4CXX_DECODE_CHAR(message, FormatEvent(event, fields));
  impl_->logger->forcedLogLS(level, message, LOG4CXX_LOCATION);
}

std::string FormatEvent(Event event, const LogFields& fields) {
  std::string line = std::to_string(static_cast<int>(event));
  line += ' ';
  line += FindEventInfo(event).name;
  for (const auto& [key, value] : fields) {
    line += ' ';
    line += key;
    line += '=';
    if (!value.empty() &&
        std::all_of(value.begin(), value.end(), NeedsNoQuoting)) {
      line += value;
    } else {
      AppendQuoted(value, line);
    }
  }
  return line;
}

}  // namespace chivedale
