#include "clients/endpoint_codec.h"
#include "clients/host_list_codec.h"
#include "clients/table_codec.h"
#include "clients/worker_codec.h"
#include "workers/layout.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace anvilmoor::clients {

class PlatformCodecTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformCodecTest);
    CPPUNIT_TEST(testTransactionIsUnchangedByEncodeAndDecode);
    CPPUNIT_TEST(testValueThatIsNotUtf8IsUnchangedByEncodeAndDecode);
    CPPUNIT_TEST(testCommitReplyWithoutAWrittenKeyIsAnError);
    CPPUNIT_TEST(testWorkerMessagesAreUnchangedByEncodeAndDecode);
    CPPUNIT_TEST(testTruncatedMessagesAreErrors);
    CPPUNIT_TEST(testFieldsOfWrongTypeAreErrors);
    CPPUNIT_TEST(testForeignEndpointResponseIsLost);
    CPPUNIT_TEST_SUITE_END();

public:
    void testTransactionIsUnchangedByEncodeAndDecode()
    {
        const TableTransaction sent { { { "a", 0 }, { "b", 18'446'744'073'709'551'615U } },
            { { "a", "value \"quoted\"" }, { "b", std::nullopt }, { "c", "" } } };
        const auto received = decodeTransaction(*encodeTransaction(sent));
        CPPUNIT_ASSERT(received.has_value());
        CPPUNIT_ASSERT(received->conditions[1].version == sent.conditions[1].version);
        CPPUNIT_ASSERT(received->writes[0].value == sent.writes[0].value);
        CPPUNIT_ASSERT(!received->writes[1].value);
        CPPUNIT_ASSERT(received->writes[2].value == "");

        const TableReply conflict { TableStatus::Conflict, { { "a", 3, "x" }, { "b", 0, "" } } };
        const auto reply = decodeTransactionReply(*encodeTransactionReply(conflict, 9), sent);
        CPPUNIT_ASSERT(reply->status == TableStatus::Conflict && reply->rows.size() == 2);
        CPPUNIT_ASSERT(reply->rows[0].version == 3 && reply->rows[0].value == "x");
    }

    void testValueThatIsNotUtf8IsUnchangedByEncodeAndDecode()
    {
        std::string bytes;
        for (int i = 0; i < 256; ++i)
            bytes += static_cast<char>(i);
        const auto received = decodeTransaction(*encodeTransaction({ {}, { { "a", bytes } } }));
        CPPUNIT_ASSERT(received->writes[0].value == bytes);
        const auto rows = decodeReadReply(*encodeReadReply({ TableStatus::Ok, { { "a", 1, bytes } } }, 1));
        CPPUNIT_ASSERT(rows->rows[0].value == bytes);
        // A key has no hexadecimal form: encoding must fail, because a changed key would be another key.
        CPPUNIT_ASSERT(!encodeTransaction({ {}, { { bytes, "x" } } }).has_value());
    }

    void testCommitReplyWithoutAWrittenKeyIsAnError()
    {
        const std::string reply
            = R"({"committed":true,"revision":4,"conflicts":[],"written":[{"key":"a","version":4}]})";
        CPPUNIT_ASSERT(decodeTransactionReply(reply, { {}, { { "a", "x" } } }).has_value());
        CPPUNIT_ASSERT(!decodeTransactionReply(reply, { {}, { { "a", "x" }, { "b", "x" } } }).has_value());
    }

    void testWorkerMessagesAreUnchangedByEncodeAndDecode()
    {
        const SyncRack sync { RackId("r"), 7, 12, Milliseconds(900), { { JobId("z.1"), 3 } } };
        const auto receivedSync = decodeSync(*encodeSync(sync), sync.rack);
        CPPUNIT_ASSERT(receivedSync->token == 7 && receivedSync->since == 12);
        CPPUNIT_ASSERT(receivedSync->wait == sync.wait && receivedSync->renewals[0].attempt == 3);

        const std::vector<TaskPhase> phases { TaskPhase::Reserved, TaskPhase::Confirmed, TaskPhase::Running,
            TaskPhase::Checkpointing, TaskPhase::Finished, TaskPhase::Failed };
        WorkerReport worker { WorkerId("w"), false, {} };
        for (const TaskPhase phase : phases)
            worker.tasks.push_back({ JobId("z.1"), 2, phase, 8, true, Milliseconds(5), Milliseconds(4) });
        const auto report
            = decodeRackReport(*encodeRackReport({ RackId("r"), 7, 13, true, { worker } }), RackId("r"), 7);
        CPPUNIT_ASSERT(report->sequence == 13 && report->isComplete && report->token == 7);
        CPPUNIT_ASSERT(!report->workers[0].isLive);
        for (std::size_t i = 0; i < phases.size(); ++i)
            CPPUNIT_ASSERT(report->workers[0].tasks[i].phase == phases[i]);
        CPPUNIT_ASSERT(report->workers[0].tasks[0].throttled);

        for (const WorkerCommandKind kind : { WorkerCommandKind::Reserve, WorkerCommandKind::Confirm,
                 WorkerCommandKind::Run, WorkerCommandKind::Release, WorkerCommandKind::Checkpoint,
                 WorkerCommandKind::Throttle, WorkerCommandKind::Stop }) {
            const WorkerCommand sent { kind, 9, JobId("z.1"), 4, 8, Milliseconds(1), Milliseconds(2), true };
            const auto command = decodeCommand(*encodeCommand(sent));
            CPPUNIT_ASSERT(command->kind == kind && command->token == 9 && command->attempt == 4);
            CPPUNIT_ASSERT(command->accelerators == 8 && command->ttl == sent.ttl && command->throttled);
            CPPUNIT_ASSERT(command->runTime == sent.runTime);
        }
        for (const WorkerCommandResult result :
            { WorkerCommandResult::Ok, WorkerCommandResult::StaleToken, WorkerCommandResult::NoCapacity,
                WorkerCommandResult::UnknownTask, WorkerCommandResult::Failed })
            CPPUNIT_ASSERT(decodeCommandResult(*encodeCommandResult(result)) == result);
    }

    void testTruncatedMessagesAreErrors()
    {
        // No proper prefix of a message may decode as a message.
        const std::string transaction = *encodeTransaction({ { { "a", 1 } }, { { "a", "x" } } });
        const std::string report = *encodeRackReport(
            { RackId("r"), 1, 2, true, { { WorkerId("w"), true, { TaskReport { JobId("j") } } } } });
        const std::string hosts = *encodeHostList({ { "w", AvailabilityZoneId("z"), HostState::Leaving } });
        for (std::size_t i = 0; i < transaction.size(); ++i)
            CPPUNIT_ASSERT(!decodeTransaction(transaction.substr(0, i)).has_value());
        for (std::size_t i = 0; i < report.size(); ++i)
            CPPUNIT_ASSERT(!decodeRackReport(report.substr(0, i), RackId("r"), 1).has_value());
        for (std::size_t i = 0; i < hosts.size(); ++i)
            CPPUNIT_ASSERT(!decodeHostList(hosts.substr(0, i)).has_value());
        CPPUNIT_ASSERT(decodeHostList(hosts)->front().state == HostState::Leaving);
    }

    void testFieldsOfWrongTypeAreErrors()
    {
        const std::vector<std::string> invalidMessages { "", "null", "[]", "7", "\"x\"", "{}",
            "{\"conditions\":{},\"writes\":{}}", R"({"conditions":[7],"writes":[]})",
            R"({"conditions":[{"key":"a","version":-1}],"writes":[]})",
            R"({"conditions":[{"key":"a","version":1.5}],"writes":[]})",
            R"({"conditions":[{"key":7,"version":1}],"writes":[]})",
            R"({"conditions":[],"writes":[{"key":"a"}]})",
            R"({"conditions":[],"writes":[{"key":"a","value":7}]})",
            R"({"conditions":[],"writes":[{"key":"a","value_hex":"0g"}]})", R"({"keys":[1],"prefixes":[]})",
            R"({"keys":[]})", R"({"revision":1,"rows":null})", R"({"committed":1,"revision":1})",
            R"({"committed":false,"conflicts":[],"written":[]})",
            R"({"hosts":[{"id":"w","zone":"z","state":"asleep"}]})", R"({"hosts":[null]})",
            R"({"sequence":1,"complete":true,"workers":[{"id":"w","live":true,"tasks":[{}]}]})",
            R"({"sequence":1,"workers":[]})", R"({"sequence":"1","complete":true,"workers":[]})",
            R"({"token":1,"since":1,"wait_ms":99999999999999999,"renew":[]})",
            R"({"token":1,"since":1,"wait_ms":1,"renew":[{"job":"j","attempt":4294967296}]})",
            R"({"token":1,"command":"explode","job":"j","attempt":1,"accelerators":1,"ttl_ms":1,"run_ms":1,"throttle":false})",
            R"({"result":"splendid"})", R"({"services":[],"slots":8,"racks":[{"id":"r"}]})",
            R"({"services":[],"slots":-8,"racks":[]})", "\xff\xfe", std::string(100'000, '[') };
        for (const std::string& text : invalidMessages) {
            CPPUNIT_ASSERT_MESSAGE(text, !decodeTransaction(text).has_value());
            CPPUNIT_ASSERT_MESSAGE(text, !decodeTransactionReply(text, {}).has_value());
            CPPUNIT_ASSERT_MESSAGE(text, !decodeRead(text).has_value());
            CPPUNIT_ASSERT_MESSAGE(text, !decodeReadReply(text).has_value());
            CPPUNIT_ASSERT_MESSAGE(text, !decodeHostList(text).has_value());
            CPPUNIT_ASSERT_MESSAGE(text, !decodeSync(text, RackId("r")).has_value());
            CPPUNIT_ASSERT_MESSAGE(text, !decodeRackReport(text, RackId("r"), 1).has_value());
            CPPUNIT_ASSERT_MESSAGE(text, !decodeCommand(text).has_value());
            CPPUNIT_ASSERT_MESSAGE(text, !decodeCommandResult(text).has_value());
            CPPUNIT_ASSERT_MESSAGE(text, !standin::parseLayout(text).has_value());
        }
    }

    void testForeignEndpointResponseIsLost()
    {
        CallEndpoint call;
        call.call = 5;
        call.identity = { ClientAccountId("mill"), "key-1" };
        const RequestIdentity other { ClientAccountId("mill"), "key-2" };
        const auto withContentLength = [](net::HttpResponse response) {
            response.headers.push_back({ "content-length", std::to_string(response.body.size()) });
            return response;
        };
        const auto failureOf = [&call](const net::HttpResult& result) {
            const EndpointOutcome outcome = decodeEndpointResponse(result, call);
            const auto* failed = std::get_if<EndpointFailed>(&outcome);
            CPPUNIT_ASSERT(failed && failed->call == 5);
            return failed->failure;
        };
        const EndpointOutcome answered
            = decodeEndpointResponse(withContentLength(endpointResponse(call.identity, 200, "done")), call);
        CPPUNIT_ASSERT(std::get<EndpointAnswered>(answered).body == "done");
        CPPUNIT_ASSERT(
            failureOf(withContentLength(endpointResponse(other, 200, "done"))) == EndpointFailure::Lost);
        // If another request was refused, this one may still have been executed.
        CPPUNIT_ASSERT(failureOf(endpointResponse(other, 503, "")) == EndpointFailure::Lost);
        CPPUNIT_ASSERT(failureOf(withContentLength({ 200, {}, "done" })) == EndpointFailure::Lost);
        CPPUNIT_ASSERT(failureOf(endpointResponse(call.identity, 200, "no length")) == EndpointFailure::Lost);
        CPPUNIT_ASSERT(
            failureOf(endpointResponse(call.identity, 503, "")) == EndpointFailure::RefusedBeforeExecution);
        CPPUNIT_ASSERT(failureOf(endpointResponse(call.identity, 500, "")) == EndpointFailure::Error);
        CPPUNIT_ASSERT(failureOf(endpointResponse(call.identity, 404, "")) == EndpointFailure::Lost);
        CPPUNIT_ASSERT(failureOf(tl::unexpected(net::HttpError { net::HttpErrorKind::NotSent, "" }))
            == EndpointFailure::NotSent);
        CPPUNIT_ASSERT(failureOf(tl::unexpected(net::HttpError { net::HttpErrorKind::TimedOut, "" }))
            == EndpointFailure::Lost);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformCodecTest);

} // namespace anvilmoor::clients
