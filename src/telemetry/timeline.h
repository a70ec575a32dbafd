#pragma once

#include "anvilmoor/time.h"

#include <cstddef>
#include <cstdint>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace anvilmoor::telemetry {

struct TimelineEvent {
    WallTime wallTime {}; // as logged
    WallTime sortTime {}; // wallTime, but never decreasing within a process
    std::int64_t monotonicMs = 0;
    std::size_t process = 0; // index into Timeline::processes()
    std::string host;
    std::string name;
    nlohmann::ordered_json fields; // without the members common to all lines, except "level"
};

// Empty members match everything.
struct TimelineFilter {
    std::string job;
    std::string request; // compared with the fields "request" and "key"
    std::string host;
    std::string event; // a name or its leading dotted parts: "job" matches "job.running"
};

// Merges the JSON lines of several processes by wall time. Events of the same process are ordered by
// monotonic time, because wall clocks differ between hosts and may be set back.
class Timeline {
public:
    // Reads until the end of the input. Truncated lines and lines that are not events are skipped and
    // counted. `source` identifies the process of lines that have neither a host nor a pid.
    void read(std::istream&, const std::string& source);

    // Returns the matching events in merged order.
    std::vector<TimelineEvent> merged(const TimelineFilter& = {}) const;

    // "host/pid" of each process. A process restarted with the same pid is a separate entry.
    const std::vector<std::string>& processes() const { return m_processes; }
    std::size_t skippedLines() const { return m_skippedLines; }

private:
    bool readLine(const std::string& line, const std::string& source);
    std::size_t processIndex(const std::string& name, const std::string& event);

    std::vector<TimelineEvent> m_events;
    std::vector<std::string> m_processes;
    std::map<std::string, std::size_t> m_currentProcesses; // index of the latest process of each name
    std::size_t m_skippedLines = 0;
};

// Prints aligned columns: time, host, event, fields.
void printText(std::ostream&, const std::vector<TimelineEvent>&);

// Prints trace-event JSON: an instant for each event, and a span for each job and request whose first event
// and end are among the events.
void printTrace(std::ostream&, const std::vector<TimelineEvent>&, const std::vector<std::string>& processes);

} // namespace anvilmoor::telemetry
