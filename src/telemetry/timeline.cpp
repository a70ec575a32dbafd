#include "telemetry/timeline.h"

#include "telemetry/event_log.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fmt/format.h>
#include <optional>
#include <set>
#include <string_view>

namespace anvilmoor::telemetry {

namespace {

using Json = nlohmann::ordered_json;

// The first event of each daemon process.
constexpr std::string_view processStartEvent = "process.started";

// Event logs contain no longer lines; longer ones are skipped without parsing.
constexpr std::size_t maxLineBytes = 1024U * 1024U;

std::optional<WallTime> parseTimestamp(const std::string& text)
{
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    int second = 0;
    int millisecond = 0;
    int length = 0;
    if (std::sscanf(text.c_str(), "%4d-%2u-%2uT%2d:%2d:%2d.%3dZ%n", &year, &month, &day, &hour, &minute,
            &second, &millisecond, &length)
            != 7
        || static_cast<std::size_t>(length) != text.size())
        return std::nullopt;
    const std::chrono::year_month_day date { std::chrono::year(year), std::chrono::month(month),
        std::chrono::day(day) };
    if (!date.ok())
        return std::nullopt;
    return std::chrono::sys_days(date) + std::chrono::hours(hour) + std::chrono::minutes(minute)
        + Seconds(second) + Milliseconds(millisecond);
}

std::string stringOf(const Json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end())
        return {};
    return found->is_string() ? found->get<std::string>() : found->dump();
}

bool matchesName(const std::string& name, const std::string& filter)
{
    return filter.empty() || name == filter
        || (name.size() > filter.size() && name.starts_with(filter) && name[filter.size()] == '.');
}

bool matches(const TimelineEvent& event, const TimelineFilter& filter)
{
    if (!filter.host.empty() && event.host != filter.host)
        return false;
    if (!filter.job.empty() && stringOf(event.fields, "job") != filter.job)
        return false;
    if (!filter.request.empty() && stringOf(event.fields, "request") != filter.request
        && stringOf(event.fields, "key") != filter.request)
        return false;
    return matchesName(event.name, filter.event);
}

bool isEndEvent(const std::string& name)
{
    static const std::set<std::string, std::less<>> ends { "job.finished", "job.cancelled", "job.failed",
        "request.done", "request.not_run", "request.unknown", "request.refused", "request.answered",
        "request.finished" };
    return ends.contains(name);
}

std::int64_t microseconds(const TimelineEvent& event)
{
    return event.sortTime.time_since_epoch().count() * 1000;
}

Json makeInstant(const TimelineEvent& event)
{
    return { { "name", event.name }, { "ph", "i" }, { "s", "p" }, { "ts", microseconds(event) },
        { "pid", event.process }, { "tid", 0 }, { "args", event.fields } };
}

struct Span {
    const TimelineEvent* start = nullptr;
    const TimelineEvent* end = nullptr;
};

// Returns spans by name: "job <id>" or "request <id>".
std::map<std::string, Span> findSpans(const std::vector<TimelineEvent>& events)
{
    std::map<std::string, Span> spans;
    for (const TimelineEvent& event : events) {
        for (const char* kind : { "job", "request" }) {
            const std::string id = stringOf(event.fields, kind);
            if (id.empty() || !matchesName(event.name, kind))
                continue;
            Span& span = spans[fmt::format("{} {}", kind, id)];
            if (!span.start)
                span.start = &event;
            if (isEndEvent(event.name))
                span.end = &event;
        }
    }
    return spans;
}

} // namespace

void Timeline::read(std::istream& input, const std::string& source)
{
    std::string line;
    while (std::getline(input, line)) {
        if (!line.empty() && !readLine(line, source))
            ++m_skippedLines;
    }
}

bool Timeline::readLine(const std::string& line, const std::string& source)
{
    if (line.size() > maxLineBytes || line.front() != '{')
        return false;
    Json object = Json::parse(line, nullptr, false);
    if (!object.is_object())
        return false;
    const std::string name = stringOf(object, "event");
    const auto wallTime = parseTimestamp(stringOf(object, "ts"));
    const auto monotonic = object.find("mono_ms");
    if (name.empty() || !wallTime || monotonic == object.end() || !monotonic->is_number_integer())
        return false;
    TimelineEvent event;
    event.wallTime = *wallTime;
    event.monotonicMs = monotonic->get<std::int64_t>();
    event.host = stringOf(object, "host");
    event.name = name;
    const std::string pid = stringOf(object, "pid");
    event.process
        = processIndex(event.host.empty() && pid.empty() ? source : event.host + "/" + pid, event.name);
    for (const char* member : { "ts", "mono_ms", "host", "zone", "pid", "event" })
        object.erase(member);
    event.fields = std::move(object);
    m_events.push_back(std::move(event));
    return true;
}

std::size_t Timeline::processIndex(const std::string& name, const std::string& event)
{
    const auto found = m_currentProcesses.find(name);
    if (found != m_currentProcesses.end() && event != processStartEvent)
        return found->second;
    m_processes.push_back(name);
    return m_currentProcesses[name] = m_processes.size() - 1;
}

std::vector<TimelineEvent> Timeline::merged(const TimelineFilter& filter) const
{
    std::vector<TimelineEvent> events = m_events;
    std::ranges::stable_sort(events, [](const TimelineEvent& left, const TimelineEvent& right) {
        return std::pair(left.process, left.monotonicMs) < std::pair(right.process, right.monotonicMs);
    });
    for (std::size_t i = 0; i < events.size(); ++i) {
        const bool isFirst = i == 0 || events[i - 1].process != events[i].process;
        events[i].sortTime
            = isFirst ? events[i].wallTime : std::max(events[i].wallTime, events[i - 1].sortTime);
    }
    std::ranges::stable_sort(events, {}, &TimelineEvent::sortTime);
    std::erase_if(events, [&](const TimelineEvent& event) { return !matches(event, filter); });
    return events;
}

void printText(std::ostream& output, const std::vector<TimelineEvent>& events)
{
    std::size_t hostWidth = 4;
    std::size_t nameWidth = 5;
    for (const TimelineEvent& event : events) {
        hostWidth = std::max(hostWidth, event.host.size());
        nameWidth = std::max(nameWidth, event.name.size());
    }
    for (const TimelineEvent& event : events) {
        std::string line = fmt::format(
            "{}  {:<{}}  {:<{}}", utcTimestamp(event.wallTime), event.host, hostWidth, event.name, nameWidth);
        for (const auto& [name, value] : event.fields.items()) {
            if (name != "level" || value != "info")
                line += fmt::format(
                    "  {}={}", name, value.is_string() ? value.get<std::string>() : value.dump());
        }
        line.erase(line.find_last_not_of(' ') + 1);
        output << line << '\n';
    }
}

void printTrace(
    std::ostream& output, const std::vector<TimelineEvent>& events, const std::vector<std::string>& processes)
{
    Json trace = Json::array();
    for (std::size_t i = 0; i < processes.size(); ++i)
        trace.push_back({ { "name", "process_name" }, { "ph", "M" }, { "pid", i },
            { "args", { { "name", processes[i] } } } });
    for (const TimelineEvent& event : events)
        trace.push_back(makeInstant(event));
    int thread = 0; // a separate thread per span, so that viewers do not nest overlapping spans
    for (const auto& [name, span] : findSpans(events)) {
        if (!span.end || span.end == span.start)
            continue;
        trace.push_back({ { "name", name }, { "ph", "X" }, { "ts", microseconds(*span.start) },
            { "dur", microseconds(*span.end) - microseconds(*span.start) }, { "pid", span.start->process },
            { "tid", ++thread }, { "args", { { "end", span.end->name } } } });
    }
    output << Json { { "traceEvents", std::move(trace) } }.dump(
        -1, ' ', false, Json::error_handler_t::replace)
           << '\n';
}

} // namespace anvilmoor::telemetry
