#include "requests/request_broker.h"

#include "requests/record_sweeper.h"
#include "requests/request_record.h"
#include "support/request_site.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>

namespace anvilmoor {

using testing::CallFault;
using testing::ObjectFault;
using testing::RequestSite;
using testing::TableFault;

class RequestBrokerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RequestBrokerTest);
    CPPUNIT_TEST(testRequestIsSentOnceWhenClaimReplyIsLost);
    CPPUNIT_TEST(testClaimIsWrittenAgainWhenWriteIsLost);
    CPPUNIT_TEST(testRequestIsSentOnceWhenClaimTakesEffectLate);
    CPPUNIT_TEST(testAbandonedClaimWithLateEffectIsNotRunAndAllowsNewClaim);
    CPPUNIT_TEST(testCopyDuringRecordingOfNotRunMakesNewClaim);
    CPPUNIT_TEST(testCopyAfterClaimerDiedIsUnknown);
    CPPUNIT_TEST(testLookupOfEarlierIncarnationsClaimIsUnknown);
    CPPUNIT_TEST(testCopyGetsAnswerOfRequestInFlightAtAnotherDaemon);
    CPPUNIT_TEST(testCopyIsUnknownWithinTimeoutWhenClaimerDoesNotAnswer);
    CPPUNIT_TEST(testCopiesAtSameDaemonShareOneExecution);
    CPPUNIT_TEST(testCopyWithOtherBodyIsRefused);
    CPPUNIT_TEST(testCopyOfDoneRequestGetsSmallOrLargeResponseFromRecord);
    CPPUNIT_TEST(testLargeResponseIsRecordedAfterObjectStoreOutage);
    CPPUNIT_TEST(testLargeResponseLostWithItsDaemonIsUnknown);
    CPPUNIT_TEST(testLargeResponseReadWithFaultIsUnknown);
    CPPUNIT_TEST(testNewRequestsAreAcceptedDuringObjectStoreOutage);
    CPPUNIT_TEST(testDroppedNotRunIsUnknownForCopies);
    CPPUNIT_TEST(testLookupIsUnknownWhenPeerIsLostOrRestarted);
    CPPUNIT_TEST(testQueuedCopyIsUnknownWhenAnotherCopyRanAfterNotRun);
    CPPUNIT_TEST(testCopiesRunAtMostOnceWhileNotRunIsRecordedWithFaults);
    CPPUNIT_TEST(testTableOutageIsNotRunButIdempotentRequestsAreServed);
    CPPUNIT_TEST(testCopyOfExecutedRequestDuringTableOutageIsUnknown);
    CPPUNIT_TEST(testRefusedRequestIsSentToAnotherEndpoint);
    CPPUNIT_TEST(testLostNonIdempotentCallIsUnknownAndNotResent);
    CPPUNIT_TEST(testNonIdempotentCallWithErrorIsDone);
    CPPUNIT_TEST(testLostIdempotentCallIsResentToAnotherEndpoint);
    CPPUNIT_TEST(testIdempotentRequestIsNotResentToFailedEndpoint);
    CPPUNIT_TEST(testAnswerAfterDeadlineIsRecorded);
    CPPUNIT_TEST(testDuplicateAndForeignAnswersReachNoCaller);
    CPPUNIT_TEST(testGroupWithConflictingRowWritesOtherRows);
    CPPUNIT_TEST(testShutdownFinishesRequestsInFlight);
    CPPUNIT_TEST(testExpiredOrIncompleteRequestIsRejected);
    CPPUNIT_TEST(testSweepDeletesOnlyExpiredRecords);
    CPPUNIT_TEST(testSweepDeletesObjectsBeforeTheirRows);
    CPPUNIT_TEST(testRandomFaultsKeepInvariants);
    CPPUNIT_TEST_SUITE_END();

    static std::string numbered(std::string_view prefix, std::uint64_t number)
    {
        return fmt::format("{}{}", prefix, number);
    }

    static void assertOutcome(const RequestSite& site, CallerHandle caller, RequestOutcome outcome)
    {
        const RequestSite::Submission& submission = site.submissions.at(caller);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), submission.answers.size());
        const RequestAnswer& answer = submission.answers.front();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.reason, int(outcome), int(answer.outcome));
    }

    static RequestRecordState recordedState(const RequestSite& site, const std::string& key)
    {
        const auto row = site.store.rows().find("request/small/" + key);
        CPPUNIT_ASSERT(row != site.store.rows().end());
        const std::optional<RequestRecord> record = parseRequestRecord(row->second.value);
        CPPUNIT_ASSERT(record);
        return record->state;
    }

    static void assertDoneOnce(const RequestSite& site, CallerHandle caller, const std::string& key)
    {
        assertOutcome(site, caller, RequestOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(
            RequestSite::expectedBody(site.submissions.at(caller)), site.answer(caller)->body);
        CPPUNIT_ASSERT_EQUAL(1, site.executions(key));
        CPPUNIT_ASSERT(recordedState(site, key) == RequestRecordState::Done);
        CPPUNIT_ASSERT(site.violations.empty());
    }

public:
    // Guards against mistaking the daemon's own claim, whose write got no reply, for the claim of a copy.
    void testRequestIsSentOnceWhenClaimReplyIsLost()
    {
        RequestSite site(1);
        site.tableFaults = { TableFault::LostReply };
        const CallerHandle caller = site.submit(0, "k");
        site.run(Seconds(1));
        assertDoneOnce(site, caller, "k");
    }

    void testClaimIsWrittenAgainWhenWriteIsLost()
    {
        RequestSite site(1);
        site.tableFaults = { TableFault::LostRequest, TableFault::LostReply /* of the read */ };
        const CallerHandle caller = site.submit(0, "k");
        site.run(Seconds(1));
        assertDoneOnce(site, caller, "k");
    }

    // Guards against a second claim or call when the first write creates the row only after the read that
    // found the row absent.
    void testRequestIsSentOnceWhenClaimTakesEffectLate()
    {
        RequestSite site(1);
        site.tableFaults = { TableFault::LateEffect, TableFault::None, TableFault::LateEffect };
        const CallerHandle caller = site.submit(0, "k");
        site.run(Seconds(1));
        assertDoneOnce(site, caller, "k");
    }

    // Guards against sending a request on an abandoned claim, after its caller was answered "not run".
    void testAbandonedClaimWithLateEffectIsNotRunAndAllowsNewClaim()
    {
        RequestSite site(2);
        // The read that would show the effect of the write fails until the caller has been answered.
        site.tableFaults = { TableFault::LateEffect, TableFault::Unavailable };
        const CallerHandle first = site.submit(0, "k", "tare-check", "load", Milliseconds(40));
        site.run(Seconds(1));
        assertOutcome(site, first, RequestOutcome::NotRun);
        CPPUNIT_ASSERT_EQUAL(0, site.executions("k"));
        CPPUNIT_ASSERT(recordedState(site, "k") == RequestRecordState::NotRun);
        const CallerHandle second = site.submit(1, "k");
        site.run(Seconds(1));
        assertDoneOnce(site, second, "k");
    }

    // Guards against sending a copy when the write that records "not run" for the previous copy succeeds: the
    // broker could take its reply for the reply to the new claim.
    void testCopyDuringRecordingOfNotRunMakesNewClaim()
    {
        for (const int pause : { 0, 40, 80, 120, 160 }) {
            RequestSite site(1);
            site.drawDelay = [] { return Milliseconds(40); };
            const CallerHandle first = site.submit(0, "k", "tare-check", "load", Milliseconds(40));
            site.run(Milliseconds(60 + pause));
            assertOutcome(site, first, RequestOutcome::NotRun);
            const CallerHandle second = site.submit(0, "k");
            site.run(Seconds(1));
            assertDoneOnce(site, second, "k");
        }
    }

    void testCopyAfterClaimerDiedIsUnknown()
    {
        RequestSite site(2);
        site.callFaults = { CallFault::LostAfter };
        site.submit(0, "k");
        site.run(Milliseconds(20));
        site.kill(0);
        const CallerHandle copy = site.submit(1, "k");
        site.run(Seconds(1));
        assertOutcome(site, copy, RequestOutcome::Unknown);
        // The new incarnation of the claiming daemon does not have the outcome either.
        site.start(0);
        const CallerHandle third = site.submit(0, "k");
        site.run(Seconds(1));
        assertOutcome(site, third, RequestOutcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(1, site.executions("k"));
    }

    // Guards against answering a lookup with the outcome of another claim: the restarted daemon's own copy
    // was not run, but the claim of its previous incarnation was executed.
    void testLookupOfEarlierIncarnationsClaimIsUnknown()
    {
        RequestSite site(2);
        site.callFaults = { CallFault::LateAnswer };
        site.submit(0, "k");
        site.run(Milliseconds(50));
        site.kill(0);
        site.start(0);
        site.daemonsWithoutTable = { 0 };
        site.submit(0, "k", "tare-check", "load", Milliseconds(200));
        const CallerHandle copy = site.submit(1, "k");
        site.run(Seconds(1));
        CPPUNIT_ASSERT_EQUAL(1, site.executions("k"));
        assertOutcome(site, copy, RequestOutcome::Unknown);
    }

    void testCopyGetsAnswerOfRequestInFlightAtAnotherDaemon()
    {
        RequestSite site(2);
        site.drawDelay = [] { return Milliseconds(40); };
        const CallerHandle first = site.submit(0, "k");
        site.run(Milliseconds(100));
        CPPUNIT_ASSERT(!site.answer(first));
        const CallerHandle copy = site.submit(1, "k");
        site.run(Seconds(1));
        assertDoneOnce(site, first, "k");
        assertDoneOnce(site, copy, "k");
        CPPUNIT_ASSERT(site.answer(copy)->isFromRecord);
    }

    void testCopyIsUnknownWithinTimeoutWhenClaimerDoesNotAnswer()
    {
        RequestSite site(2);
        site.isPeerMessageDropped = [] { return true; };
        site.callFaults = { CallFault::LateAnswer };
        site.submit(0, "k");
        site.run(Milliseconds(100));
        const CallerHandle copy = site.submit(1, "k", "tare-check", "load", Seconds(5));
        site.run(Milliseconds(700));
        assertOutcome(site, copy, RequestOutcome::Unknown);
    }

    void testCopiesAtSameDaemonShareOneExecution()
    {
        RequestSite site(1);
        const CallerHandle first = site.submit(0, "k");
        const CallerHandle copy = site.submit(0, "k");
        site.run(Milliseconds(500));
        const CallerHandle late = site.submit(0, "k");
        site.run(Milliseconds(500));
        for (const CallerHandle caller : { first, copy, late })
            assertDoneOnce(site, caller, "k");
    }

    void testCopyWithOtherBodyIsRefused()
    {
        RequestSite site(2);
        site.submit(0, "k");
        const CallerHandle atSameDaemon = site.submit(0, "k", "tare-check", "another load");
        site.run(Milliseconds(500));
        const CallerHandle atOtherDaemon = site.submit(1, "k", "tare-check", "another load");
        site.run(Milliseconds(500));
        assertOutcome(site, atSameDaemon, RequestOutcome::Refused);
        assertOutcome(site, atOtherDaemon, RequestOutcome::Refused);
        CPPUNIT_ASSERT_EQUAL(1, site.executions("k"));
        // Without the flag, the HTTP status is not 409. An earlier version lost the flag.
        CPPUNIT_ASSERT(site.answer(atSameDaemon)->isConflict);
        CPPUNIT_ASSERT(site.answer(atOtherDaemon)->isConflict);
    }

    // The responses are not valid UTF-8, which a JSON string cannot hold.
    void testCopyOfDoneRequestGetsSmallOrLargeResponseFromRecord()
    {
        for (const std::size_t size : { std::size_t(100), std::size_t(40'000) }) {
            RequestSite site(2);
            site.largeAnswer = std::string(size, '\xff');
            site.submit(0, "k");
            site.run(Milliseconds(500));
            const CallerHandle copy = site.submit(1, "k");
            site.run(Milliseconds(500));
            assertOutcome(site, copy, RequestOutcome::Done);
            CPPUNIT_ASSERT(*site.largeAnswer == site.answer(copy)->body);
            CPPUNIT_ASSERT_EQUAL(size > 16'384 ? std::size_t(1) : std::size_t(0), site.objects.size());
        }
    }

    // Guards against a record that stays "claimed" after an outage of the object store, especially if a put
    // gets no reply.
    void testLargeResponseIsRecordedAfterObjectStoreOutage()
    {
        for (const ObjectFault fault : { ObjectFault::Down, ObjectFault::Lost, ObjectFault::LostReply }) {
            RequestSite site(2);
            site.largeAnswer = std::string(40'000, 'x');
            site.objectFault = fault;
            std::vector<CallerHandle> callers { site.submit(0, "k") };
            site.run(Seconds(8));
            CPPUNIT_ASSERT(recordedState(site, "k") == RequestRecordState::Claimed);
            for (const std::size_t daemon : { 0, 1 })
                callers.push_back(site.submit(daemon, "k"));
            site.run(Milliseconds(500));
            site.objectFault = ObjectFault::None;
            site.run(Seconds(12));
            CPPUNIT_ASSERT(recordedState(site, "k") == RequestRecordState::Done);
            CPPUNIT_ASSERT(site.daemon(0).broker->isIdle());
            callers.push_back(site.submit(1, "k"));
            site.run(Seconds(1));
            for (const CallerHandle caller : callers) {
                assertOutcome(site, caller, RequestOutcome::Done);
                CPPUNIT_ASSERT(*site.largeAnswer == site.answer(caller)->body);
            }
            CPPUNIT_ASSERT_EQUAL(1, site.executions("k"));
        }
    }

    // Guards against a second execution when the daemon that holds the only copy of a response dies before it
    // is stored.
    void testLargeResponseLostWithItsDaemonIsUnknown()
    {
        RequestSite site(2);
        site.largeAnswer = std::string(40'000, 'x');
        site.objectFault = ObjectFault::Down;
        site.submit(0, "k");
        site.run(Seconds(1));
        site.kill(0);
        site.start(0);
        site.objectFault = ObjectFault::None;
        for (const std::size_t daemon : { 0, 1 }) {
            const CallerHandle copy = site.submit(daemon, "k");
            site.run(Seconds(1));
            assertOutcome(site, copy, RequestOutcome::Unknown);
        }
        CPPUNIT_ASSERT_EQUAL(1, site.executions("k"));
    }

    // Guards against answering with an object that is truncated or holds another response.
    void testLargeResponseReadWithFaultIsUnknown()
    {
        RequestSite site(2);
        site.largeAnswer = std::string(40'000, 'x');
        site.submit(0, "k");
        site.run(Seconds(1));
        const auto copyOutcome = [&site](RequestOutcome expected) {
            const CallerHandle copy = site.submit(1, "k");
            site.run(Seconds(3));
            assertOutcome(site, copy, expected);
        };
        for (const ObjectFault fault : { ObjectFault::Down, ObjectFault::Lost, ObjectFault::Truncated }) {
            site.objectFault = fault;
            copyOutcome(RequestOutcome::Unknown);
        }
        site.objectFault = ObjectFault::None;
        copyOutcome(RequestOutcome::Done);
        site.objects.begin()->second = std::string(40'000, 'y');
        copyOutcome(RequestOutcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(1, site.executions("k"));
    }

    // Guards against refusing all new requests during an outage of the object store, because responses that
    // cannot be stored use up the memory limit.
    void testNewRequestsAreAcceptedDuringObjectStoreOutage()
    {
        constexpr int requests = 100;
        RequestSite site(2);
        site.objectFault = ObjectFault::Down;
        site.largeAnswer = std::string(500'000, 'x');
        for (int number = 0; number < requests; ++number) {
            const CallerHandle caller = site.submit(0, numbered("k", number));
            site.run(Milliseconds(100));
            assertOutcome(site, caller, RequestOutcome::Done);
        }
        const CallerHandle upload = site.submit(0, "", "sugar-test", std::string(8'000'000, 'b'));
        site.run(Milliseconds(200));
        assertOutcome(site, upload, RequestOutcome::Done);
        CPPUNIT_ASSERT(site.daemon(0).broker->counters().droppedOutcomes > 0);
        site.objectFault = ObjectFault::None;
        site.run(Seconds(12));
        int unknown = 0;
        for (int number = 0; number < requests; ++number) {
            const std::string key = numbered("k", number);
            const CallerHandle copy = site.submit(number % 2, key);
            site.run(Milliseconds(100));
            if (site.answer(copy) && site.answer(copy)->outcome == RequestOutcome::Unknown) {
                ++unknown;
            } else {
                assertOutcome(site, copy, RequestOutcome::Done);
                CPPUNIT_ASSERT(*site.largeAnswer == site.answer(copy)->body);
            }
            CPPUNIT_ASSERT_EQUAL(1, site.executions(key));
        }
        CPPUNIT_ASSERT_EQUAL(site.daemon(0).broker->counters().droppedOutcomes, std::uint64_t(unknown));
    }

    // Guards against sending a copy, or answering it "not run", after the "not run" of an earlier copy was
    // dropped unrecorded: its row stays "claimed".
    void testDroppedNotRunIsUnknownForCopies()
    {
        constexpr int requests = 8'320; // above the limit of 8,192 unwritten outcomes
        RequestSite site(2);
        site.drawTableFault = [] { return TableFault::LostReply; }; // claims take effect without a reply
        for (int number = 0; number < requests; ++number) {
            site.submit(0, numbered("k", number), "tare-check", "load", Milliseconds(30));
            if (number % 64 == 63)
                site.run(Milliseconds(60));
        }
        site.run(Seconds(1));
        for (const auto& [caller, submission] : site.submissions)
            assertOutcome(site, caller, RequestOutcome::NotRun);
        const auto dropped = int(site.daemon(0).broker->counters().droppedOutcomes);
        CPPUNIT_ASSERT_EQUAL(requests - 8'192, dropped);
        site.drawTableFault = nullptr;
        site.run(Seconds(20));
        // The oldest outcomes are dropped. The others are recorded as "not run", so their copies are sent.
        for (const int number : { 0, 1, dropped - 1, dropped, requests - 1 }) {
            const bool isDropped = number < dropped;
            const std::string key = numbered("k", number);
            for (const std::size_t daemon : { 0, 1 }) {
                const CallerHandle copy = site.submit(daemon, key);
                site.run(Seconds(1));
                assertOutcome(site, copy, isDropped ? RequestOutcome::Unknown : RequestOutcome::Done);
            }
            CPPUNIT_ASSERT_EQUAL(isDropped ? 0 : 1, site.executions(key));
        }
    }

    // Guards against "not run", a second execution or a late answer after a lookup ended because the claiming
    // daemon was lost or restarted.
    void testLookupIsUnknownWhenPeerIsLostOrRestarted()
    {
        for (const bool isRestarted : { false, true }) {
            RequestSite site(2);
            site.callFaults = { CallFault::LateAnswer };
            const CallerHandle first = site.submit(0, "k", "tare-check", "load", Milliseconds(400));
            site.run(Milliseconds(50));
            const CallerHandle copy = site.submit(1, "k");
            site.run(Milliseconds(50)); // the lookup waits at the claiming daemon
            CPPUNIT_ASSERT(!site.answer(copy));
            if (isRestarted) {
                site.kill(0);
                site.start(0);
                site.daemonsWithoutTable = { 0 };
                // The new incarnation receives a copy, which is not run.
                site.submit(0, "k", "tare-check", "load", Milliseconds(100));
            } else {
                site.deliverToBroker(1, PeerLost { RequestSite::host(0) });
                assertOutcome(site, copy, RequestOutcome::Unknown);
            }
            site.run(Seconds(15));
            assertOutcome(site, copy, RequestOutcome::Unknown);
            if (!isRestarted)
                CPPUNIT_ASSERT(recordedState(site, "k") == RequestRecordState::Done);
            CPPUNIT_ASSERT(isRestarted || !site.submissions.at(first).answers.empty());
            CPPUNIT_ASSERT_EQUAL(1, site.executions("k"));
        }
    }

    // Guards against two executions, or "not run" after an execution, when two daemons receive copies while
    // the table loses requests and replies of the write that records an earlier "not run".
    void testCopiesRunAtMostOnceWhileNotRunIsRecordedWithFaults()
    {
        int done = 0;
        for (int trial = 0; trial < 1'000; ++trial) {
            std::mt19937_64 random(std::uint64_t(trial) + 1);
            RequestSite site(2);
            site.drawDelay = [&] { return Milliseconds(1 + random() % 40); };
            site.drawTableFault
                = [&] { return random() % 2 ? TableFault(1 + random() % 4) : TableFault::None; };
            site.submit(0, "k", "tare-check", "load", Milliseconds(20 + random() % 80));
            std::set<CallerHandle> answeredCallers;
            for (int step = 0; step < 500; ++step) {
                if (step == 20 || step == 40 || step == 60)
                    site.submit(
                        step == 40 ? 1 : 0, "k", "tare-check", "load", Milliseconds(50 + random() % 500));
                const int executions = site.executions("k");
                site.run(Milliseconds(10));
                for (const auto& [caller, submission] : site.submissions) {
                    if (submission.answers.empty() || !answeredCallers.insert(caller).second)
                        continue;
                    const RequestOutcome outcome = submission.answers.front().outcome;
                    CPPUNIT_ASSERT_MESSAGE(
                        numbered("trial ", trial) + " answered \"not run\" after an execution",
                        outcome != RequestOutcome::NotRun || executions == 0);
                    done += outcome == RequestOutcome::Done ? 1 : 0;
                }
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), answeredCallers.size());
            CPPUNIT_ASSERT_MESSAGE(numbered("trial ", trial), site.executions("k") <= 1);
            CPPUNIT_ASSERT_MESSAGE(numbered("trial ", trial), site.violations.empty());
        }
        CPPUNIT_ASSERT_MESSAGE("at most 300 requests were done", done > 300);
    }

    // Guards against a wrong "not run" when the write of an earlier "not run" takes effect without a reply: a
    // copy at another daemon claims the row and runs, and this daemon, which takes its claim for held,
    // answers "not run" to a copy that expires in its queue.
    void testQueuedCopyIsUnknownWhenAnotherCopyRanAfterNotRun()
    {
        RequestSite site(2);
        site.drawCallFault = [] { return CallFault::Refuse; };
        const CallerHandle first = site.submit(0, "k", "tare-check", "load", Milliseconds(60));
        site.run(Milliseconds(20));
        // The write of "not run" takes effect, but its reply is lost and the following reads fail.
        site.tableFaults = { TableFault::LostReply };
        site.drawTableFault = [] { return TableFault::Unavailable; };
        site.run(Milliseconds(180));
        assertOutcome(site, first, RequestOutcome::NotRun);
        site.drawTableFault = nullptr;
        site.daemonsWithoutTable = { 0 };
        site.drawCallFault = nullptr;
        const CallerHandle atOtherDaemon = site.submit(1, "k");
        site.run(Milliseconds(200));
        assertDoneOnce(site, atOtherDaemon, "k");
        constexpr int claimsUntilQueued = 200;
        for (int number = 0; number < claimsUntilQueued; ++number)
            site.submit(0, numbered("other", number));
        const CallerHandle queued = site.submit(0, "k", "tare-check", "load", Milliseconds(100));
        site.run(Milliseconds(200));
        assertOutcome(site, queued, RequestOutcome::Unknown);
    }

    void testTableOutageIsNotRunButIdempotentRequestsAreServed()
    {
        RequestSite site(1);
        site.drawTableFault = [] { return TableFault::Unavailable; };
        const CallerHandle tare = site.submit(0, "k", "tare-check", "load", Seconds(8));
        const CallerHandle sugar = site.submit(0, "", "sugar-test");
        site.run(Seconds(2));
        assertOutcome(site, tare, RequestOutcome::NotRun);
        assertOutcome(site, sugar, RequestOutcome::Done);
        CPPUNIT_ASSERT(site.daemon(0).broker->isIdle());
        // The request must not be sent when the table is available again.
        site.drawTableFault = nullptr;
        site.run(Seconds(10));
        CPPUNIT_ASSERT_EQUAL(0, site.executions("k"));
    }

    // Guards against "not run" for an executed request: the caller would submit it again under a new key and
    // be billed twice.
    void testCopyOfExecutedRequestDuringTableOutageIsUnknown()
    {
        RequestSite site(2);
        const CallerHandle first = site.submit(0, "k", "tare-check", "load", Seconds(8));
        site.run(Seconds(2));
        assertOutcome(site, first, RequestOutcome::Done);
        site.drawTableFault = [] { return TableFault::Unavailable; };
        const CallerHandle copy = site.submit(1, "k", "tare-check", "load", Seconds(8));
        site.run(Seconds(10));
        assertOutcome(site, copy, RequestOutcome::Unknown);
    }

    void testRefusedRequestIsSentToAnotherEndpoint()
    {
        RequestSite site(1);
        site.callFaults = { CallFault::Refuse, CallFault::NotSent };
        const CallerHandle caller = site.submit(0, "k");
        site.run(Seconds(1));
        assertDoneOnce(site, caller, "k");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), site.calls.size());
        CPPUNIT_ASSERT(site.calls[0].second.endpoint != site.calls[1].second.endpoint);
    }

    void testLostNonIdempotentCallIsUnknownAndNotResent()
    {
        RequestSite site(1);
        site.callFaults = { CallFault::LostAfter };
        const CallerHandle caller = site.submit(0, "k");
        site.run(Seconds(1));
        const CallerHandle copy = site.submit(0, "k");
        site.run(Seconds(1));
        assertOutcome(site, caller, RequestOutcome::Unknown);
        assertOutcome(site, copy, RequestOutcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), site.calls.size());
    }

    void testNonIdempotentCallWithErrorIsDone()
    {
        RequestSite site(1);
        site.callFaults = { CallFault::Error };
        const CallerHandle caller = site.submit(0, "k");
        site.run(Seconds(1));
        assertOutcome(site, caller, RequestOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::string("failed"), site.answer(caller)->body);
        CPPUNIT_ASSERT(!site.answer(caller)->reason.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), site.calls.size());
    }

    void testLostIdempotentCallIsResentToAnotherEndpoint()
    {
        RequestSite site(1);
        site.callFaults = { CallFault::LostAfter, CallFault::Error };
        const CallerHandle caller = site.submit(0, "", "sugar-test");
        site.run(Seconds(1));
        assertOutcome(site, caller, RequestOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), site.calls.size());
        CPPUNIT_ASSERT(site.calls[0].second.endpoint != site.calls[1].second.endpoint);
    }

    // Guards against "unknown" while other endpoints answer: a retry could choose an endpoint again that had
    // already failed to answer the request.
    void testIdempotentRequestIsNotResentToFailedEndpoint()
    {
        RequestSite site(1, 6);
        for (int request = 0; request < 3; ++request) {
            const std::size_t before = site.calls.size();
            site.callFaults = { CallFault::LostAfter, CallFault::LostAfter, CallFault::LostAfter };
            const CallerHandle caller = site.submit(0, "", "sugar-test");
            site.run(Seconds(1));
            assertOutcome(site, caller, RequestOutcome::Done);
            std::set<EndpointId> endpoints;
            for (std::size_t call = before; call < site.calls.size(); ++call)
                endpoints.insert(site.calls[call].second.endpoint);
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), endpoints.size());
        }
    }

    void testAnswerAfterDeadlineIsRecorded()
    {
        RequestSite site(1);
        site.callFaults = { CallFault::LateAnswer };
        const CallerHandle caller = site.submit(0, "k", "tare-check", "load", Milliseconds(300));
        site.run(Milliseconds(400));
        assertOutcome(site, caller, RequestOutcome::Unknown);
        site.run(Seconds(12));
        const CallerHandle copy = site.submit(0, "k");
        site.run(Seconds(1));
        assertOutcome(site, caller, RequestOutcome::Unknown);
        assertDoneOnce(site, copy, "k");
    }

    // Guards against answering a caller twice, or with the response to another request.
    void testDuplicateAndForeignAnswersReachNoCaller()
    {
        RequestSite site(1);
        site.callFaults = { CallFault::Repeat, CallFault::Foreign };
        const CallerHandle first = site.submit(0, "a");
        const CallerHandle second = site.submit(0, "b");
        site.run(Seconds(1));
        assertDoneOnce(site, first, "a");
        assertOutcome(site, second, RequestOutcome::Unknown);
        const RequestCounters& counters = site.daemon(0).broker->counters();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counters.staleReplies);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counters.foreignAnswers);
    }

    void testGroupWithConflictingRowWritesOtherRows()
    {
        RequestSite site(2);
        site.submit(1, "taken");
        site.run(Milliseconds(500));
        site.submit(0, "alone"); // the following claims wait in one group while this claim is in flight
        constexpr int requests = 20;
        std::vector<CallerHandle> callers;
        callers.reserve(requests);
        for (int index = 0; index < requests; ++index)
            callers.push_back(site.submit(0, numbered("k", index)));
        const CallerHandle copy = site.submit(0, "taken");
        site.run(Seconds(1));
        for (std::size_t index = 0; index < callers.size(); ++index)
            assertDoneOnce(site, callers[index], numbered("k", index));
        assertDoneOnce(site, copy, "taken");
        const auto largest = std::max_element(site.transactionSizes.begin(), site.transactionSizes.end());
        CPPUNIT_ASSERT_EQUAL(std::size_t(21), *largest);
    }

    void testShutdownFinishesRequestsInFlight()
    {
        RequestSite site(1);
        const CallerHandle before = site.submit(0, "a");
        site.run(Milliseconds(10));
        std::vector<Effect> effects;
        const Event event { site.now, {}, 0, 0, ShutdownRequested {} };
        Step step(event, effects);
        site.daemon(0).broker->beginShutdown(step);
        const CallerHandle after = site.submit(0, "b");
        assertOutcome(site, after, RequestOutcome::NotRun);
        CPPUNIT_ASSERT(site.answer(after)->retryAfter > Milliseconds(0));
        CPPUNIT_ASSERT(!site.daemon(0).broker->isIdle());
        site.run(Seconds(1));
        assertDoneOnce(site, before, "a");
        CPPUNIT_ASSERT(site.daemon(0).broker->isIdle());
    }

    void testExpiredOrIncompleteRequestIsRejected()
    {
        RequestSite site(1);
        const CallerHandle withoutKey = site.submit(0, "");
        assertOutcome(site, withoutKey, RequestOutcome::Refused);
        const CallerHandle withUnknownOperation = site.submit(0, "k", "none");
        assertOutcome(site, withUnknownOperation, RequestOutcome::Refused);
        const WallTime issued { Milliseconds(1'790'000'000'000) };
        for (const auto age : { std::chrono::minutes(24 * 60 + 1), std::chrono::minutes(-6) }) {
            RequestReceived event { 900, { ClientAccountId("small"), "old" }, {}, ServiceId("intake"),
                "tare-check", issued - age, Milliseconds(500), {} };
            // Unless this is the first copy, an earlier one may have run before the request was too old.
            site.submissions[900] = {};
            site.deliverToBroker(0, event);
            assertOutcome(site, 900, RequestOutcome::Unknown);
            event.isFirstCopy = true;
            site.submissions[900] = {};
            site.deliverToBroker(0, event);
            assertOutcome(site, 900, RequestOutcome::NotRun);
        }
    }

    class RoleHolder : public RoleView {
    public:
        std::optional<HeldRole> held(TimePoint) const override { return HeldRole { 1, 1 }; }
        const std::string& ownerKey() const override { return m_key; }
        bool isCaretaker(TimePoint) const override { return false; }

    private:
        std::string m_key = "role/thumb/owner";
    };

    // Guards against objects of large responses that are never deleted, including those whose outcome was not
    // recorded, and against rows that are deleted before their objects.
    void testSweepDeletesObjectsBeforeTheirRows()
    {
        const RoleHolder role;
        RecordSweeper sweeper(role);
        standin::TableStore store;
        const WallTime wall { std::chrono::hours(1'000'000) };
        std::set<std::string> objects { "response/a/young/7" };
        const auto add = [&](const std::string& key, RequestRecordState state, int ageHours) {
            const std::string object = responseObjectKey("request/a/" + key, 7);
            RequestRecord record;
            record.state = state;
            record.nonce = 7;
            record.issuedAt = wall - std::chrono::hours(ageHours);
            record.objectKey = state == RequestRecordState::Done ? object : "";
            objects.insert(object);
            store.execute({ {}, { { "request/a/" + key, formatRequestRecord(record) } } });
        };
        add("done", RequestRecordState::Done, 60);
        add("claimed", RequestRecordState::Claimed, 60);
        add("down", RequestRecordState::Done, 60);
        add("young", RequestRecordState::Done, 1);
        for (const bool isStoreDown : { true, false }) {
            std::vector<Effect> effects;
            const auto now = TimePoint(Seconds(1)) + RecordSweeper::sweepInterval * (isStoreDown ? 1 : 2);
            const Event event { now, wall, 0, 0, Tick {} };
            Step step(event, effects);
            sweeper.handle(Tick {}, step);
            for (std::size_t index = 0; index < effects.size(); ++index) {
                const Effect effect = effects[index];
                if (const auto* read = std::get_if<ReadTable>(&effect))
                    sweeper.handle(TableReplied { read->operation, store.read(read->read) }, step);
                if (const auto* write = std::get_if<ExecuteTransaction>(&effect))
                    sweeper.handle(
                        TableReplied { write->operation, store.execute(write->transaction) }, step);
                if (const auto* removal = std::get_if<DeleteObject>(&effect)) {
                    const bool isOk = !isStoreDown || !removal->key.starts_with("response/a/down/");
                    if (isOk)
                        objects.erase(removal->key);
                    sweeper.handle(ObjectReplied { removal->operation, isOk, {} }, step);
                }
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(isStoreDown ? 2 : 1), objects.size());
            CPPUNIT_ASSERT_EQUAL(objects.size(), store.rows().size());
        }
        CPPUNIT_ASSERT(objects.contains("response/a/young/7"));
    }

    void testSweepDeletesOnlyExpiredRecords()
    {
        const RoleHolder role;
        RecordSweeper sweeper(role);
        standin::TableStore store;
        const WallTime wall { std::chrono::hours(1'000'000) };
        for (int index = 0; index < 100; ++index) {
            RequestRecord record;
            record.state = RequestRecordState::NotRun;
            record.issuedAt = wall - std::chrono::hours(index);
            store.execute(
                { {}, { { numbered("request/a/", std::uint64_t(index)), formatRequestRecord(record) } } });
        }
        std::vector<Effect> effects;
        const Event event { TimePoint(Seconds(1)), wall, 0, 0, Tick {} };
        Step step(event, effects);
        sweeper.handle(Tick {}, step);
        for (std::size_t index = 0; index < effects.size(); ++index) {
            const Effect effect = effects[index];
            if (const auto* read = std::get_if<ReadTable>(&effect))
                sweeper.handle(TableReplied { read->operation, store.read(read->read) }, step);
            if (const auto* write = std::get_if<ExecuteTransaction>(&effect)) {
                // Another copy changes an expired row between the read and the deletion.
                if (store.rows().size() == 100)
                    store.execute({ {}, { { "request/a/99", "changed" } } });
                sweeper.handle(TableReplied { write->operation, store.execute(write->transaction) }, step);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(49), store.rows().size()); // ages 0 to 47 h, and the changed row
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(51), sweeper.deleted());
    }

    void testRandomFaultsKeepInvariants()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
            runRandomFaults(seed);
    }

private:
    static void runRandomFaults(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        const auto withProbability = [&](unsigned percent) { return random() % 100 < percent; };
        RequestSite site(3);
        site.drawDelay = [&] { return Milliseconds(withProbability(5) ? random() % 300 : random() % 10); };
        site.isPeerMessageDropped = [&] { return withProbability(20); };
        site.drawTableFault
            = [&] { return withProbability(25) ? TableFault(1 + random() % 4) : TableFault::None; };
        site.drawCallFault = [&] {
            // Not Error: its response body differs from the expected one. It has its own test.
            static constexpr CallFault faults[]
                = { CallFault::NotSent, CallFault::Refuse, CallFault::LostBefore, CallFault::LostAfter,
                      CallFault::LateAnswer, CallFault::Repeat, CallFault::Foreign };
            return withProbability(30) ? faults[random() % std::size(faults)] : CallFault::None;
        };
        for (int stepNumber = 0; stepNumber < 500; ++stepNumber) {
            const std::size_t daemon = random() % 3;
            if (!site.daemon(daemon).isAlive) {
                site.start(daemon);
            } else if (withProbability(2)) {
                site.kill(daemon);
            } else {
                const std::string key = numbered("k", random() % 150);
                site.submit(daemon, key, withProbability(80) ? "tare-check" : "sugar-test", "load",
                    Milliseconds(withProbability(20) ? 5 + random() % 40 : 100 + random() % 2'000));
            }
            if (withProbability(50))
                site.run(Milliseconds(1 + random() % 60));
        }
        site.run(Seconds(15));
        checkInvariants(site, numbered("seed ", seed));
    }

    static void checkInvariants(const RequestSite& site, const std::string& message)
    {
        CPPUNIT_ASSERT_MESSAGE(
            message + ": " + (site.violations.empty() ? "" : site.violations[0]), site.violations.empty());
        std::map<RequestIdentity, std::vector<const RequestSite::Submission*>> copies;
        int done = 0;
        for (const auto& [caller, submission] : site.submissions) {
            const std::string where = message + " " + submission.identity.key;
            const bool isDaemonGone = const_cast<RequestSite&>(site).daemon(submission.daemon).incarnation
                    != submission.incarnation
                || !const_cast<RequestSite&>(site).daemon(submission.daemon).isAlive;
            if (submission.answers.empty()) {
                CPPUNIT_ASSERT_MESSAGE(where + " got no answer", isDaemonGone);
            } else {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(where, std::size_t(1), submission.answers.size());
                CPPUNIT_ASSERT_MESSAGE(
                    where + " was answered after its deadline", submission.answeredAt <= submission.answerBy);
                if (submission.answers[0].outcome == RequestOutcome::Done) {
                    ++done;
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(
                        where, RequestSite::expectedBody(submission), submission.answers[0].body);
                }
            }
            copies[submission.identity].push_back(&submission);
        }
        CPPUNIT_ASSERT_MESSAGE(message + ": at most 100 requests were done", done > 100);
        for (const auto& [identity, submissions] : copies) {
            const bool isNonIdempotent = std::all_of(submissions.begin(), submissions.end(),
                [](const auto* submission) { return submission->operation == "tare-check"; });
            if (!isNonIdempotent)
                continue;
            const std::string where = message + " " + identity.key;
            CPPUNIT_ASSERT_MESSAGE(where + " was executed more than once", site.executions(identity) <= 1);
            const bool isNotRunForAll
                = std::all_of(submissions.begin(), submissions.end(), [](const auto* submission) {
                      return !submission->answers.empty()
                          && submission->answers[0].outcome == RequestOutcome::NotRun;
                  });
            if (isNotRunForAll)
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    where + " was answered \"not run\" but executed", 0, site.executions(identity));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestBrokerTest);

} // namespace anvilmoor
