#include "telemetry/event_log.h"

#include "telemetry/json_line.h"

#include <algorithm>
#include <array>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace anvilmoor::telemetry {

namespace {

// Members of every line. Event fields with these names get the prefix "field_", so that they do not replace
// them.
constexpr std::array<std::string_view, 7> reservedNames { "ts", "mono_ms", "host", "zone", "pid", "level",
    "event" };

bool isReserved(std::string_view name)
{
    return std::ranges::find(reservedNames, name) != reservedNames.end();
}

} // namespace

std::string_view toString(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

std::optional<LogLevel> logLevelFrom(std::string_view text)
{
    for (const auto level : { LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error }) {
        if (toString(level) == text)
            return level;
    }
    return std::nullopt;
}

std::string utcTimestamp(WallTime time)
{
    const auto second = std::chrono::floor<Seconds>(time);
    const auto fraction = (time - second).count();
    return fmt::format(
        "{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(second.time_since_epoch().count()), fraction);
}

EventLog::EventLog(Process process, LogLevel minLevel, Clocks clocks, Sink sink)
    : m_process(std::move(process))
    , m_minLevel(minLevel)
    , m_clocks(std::move(clocks))
    , m_sink(std::move(sink))
{
}

JsonLine EventLog::startLine(LogLevel level, std::string_view event) const
{
    JsonLine line;
    line.add("ts", utcTimestamp(m_clocks.wallTime()))
        .add("mono_ms", m_clocks.now().time_since_epoch().count())
        .add("host", m_process.host)
        .add("zone", m_process.zone)
        .add("pid", std::int64_t { m_process.pid })
        .add("level", toString(level))
        .add("event", event);
    return line;
}

bool EventLog::admitLine(std::string_view event)
{
    if (!m_linesPerSecond)
        return true;
    auto found = m_lineCounts.find(event);
    if (found == m_lineCounts.end())
        found = m_lineCounts.emplace(std::string(event), LineCounts {}).first;
    LineCounts& counts = found->second;
    const std::int64_t second = std::chrono::floor<Seconds>(m_clocks.now().time_since_epoch()).count();
    if (second != counts.second) {
        if (counts.suppressed) {
            JsonLine notice = startLine(LogLevel::Warning, "log.suppressed");
            notice.add("of", event).add("lines", static_cast<std::int64_t>(counts.suppressed));
            m_sink(notice.finish());
        }
        counts = { second };
    }
    if (counts.written < m_linesPerSecond) {
        ++counts.written;
        return true;
    }
    ++counts.suppressed;
    return false;
}

void EventLog::log(LogLevel level, std::string_view event, std::span<const LogField> fields)
{
    if (level < m_minLevel || !admitLine(event))
        return;
    JsonLine line = startLine(level, event);
    for (const auto& [name, value] : fields) {
        const bool isCommonMember
            = (name == "host" && value == m_process.host) || (name == "zone" && value == m_process.zone);
        if (!isCommonMember)
            line.add(isReserved(name) ? "field_" + name : name, value);
    }
    m_sink(line.finish());
}

void EventLog::log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    log(level, event, std::span<const LogField>(fields.begin(), fields.size()));
}

namespace {

// True if a write does not block. A line of at most PIPE_BUF bytes is then written completely.
bool hasRoomForLine(int descriptor)
{
    pollfd state { descriptor, POLLOUT, 0 };
    return ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

} // namespace

void EventLog::writeToStandardOutput(std::string_view line)
{
    static std::uint64_t dropped = 0;
    if (!hasRoomForLine(STDOUT_FILENO)) {
        ++dropped;
        return;
    }
    if (dropped) {
        JsonLine notice;
        notice.add("event", "log.dropped").add("lines", static_cast<std::int64_t>(dropped));
        const std::string text = notice.finish();
        dropped = 0;
        // The count is only informative. If this line is lost too, counting restarts at zero.
        (void)!::write(STDOUT_FILENO, text.data(), text.size());
    }
    if (::write(STDOUT_FILENO, line.data(), line.size()) < 0)
        ++dropped;
}

void EventLog::writeToStandardError(std::string_view line)
{
    // Blocks while the reader does not read. A partial write is completed; after an error, the line is
    // dropped.
    while (!line.empty()) {
        const ssize_t written = ::write(STDERR_FILENO, line.data(), line.size());
        if (written <= 0)
            return;
        line.remove_prefix(static_cast<std::size_t>(written));
    }
}

} // namespace anvilmoor::telemetry
