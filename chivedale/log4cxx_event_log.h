// The event log of a daemon, written through log4cxx by a thread of its own.
// A full buffer sheds events instead of blocking the caller.
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
    // debug, info, warning or error.
    std::string level = "info";
    int buffered_events = 8'192;
  };

  // Throws Error(kBadSettings) when the file cannot be opened.
  explicit Log4cxxEventLog(const Options& options);
  // Writes what is buffered.
  ~Log4cxxEventLog() override;
  Log4cxxEventLog(const Log4cxxEventLog&) = delete;
  Log4cxxEventLog& operator=(const Log4cxxEventLog&) = delete;

  // Command. Safe to use from all threads.
  void Write(Event event, const LogFields& fields) override;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// "NUMBER NAME key=value ..."; a value that is empty or holds a space, quote,
// equals sign, backslash or control character is quoted and escaped, so that
// one event is one line.
std::string FormatEvent(Event event, const LogFields& fields);

}  // namespace chivedale

#endif  // CHIVEDALE_LOG4CXX_EVENT_LOG_H_
