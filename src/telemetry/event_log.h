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
// Accepts "debug", "info", "warning" and "error".
std::optional<LogLevel> logLevelFrom(std::string_view);

// "2026-01-02T03:04:05.678Z"
std::string utcTimestamp(WallTime);

using LogField = std::pair<std::string, std::string>;

// Writes events as JSON lines with the members ts, mono_ms, host, zone, pid, level and event, followed by the
// fields of the event.
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
    // Receives one complete line including the line end.
    using Sink = std::function<void(std::string_view)>;

    EventLog(Process, LogLevel minLevel, Clocks, Sink = writeToStandardError);

    // Limits the lines per second and event name. The next line of that name in a later second is preceded by
    // a "log.suppressed" line with the number of omitted lines. There is no limit by default.
    void limitLines(std::size_t perNameAndSecond) { m_linesPerSecond = perNameAndSecond; }

    void log(LogLevel, std::string_view event, std::span<const LogField> fields = {});
    void log(LogLevel, std::string_view event, std::initializer_list<LogField> fields);

    // Writes each line with a single write call if possible, so that lines of processes that share a pipe do
    // not interleave. Drops a line that cannot be written.
    static void writeToStandardError(std::string_view line);
    // Never blocks: a line that does not fit into the pipe is dropped. The next line that fits is preceded by
    // a "log.dropped" line with the number of dropped lines.
    static void writeToStandardOutput(std::string_view line);

private:
    struct LineCounts {
        std::int64_t second = 0;
        std::size_t written = 0;
        std::size_t suppressed = 0;
    };

    bool admitLine(std::string_view event);
    JsonLine startLine(LogLevel, std::string_view event) const;

    std::size_t m_linesPerSecond = 0; // 0: no limit
    std::map<std::string, LineCounts, std::less<>> m_lineCounts;
    Process m_process;
    LogLevel m_minLevel;
    Clocks m_clocks;
    Sink m_sink;
};

} // namespace anvilmoor::telemetry
