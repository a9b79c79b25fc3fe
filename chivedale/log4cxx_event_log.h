// Event log that writes through log4cxx on a background thread. If the buffer
// is full, events are dropped; callers never block.
//
//   Log4cxxEventLog log({settings.log_file, settings.log_level});
//   log.Write(Event::kReady, {{"revision", "12"}});
//   // 2026-01-02T03:04:05.678+0000 INFO 102 ready revision=12
#ifndef CHIVEDALE_LOG4CXX_EVENT_LOG_H_
#define CHIVEDALE_LOG4CXX_EVENT_LOG_H_

#include <memory>
#include <string>

#include "chivedale/event_log.h"

namespace chivedale {

class Log4cxxEventLog final : public EventLog {
 public:
  struct Options {
    std::string file;  // empty: standard error; "-": standard output
    // One of debug, info, warning, error.
    std::string level = "info";
    int buffered_events = 8'192;
  };

  // Throws Error(kBadSettings) if the file cannot be opened or the level is
  // unknown.
  explicit Log4cxxEventLog(const Options& options);
  // Flushes the buffer.
  ~Log4cxxEventLog() override;
  Log4cxxEventLog(const Log4cxxEventLog&) = delete;
  Log4cxxEventLog& operator=(const Log4cxxEventLog&) = delete;

  // Thread-safe.
  void Write(Event event, const LogFields& fields) override;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Returns "NUMBER NAME key=value ..." on a single line. A value that is empty
// or contains a space, quote, equals sign, backslash or control character is
// quoted and escaped.
std::string FormatEvent(Event event, const LogFields& fields);

}  // namespace chivedale

#endif  // CHIVEDALE_LOG4CXX_EVENT_LOG_H_
