#include "telemetry/event_log.h"
#include "telemetry/metrics.h"
#include "telemetry/timeline.h"

#include <algorithm>
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace anvilmoor::telemetry {

namespace {

std::string line(const std::string& host, const std::string& time, int monotonic, const std::string& event,
    const std::string& fields = "")
{
    return R"({"ts":"2026-01-01T00:00:)" + time + R"(Z","mono_ms":)" + std::to_string(monotonic)
        + R"(,"host":")" + host + R"(","zone":"z","pid":1,"level":"info","event":")" + event + "\"" + fields
        + "}\n";
}

std::string joinedNames(const std::vector<TimelineEvent>& events)
{
    std::string joined;
    for (const TimelineEvent& event : events)
        joined += event.name + " ";
    return joined;
}

std::vector<TimelineEvent> merge(Timeline& timeline, const std::vector<std::string>& files)
{
    for (std::size_t i = 0; i < files.size(); ++i) {
        std::istringstream input(files[i]);
        timeline.read(input, "file" + std::to_string(i));
    }
    return timeline.merged();
}

} // namespace

class TelemetryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TelemetryTest);
    CPPUNIT_TEST(testLineWithInvalidAndReservedFieldsIsOneJsonObject);
    CPPUNIT_TEST(testLinesBeyondTheLimitAreCountedInsteadOfWritten);
    CPPUNIT_TEST(testFullOutputPipeDropsLinesWithoutBlocking);
    CPPUNIT_TEST(testMetricsPageWithLabelsAndLatencyIsPrometheusText);
    CPPUNIT_TEST(testTruncatedAndUnrelatedLinesAreSkippedAndCounted);
    CPPUNIT_TEST(testEqualTimestampsKeepOrderOfProcesses);
    CPPUNIT_TEST(testSkewedAndSteppedClocksKeepEventOrderOfEachProcess);
    CPPUNIT_TEST(testProcessRestartedWithSamePidIsSeparateProcess);
    CPPUNIT_TEST(testFiltersSelectByJobRequestHostAndEvent);
    CPPUNIT_TEST(testTraceHasSpanOfFinishedJobOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an event field that breaks the line format or replaces a member common to all lines.
    void testLineWithInvalidAndReservedFieldsIsOneJsonObject()
    {
        std::string written;
        EventLog log({ "h\"1", "z", 7 }, LogLevel::Info,
            { [] { return WallTime(Milliseconds(1'767'225'600'123)); },
                [] { return TimePoint(Milliseconds(42)); } },
            [&](std::string_view text) { written += text; });
        log.log(LogLevel::Debug, "dropped", {});
        log.log(LogLevel::Info, "job.running",
            { { "job", "a\n\"\\\x01" }, { "host", "other" }, { "bad", "x\xff\xc0\x80y" },
                { "good", "\u00e9" } });
        CPPUNIT_ASSERT_EQUAL(written.size() - 1, written.find('\n'));
        const auto object = nlohmann::json::parse(written);
        CPPUNIT_ASSERT_EQUAL(std::string("2026-01-01T00:00:00.123Z"), object["ts"].get<std::string>());
        CPPUNIT_ASSERT(object["host"] == "h\"1" && object["field_host"] == "other" && object["pid"] == 7);
        CPPUNIT_ASSERT(object["mono_ms"] == 42 && object["level"] == "info");
        CPPUNIT_ASSERT(object["job"] == "a\n\"\\\x01" && object["good"] == "\u00e9");
        CPPUNIT_ASSERT(object["bad"] == "x\ufffd\ufffd\ufffdy");
    }

    void testLinesBeyondTheLimitAreCountedInsteadOfWritten()
    {
        TimePoint now { Seconds(5) };
        std::vector<std::string> lines;
        EventLog log({ "h", "z", 1 }, LogLevel::Info, { [] { return WallTime(); }, [&] { return now; } },
            [&](std::string_view text) { lines.emplace_back(text); });
        log.limitLines(3);
        for (int i = 0; i < 10; ++i)
            log.log(LogLevel::Info, "busy", {});
        log.log(LogLevel::Info, "rare", {});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, lines.size());
        now += Seconds(1);
        log.log(LogLevel::Info, "busy", {});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 6 }, lines.size());
        const auto note = nlohmann::json::parse(lines[4]);
        CPPUNIT_ASSERT_EQUAL(std::string("log.suppressed"), note.at("event").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(7, note.at("lines").get<int>());
    }

    // Guards against a process that blocks on standard output when the reader of the pipe stops reading. A
    // blocked write makes the test hang.
    void testFullOutputPipeDropsLinesWithoutBlocking()
    {
        std::array<int, 2> ends {};
        CPPUNIT_ASSERT_EQUAL(0, pipe(ends.data()));
        const int output = dup(STDOUT_FILENO);
        dup2(ends[1], STDOUT_FILENO);
        const std::string line(200, 'x');
        for (int i = 0; i < 2'000; ++i)
            EventLog::writeToStandardOutput(line + "\n");
        std::array<char, 65'536> buffer {};
        const ssize_t count = read(ends[0], buffer.data(), buffer.size());
        EventLog::writeToStandardOutput("next\n");
        const ssize_t more = read(ends[0], buffer.data(), buffer.size());
        dup2(output, STDOUT_FILENO);
        for (const int descriptor : { ends[0], ends[1], output })
            close(descriptor);
        CPPUNIT_ASSERT(count > 0);
        const std::string text(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(more, 0)));
        CPPUNIT_ASSERT(text.find("log.dropped") != std::string::npos);
        CPPUNIT_ASSERT(text.find("next") != std::string::npos);
    }

    void testMetricsPageWithLabelsAndLatencyIsPrometheusText()
    {
        MetricsRegistry metrics;
        metrics.counter("requests_total", "Answered requests.", { { "outcome", "a\"b" } }).add(3);
        metrics.gauge("ready", "1 if ready.").set(1);
        Latency& latency = metrics.latency("wait_seconds", "Wait.");
        for (int i = 1; i <= 1000; ++i)
            latency.record(Milliseconds(i));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, latency.p50Seconds(), 0.02);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.99, latency.p99Seconds(), 0.02);
        const std::string page = metrics.page();
        for (const char* expected :
            { "# HELP requests_total Answered requests.\n# TYPE requests_total counter\n",
                "requests_total{outcome=\"a\\\"b\"} 3\n", "# TYPE ready gauge\nready 1\n",
                "# TYPE wait_seconds summary\nwait_seconds{quantile=\"0.5\"} ", "wait_seconds_count 1000\n" })
            CPPUNIT_ASSERT_MESSAGE(expected, page.find(expected) != std::string::npos);
    }

    void testTruncatedAndUnrelatedLinesAreSkippedAndCounted()
    {
        Timeline timeline;
        const std::string good = line("a", "01.000", 1, "one");
        const std::string file = good + "free text\n" + good.substr(0, 40) + "\n[1]\n{\"ts\":\"x\"}\n\n"
            + line("a", "02.000", 2, "two") + good.substr(0, 60);
        CPPUNIT_ASSERT_EQUAL(std::string("one two "), joinedNames(merge(timeline, { file })));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), timeline.skippedLines());
    }

    void testEqualTimestampsKeepOrderOfProcesses()
    {
        Timeline timeline;
        const std::string a = line("a", "01.000", 5, "a1") + line("a", "01.000", 5, "a2");
        const std::string b = line("b", "01.000", 1, "b1") + line("b", "00.999", 1, "b2");
        CPPUNIT_ASSERT_EQUAL(std::string("a1 a2 b1 b2 "), joinedNames(merge(timeline, { a, b })));
    }

    // The clock of host b is slow, and the clock of host a is set back between its events.
    void testSkewedAndSteppedClocksKeepEventOrderOfEachProcess()
    {
        Timeline timeline;
        const std::string a
            = line("a", "10.000", 1, "a1") + line("a", "02.000", 2, "a2") + line("a", "11.000", 3, "a3");
        const std::string b = line("b", "05.000", 900, "b1") + line("b", "10.500", 901, "b2");
        CPPUNIT_ASSERT_EQUAL(std::string("b1 a1 a2 b2 a3 "), joinedNames(merge(timeline, { a, b })));
    }

    void testProcessRestartedWithSamePidIsSeparateProcess()
    {
        Timeline timeline;
        const std::string a = line("a", "01.000", 900, "process.started") + line("a", "02.000", 901, "old")
            + line("a", "03.000", 1, "process.started") + line("a", "04.000", 2, "new");
        CPPUNIT_ASSERT_EQUAL(
            std::string("process.started old process.started new "), joinedNames(merge(timeline, { a })));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), timeline.processes().size());
    }

    void testFiltersSelectByJobRequestHostAndEvent()
    {
        Timeline timeline;
        merge(timeline,
            { line("a", "01.000", 1, "job.accepted", R"(,"job":"j1")")
                    + line("a", "02.000", 2, "request.done", R"(,"request":"r1")"),
                line("b", "03.000", 1, "jobs.other", R"(,"job":"j2")") });
        CPPUNIT_ASSERT_EQUAL(std::string("job.accepted "), joinedNames(timeline.merged({ .job = "j1" })));
        CPPUNIT_ASSERT_EQUAL(std::string("request.done "), joinedNames(timeline.merged({ .request = "r1" })));
        CPPUNIT_ASSERT_EQUAL(std::string("jobs.other "), joinedNames(timeline.merged({ .host = "b" })));
        CPPUNIT_ASSERT_EQUAL(std::string("job.accepted "), joinedNames(timeline.merged({ .event = "job" })));
    }

    void testTraceHasSpanOfFinishedJobOnly()
    {
        Timeline timeline;
        const auto events = merge(timeline,
            { line("a", "01.000", 1, "job.accepted", R"(,"job":"j1")")
                + line("a", "01.000", 1, "job.accepted", R"(,"job":"j2")")
                + line("a", "03.500", 2, "job.finished", R"(,"job":"j1")") });
        std::ostringstream output;
        printTrace(output, events, timeline.processes());
        int spans = 0;
        const auto trace = nlohmann::json::parse(output.str());
        for (const auto& entry : trace["traceEvents"]) {
            if (entry["ph"] != "X")
                continue;
            ++spans;
            CPPUNIT_ASSERT(entry["name"] == "job j1" && entry["dur"] == 2'500'000);
        }
        CPPUNIT_ASSERT_EQUAL(1, spans);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TelemetryTest);

} // namespace anvilmoor::telemetry
