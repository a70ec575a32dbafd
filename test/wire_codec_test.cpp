#include "entry/entry_settings.h"
#include "entry/local_time.h"
#include "entry/wire_answer.h"
#include "entry/wire_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace anvilmoor::entry {

namespace {

net::HttpRequest request(const std::string& method, const std::string& path, const std::string& body = "",
    std::vector<net::HttpHeader> headers = {})
{
    return { method, path, std::move(headers), body };
}

net::HttpRequest serviceRequest(std::vector<net::HttpHeader> extra)
{
    extra.push_back({ "anvilmoor-account", "drahtwerk" });
    return request("POST", "/v1/services/planning/rush-quote", "body", std::move(extra));
}

template <typename Payload> Payload decoded(const net::HttpRequest& from)
{
    const auto event = decodeCall(from, 9);
    CPPUNIT_ASSERT_MESSAGE(event ? "" : event.error().reason, event.has_value());
    const auto payload = std::get<Payload>(*event);
    CPPUNIT_ASSERT_EQUAL(CallerHandle(9), payload.caller);
    return payload;
}

void assertRefused(const net::HttpRequest& from, int status, const std::string& expectedText)
{
    const auto event = decodeCall(from, 9);
    CPPUNIT_ASSERT_MESSAGE(from.path + " " + from.body, !event.has_value());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(event.error().reason, status, event.error().status);
    CPPUNIT_ASSERT_MESSAGE(
        event.error().reason, event.error().reason.find(expectedText) != std::string::npos);
}

nlohmann::json bodyOf(const net::HttpResponse& response) { return nlohmann::json::parse(response.body); }

EntrySettings validSettings()
{
    return { "e1", "z1", "127.0.0.1:0", "[::1]:0", "e1@z1=10.0.0.1:7,e2@z2=10.0.0.2:7", "127.0.0.1:80",
        "z1=127.0.0.1:81,z2=127.0.0.1:82", "", "info" };
}

} // namespace

class WireCodecTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WireCodecTest);
    CPPUNIT_TEST(testServiceRequestWithAllHeadersIsDecoded);
    CPPUNIT_TEST(testServiceRequestWithInvalidHeaderIsRefusedNamingIt);
    CPPUNIT_TEST(testJobSubmissionIsDecodedAndInvalidFieldsAreRefused);
    CPPUNIT_TEST(testPathsMethodsAndEscapesAreCheckedBeforeUse);
    CPPUNIT_TEST(testOperatorCallsAreDecoded);
    CPPUNIT_TEST(testAnswerOfEachOutcomeHasItsStatusAndHeaders);
    CPPUNIT_TEST(testOperatorAnswersAreJson);
    CPPUNIT_TEST(testValidSettingsAreReadAndEachInvalidOneIsRefused);
    CPPUNIT_TEST(testLocalTimeFollowsDaylightSaving);
    CPPUNIT_TEST_SUITE_END();

public:
    void testServiceRequestWithAllHeadersIsDecoded()
    {
        const auto event = decoded<RequestReceived>(serviceRequest({ { "Idempotency-Key", "k/1" },
            { "Anvilmoor-Caller", "mill-3" }, { "Anvilmoor-Deadline-Ms", "2500" },
            { "Anvilmoor-Issued-At", "2026-01-01T01:00:00.250+01:00" } }));
        CPPUNIT_ASSERT(event.service.value() == "planning" && event.operation == "rush-quote");
        CPPUNIT_ASSERT(event.identity == (RequestIdentity { ClientAccountId("drahtwerk"), "k/1" }));
        CPPUNIT_ASSERT(event.callerName == "mill-3" && event.deadline == Milliseconds(2'500));
        CPPUNIT_ASSERT(event.issuedAt == WallTime(Milliseconds(1'767'225'600'250)) && event.body == "body");
        const auto plain = decoded<RequestReceived>(serviceRequest({ { "Anvilmoor-Issued-At", "17" } }));
        CPPUNIT_ASSERT(plain.deadline == Milliseconds(0) && plain.issuedAt == WallTime(Milliseconds(17)));
    }

    void testServiceRequestWithInvalidHeaderIsRefusedNamingIt()
    {
        assertRefused(request("POST", "/v1/services/s/o"), 400, "Anvilmoor-Account is missing");
        assertRefused(
            request("POST", "/v1/services/s/o", "", { { "Anvilmoor-Account", "a/b" } }), 400, "Account");
        for (const char* invalid : { "-1", "0", "1.5", "x", "99999999999", "99999999999999999999" })
            assertRefused(
                serviceRequest({ { "Anvilmoor-Deadline-Ms", invalid } }), 400, "Anvilmoor-Deadline-Ms");
        for (const char* invalid : { "yesterday", "-5", "99999999999999999", "infinite-future" })
            assertRefused(serviceRequest({ { "Anvilmoor-Issued-At", invalid } }), 400, "Anvilmoor-Issued-At");
        (void)decoded<RequestReceived>(serviceRequest({ { "Idempotency-Key", std::string(256, 'k') } }));
        assertRefused(serviceRequest({ { "Idempotency-Key", std::string(257, 'k') } }), 400, "256");
        assertRefused(serviceRequest({ { "Idempotency-Key", "a\xff" } }), 400, "Idempotency-Key");
    }

    void testJobSubmissionIsDecodedAndInvalidFieldsAreRefused()
    {
        const auto event = decoded<JobSubmitted>(request("POST", "/v1/jobs",
            R"({"account":"a","key":"k","zone":"z","class":"guaranteed","accelerators":512,"adjacent":false,)"
            R"("priority":9,"run_ms":60000})"));
        const JobSpecification& job = event.specification;
        CPPUNIT_ASSERT(job.account.value() == "a" && job.key == "k" && job.zone.value() == "z");
        CPPUNIT_ASSERT(job.jobClass == JobClass::Guaranteed && job.accelerators == 512 && !job.adjacent);
        CPPUNIT_ASSERT(job.priority == 9 && job.declaredRunTime == Milliseconds(60'000) && job.id.isEmpty());
        const std::string base = R"({"account":"a","key":"k","accelerators":1,"run_ms":1)";
        (void)decoded<JobSubmitted>(request("POST", "/v1/jobs", base + "}"));
        assertRefused(request("POST", "/v1/jobs", base), 400, "not valid JSON");
        assertRefused(request("POST", "/v1/jobs", "[]"), 400, "object");
        assertRefused(request("POST", "/v1/jobs", "{}"), 400, "\"account\" is missing");
        assertRefused(request("POST", "/v1/jobs", base + R"(,"gpu":1})"), 400, "unknown field \"gpu\"");
        assertRefused(request("POST", "/v1/jobs", base + R"(,"priority":10})"), 400, "\"priority\"");
        assertRefused(request("POST", "/v1/jobs", base + R"(,"adjacent":1})"), 400, "\"adjacent\"");
        assertRefused(request("POST", "/v1/jobs", base + R"(,"class":"best"})"), 400, "\"class\"");
        for (const char* invalid : { "0", "513", "-1", "1.5", "\"8\"", "18446744073709551615" })
            assertRefused(
                request("POST", "/v1/jobs",
                    std::string(R"({"account":"a","key":"k","run_ms":1,"accelerators":)") + invalid + "}"),
                400, "\"accelerators\"");
    }

    void testPathsMethodsAndEscapesAreCheckedBeforeUse()
    {
        for (const char* path : { "/", "/v1", "/v1/jobs/", "/v1/services/s", "/v2/site", "/v1/site/x" })
            assertRefused(request("GET", path), std::string(path) == "/v1/jobs/" ? 400 : 404, "");
        assertRefused(request("PATCH", "/v1/jobs"), 405, "POST, GET");
        assertRefused(request("GET", "/v1/services/s/o"), 405, "POST");
        for (const char* path :
            { "v1/site", "/v1/jobs/%", "/v1/jobs/%2", "/v1/jobs/%zz", "/v1/jobs?account=%" })
            assertRefused(request("GET", path), 400, "path");
        const auto query = decoded<RequestQueried>(request("GET", "/v1/requests/acc/k%2F1%25?x"));
        CPPUNIT_ASSERT_EQUAL(std::string("k/1%"), query.identity.key);
        assertRefused(request("GET", "/v1/requests/a%2Fb/k"), 400, "account");
        assertRefused(request("GET", "/v1/requests/a/%0a"), 400, "key");
    }

    void testOperatorCallsAreDecoded()
    {
        const auto list = decoded<JobsListed>(request("GET", "/v1/jobs?account=a"));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), list.account.value());
        const std::string job = "steyr-north.0123456789abcdef";
        CPPUNIT_ASSERT(decoded<JobQueried>(request("GET", "/v1/jobs/" + job)).job.value() == job);
        CPPUNIT_ASSERT(decoded<JobCancelRequested>(request("DELETE", "/v1/jobs/" + job)).job.value() == job);
        assertRefused(request("GET", "/v1/jobs/steyr-north.12"), 400, "16 hex digits");
        const auto submitted = decoded<ConfigurationSubmitted>(
            request("PUT", "/v1/config", R"({"expected_version":4,"document":{"b":1,"a":2}})"));
        CPPUNIT_ASSERT(submitted.expectedVersion == 4 && submitted.document == R"({"a":2,"b":1})");
        assertRefused(request("PUT", "/v1/config", R"({"document":{}})"), 400, "expected_version");
        assertRefused(request("PUT", "/v1/config", R"({"expected_version":-1,"document":{}})"), 400,
            "expected_version");
        assertRefused(
            request("PUT", "/v1/config", R"({"expected_version":1,"document":"x"})"), 400, "document");
        CPPUNIT_ASSERT(decoded<DrainRequested>(request("POST", "/v1/endpoints/s@w1/drain")).isLeaving);
        CPPUNIT_ASSERT(!decoded<DrainRequested>(request("DELETE", "/v1/endpoints/s@w1/drain")).isLeaving);
        assertRefused(request("POST", "/v1/endpoints/w1/drain"), 400, "<service>@<worker>");
        CPPUNIT_ASSERT(decoded<SiteQueried>(request("GET", "/v1/site")).withEndpoints);
        CPPUNIT_ASSERT(!decoded<SiteQueried>(request("GET", "/v1/site?endpoints=false")).withEndpoints);
        (void)decoded<ConfigurationQueried>(request("GET", "/v1/config"));
    }

    // Guards against an ambiguous outcome: a caller must be able to distinguish "not run" from "unknown".
    void testAnswerOfEachOutcomeHasItsStatusAndHeaders()
    {
        const RequestIdentity identity { ClientAccountId("acc"), "k/1" };
        const auto done = encodeAnswer({ RequestOutcome::Done, std::string("\0\xff", 2) }, identity);
        CPPUNIT_ASSERT(done.status == 200 && done.body == std::string("\0\xff", 2));
        CPPUNIT_ASSERT(done.header("Anvilmoor-Outcome") == "done" && done.header("Retry-After").empty());
        const auto notRun
            = encodeAnswer({ RequestOutcome::NotRun, "", "queue \xff full", Milliseconds(1'001) }, identity);
        CPPUNIT_ASSERT(notRun.status == 503 && notRun.header("Retry-After") == "2");
        CPPUNIT_ASSERT(bodyOf(notRun)["outcome"] == "not_run" && !bodyOf(notRun).contains("url"));
        const auto unknown = encodeAnswer({ RequestOutcome::Unknown, "", "no answer" }, identity);
        CPPUNIT_ASSERT(unknown.status == 504 && bodyOf(unknown)["outcome"] == "unknown");
        CPPUNIT_ASSERT_EQUAL(
            std::string("/v1/requests/acc/k%2F1"), bodyOf(unknown)["url"].get<std::string>());
        RequestAnswer refused { RequestOutcome::Refused, "", "no such service" };
        CPPUNIT_ASSERT_EQUAL(400, encodeAnswer(refused, identity).status);
        refused.isConflict = true;
        CPPUNIT_ASSERT_EQUAL(409, encodeAnswer(refused, identity).status);
    }

    void testOperatorAnswersAreJson()
    {
        const std::vector<std::pair<RefusalKind, int>> kinds { { RefusalKind::Invalid, 400 },
            { RefusalKind::NotFound, 404 }, { RefusalKind::Conflict, 409 }, { RefusalKind::Unavailable, 503 },
            { RefusalKind::Unknown, 504 } };
        for (const auto& [kind, status] : kinds) {
            const auto response = encodeOperatorAnswer({ 1, Refusal { kind, { "why" } } });
            CPPUNIT_ASSERT_EQUAL(status, response.status);
            CPPUNIT_ASSERT(bodyOf(response)["reasons"] == nlohmann::json::array({ "why" }));
        }
        const auto error = encodeError({ 405, "use GET", "GET" });
        CPPUNIT_ASSERT(error.header("Allow") == "GET" && bodyOf(error)["reasons"][0] == "use GET");
        const auto config = bodyOf(encodeOperatorAnswer({ 1, ConfigurationAnswer { 3, R"({"a":1})" } }));
        CPPUNIT_ASSERT(config["version"] == 3 && config["document"]["a"] == 1);
        CPPUNIT_ASSERT(bodyOf(encodeOperatorAnswer({ 1, ConfigurationAnswer { 4, "" } }))["version"] == 4);
        CPPUNIT_ASSERT(bodyOf(encodeOperatorAnswer({ 1, DrainAnswer { 5 } }))["version"] == 5);
        JobStatus job;
        job.specification.id = JobId("z.01");
        job.members.push_back({ WorkerId("w1"), 8 });
        const auto single = bodyOf(encodeOperatorAnswer({ 1, JobsAnswer { { job }, true } }));
        CPPUNIT_ASSERT(single["id"] == "z.01" && single["state"] == "queued");
        CPPUNIT_ASSERT(single["members"][0]["worker"] == "w1" && single["finished_at"].is_null());
        const auto list = bodyOf(encodeOperatorAnswer({ 1, JobsAnswer { { job }, false } }));
        CPPUNIT_ASSERT(list["jobs"].size() == 1 && list["jobs"][0]["members"][0]["accelerators"] == 8);
        SiteAnswer site;
        site.hosts.push_back({ HostId("e2"), AvailabilityZoneId("z"), true, true, 7, 5, {} });
        site.endpoints.push_back({ EndpointId("s@w"), AvailabilityZoneId("z"), EndpointState::Leaving });
        const auto body = bodyOf(encodeOperatorAnswer({ 1, site }));
        CPPUNIT_ASSERT(body["hosts"][0]["config_version"] == 7 && body["endpoints"][0]["state"] == "leaving");
        CPPUNIT_ASSERT(body["hosts"][0]["summary"]["queued_jobs"] == 0);
    }

    void testValidSettingsAreReadAndEachInvalidOneIsRefused()
    {
        const auto options = readSettings(validSettings(), 42);
        CPPUNIT_ASSERT(options.has_value());
        CPPUNIT_ASSERT(options->peers.size() == 1 && options->settings.peers[0].zone.value() == "z2");
        CPPUNIT_ASSERT(options->peerListen.ip == "::1" && options->seed == 42);
        const std::vector<std::pair<std::string EntrySettings::*, std::string>> invalid {
            { &EntrySettings::host, "" }, { &EntrySettings::zone, "a b" },
            { &EntrySettings::listen, "localhost:1" }, { &EntrySettings::listen, "127.0.0.1:65536" },
            { &EntrySettings::peerListen, "::1:80" }, { &EntrySettings::peers, "e2=127.0.0.1:7" },
            { &EntrySettings::peers, "e2@z=127.0.0.1:0" },
            { &EntrySettings::peers, "e2@z=127.0.0.1:7,e2@z=127.0.0.1:8" },
            { &EntrySettings::peers, "e1@z2=127.0.0.1:7" }, { &EntrySettings::platform, "127.0.0.1" },
            { &EntrySettings::workersAddress, "" }, { &EntrySettings::workersAddress, "z1" },
            { &EntrySettings::seed, "-1" }, { &EntrySettings::logLevel, "loud" }
        };
        for (const auto& [member, value] : invalid) {
            auto settings = validSettings();
            settings.*member = value;
            CPPUNIT_ASSERT_MESSAGE(value, !readSettings(settings, 1).has_value());
        }
        CPPUNIT_ASSERT(readSettings({}, 1).error().size() >= 6);
    }

    void testLocalTimeFollowsDaylightSaving()
    {
        LocalTime time;
        const auto at = [&](const std::chrono::sys_days& day, int hour) {
            return time.secondOfWeek(day + std::chrono::hours(hour));
        };
        using namespace std::chrono;
        const sys_days monday = 2026y / January / 5;
        CPPUNIT_ASSERT_EQUAL(SecondOfWeek(3'600), at(monday, 1));
        CPPUNIT_ASSERT(!time.setTimeZone("Nowhere/None") && !time.setTimeZone(""));
        CPPUNIT_ASSERT(time.setTimeZone("Europe/Vienna"));
        CPPUNIT_ASSERT_EQUAL(SecondOfWeek(2 * 3'600), at(monday, 1));
        CPPUNIT_ASSERT_EQUAL(SecondOfWeek(3 * 3'600), at(2026y / July / 6, 1));
        CPPUNIT_ASSERT_EQUAL(SecondOfWeek(0), at(monday - days(1), 23));
        CPPUNIT_ASSERT_EQUAL(SecondOfWeek(secondsPerWeek - 3'600), at(monday - days(1), 22));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireCodecTest);

} // namespace anvilmoor::entry
