#pragma once

#include "anvilmoor/time.h"
#include "telemetry/json_line.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace anvilmoor::telemetry {

enum class LogLevel { Debug, Info, Warning, Error };

std::string_view toString(LogLevel);
// "debug", "info", "warning" or "error".
std::optional<LogLevel> logLevelFrom(std::string_view);

// "2026-01-02T03:04:05.678Z"
std::string utcTimestamp(WallTime);

using LogField = std::pair<std::string, std::string>;

// Writes events as JSON lines: ts, mono_ms, host, zone, pid, level, event, then the event's own fields.
class EventLog {
public:
    struct Process {
        std::string host;
        std::string zone;
        int pid = 0;
    };
    struct Clocks {
        std::function<WallTime()> wallTime;
        std::function<TimePoint()> now;
    };
    // Gets one whole line with its end.
    using Sink = std::function<void(std::string_view)>;

    EventLog(Process, LogLevel minimum, Clocks, Sink = writeToStandardError);

    // Writes at most this many lines of an event's name in a second; a line "log.suppressed" then counts what
    // was left out. Without a limit, all lines are written.
    void limitLines(std::size_t perNameAndSecond) { m_linesPerSecond = perNameAndSecond; }

    void log(LogLevel, std::string_view event, std::span<const LogField> fields = {});
    void log(LogLevel, std::string_view event, std::initializer_list<LogField> fields);

    // One write per line, so that lines of several processes on one pipe do not mix. A line that cannot be
    // written is dropped.
    static void writeToStandardError(std::string_view line);
    // Never waits for the reader: a line that does not fit into the pipe is dropped, and the next line that
    // does is preceded by one with the number of dropped lines.
    static void writeToStandardOutput(std::string_view line);

private:
    struct Volume {
        std::int64_t second = 0;
        std::size_t written = 0;
        std::size_t suppressed = 0;
    };

    bool mayWrite(std::string_view event);
    JsonLine startLine(LogLevel, std::string_view event) const;

    std::size_t m_linesPerSecond = 0; // 0: no limit
    std::map<std::string, Volume, std::less<>> m_volumes;
    Process m_process;
    LogLevel m_minimum;
    Clocks m_clocks;
    Sink m_sink;
};

} // namespace anvilmoor::telemetry
