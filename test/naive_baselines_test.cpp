#include "noise/counting_noise.h"
#include "placement/first_fit_placement.h"
#include "support/fault_matrix.h"
#include "support/test_cluster.h"
#include "support/test_document.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace anvilmoor::test {

namespace {

enum class Variant { Real, Naive };

std::string violationText(const TestCluster& cluster)
{
    std::string text;
    for (const std::string& violation : cluster.violations())
        text += violation + "\n";
    return text;
}

// A noise policy without a limit in lesson hours, so that it never acts.
class UnlimitedNoise : public CountingNoise {
public:
    UnlimitedNoise()
        : CountingNoise(unreachableCap)
    {
    }

private:
    static constexpr int unreachableCap = 1'000'000;
};

} // namespace

// Each naive variant violates one invariant, and the checker has to report it; the same events without the
// variant must pass. Guards against invariant checks that can never fail.
class NaiveBaselinesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(NaiveBaselinesTest);
    CPPUNIT_TEST(testWorkersWithoutFencingRunTwoAttempts);
    CPPUNIT_TEST(testCallBeforeRecordExecutesTwice);
    CPPUNIT_TEST(testAnswerMatchedByOrderReachesAnotherRequest);
    CPPUNIT_TEST(testGangWithoutRollbackStartsPartially);
    CPPUNIT_TEST(testConfigurationWithoutVersionsIsNeverCommitted);
    CPPUNIT_TEST(testRestartAmongOutdatedPeersRevertsConfiguration);
    CPPUNIT_TEST(testEndpointIsCalledAfterIgnoredDrain);
    CPPUNIT_TEST(testPolicyWithoutNoiseLimitExceedsLimit);
    CPPUNIT_TEST(testFirstFitLetsClaimWait);
    CPPUNIT_TEST(testNotRunWithoutReadingRecordIsWrong);
    CPPUNIT_TEST_SUITE_END();

public:
    void testWorkersWithoutFencingRunTwoAttempts()
    {
        expectViolationOfNaiveVariant(&NaiveBaselinesTest::runStaleCommands, "runs as attempts");
    }
    void testCallBeforeRecordExecutesTwice()
    {
        expectViolationOfNaiveVariant(&NaiveBaselinesTest::runCopies, "was executed 2 times");
    }
    void testAnswerMatchedByOrderReachesAnotherRequest()
    {
        expectViolationOfNaiveVariant(&NaiveBaselinesTest::runCrossedReplies, "got the answer");
    }
    void testGangWithoutRollbackStartsPartially()
    {
        expectViolationOfNaiveVariant(&NaiveBaselinesTest::runRefusedMember, "started with 8 of 16");
    }
    void testConfigurationWithoutVersionsIsNeverCommitted()
    {
        expectViolationOfNaiveVariant(&NaiveBaselinesTest::runOldPush, "never committed");
    }
    void testRestartAmongOutdatedPeersRevertsConfiguration()
    {
        expectViolationOfNaiveVariant(
            &NaiveBaselinesTest::runRestartInCutZone, "went back from configuration");
    }
    void testEndpointIsCalledAfterIgnoredDrain()
    {
        expectViolationOfNaiveVariant(&NaiveBaselinesTest::runDrain, "after its drain");
    }
    void testPolicyWithoutNoiseLimitExceedsLimit()
    {
        expectViolationOfNaiveVariant(&NaiveBaselinesTest::runLesson, "dB in lesson hours");
    }
    void testFirstFitLetsClaimWait()
    {
        expectViolationOfNaiveVariant(&NaiveBaselinesTest::runClaims, "claims a guarantee");
    }
    void testNotRunWithoutReadingRecordIsWrong()
    {
        expectViolationOfNaiveVariant(
            &NaiveBaselinesTest::runUnreadRecord, "\"not run\" after it was executed");
    }

private:
    using Scenario = std::string (NaiveBaselinesTest::*)(Variant);

    void expectViolationOfNaiveVariant(Scenario scenario, const std::string& violation)
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), (this->*scenario)(Variant::Real));
        const std::string text = (this->*scenario)(Variant::Naive);
        CPPUNIT_ASSERT_MESSAGE(
            "expected \"" + violation + "\", got:\n" + text, text.find(violation) != std::string::npos);
    }

    static void settle(TestCluster& cluster)
    {
        cluster.runUntil(
            [&] { return cluster.holderOf("north") && cluster.holderOf("south"); }, Milliseconds(30'000));
        cluster.runFor(Milliseconds(5'000));
    }

    static CallerHandle submit(TestCluster& cluster, const std::string& account, const std::string& key,
        int accelerators, Milliseconds runTime, JobClass jobClass = JobClass::Borrowed)
    {
        JobSpecification job;
        job.account = ClientAccountId(account);
        job.key = key;
        job.zone = AvailabilityZoneId("north");
        job.jobClass = jobClass;
        job.accelerators = accelerators;
        job.declaredRunTime = runTime;
        return cluster.submitJob(cluster.hosts()[2], job);
    }

    // Workers receive a former role holder's commands a second time, late, while a newer attempt of the job
    // runs.
    std::string runStaleCommands(Variant variant)
    {
        TestCluster cluster(TestClusterOptions {});
        settle(cluster);
        std::set<WorkerId> first;
        cluster.duplicateDelay = Milliseconds(90'000);
        cluster.onChannelMessage = [&](const ChannelMessage& channelMessage) {
            const auto* command = std::get_if<SendWorkerCommand>(channelMessage.effect);
            if (channelMessage.leg == Leg::Reply || !command || command->command.attempt != 1
                || command->command.kind == WorkerCommandKind::Release
                || command->command.kind == WorkerCommandKind::Stop)
                return ChannelAction::Deliver;
            first.insert(command->worker);
            return ChannelAction::Duplicate;
        };
        for (const WorkerId& worker : cluster.workersOf("north"))
            cluster.worker(worker).acceptsStaleTokens = variant == Variant::Naive;
        submit(cluster, "mill", "gang", 16, Milliseconds(200'000));
        cluster.runFor(Milliseconds(3'000));
        cluster.kill(cluster.holderOf("north").value());
        cluster.runFor(Milliseconds(7'000));
        // The first attempt ends when its workers die. They restart while the job runs elsewhere.
        for (const WorkerId& worker : first)
            cluster.worker(worker).isDead = true;
        cluster.runFor(Milliseconds(60'000));
        for (const WorkerId& worker : first) {
            cluster.restartWorker(worker);
            cluster.worker(worker).isDead = false;
        }
        cluster.runFor(Milliseconds(60'000));
        return violationText(cluster);
    }

    // The naive daemon treats its request claim as written before it is: the record is written after the
    // call, or never.
    std::string runCopies(Variant variant)
    {
        TestCluster cluster(TestClusterOptions {});
        settle(cluster);
        if (variant == Variant::Naive)
            cluster.substituteReply = [](const Effect& effect) -> std::optional<EventPayload> {
                const auto* transaction = std::get_if<ExecuteTransaction>(&effect);
                if (!transaction || messageName(effect) != "request claim")
                    return {};
                TableReplied replied { transaction->operation, { TableStatus::Ok, {} } };
                for (const TableWrite& write : transaction->transaction.writes)
                    replied.reply.rows.push_back({ write.key, 1, {} });
                return replied;
            };
        cluster.request(cluster.hosts()[0], "mill", "k1", "book");
        cluster.request(cluster.hosts()[2], "mill", "k1", "book");
        cluster.runFor(Milliseconds(10'000));
        return violationText(cluster);
    }

    // Two calls are in flight. The naive daemon assigns answers by order, so that the body of one answer is
    // taken for the answer to the other call.
    std::string runCrossedReplies(Variant variant)
    {
        TestCluster cluster(TestClusterOptions {});
        settle(cluster);
        std::string newest;
        cluster.rewriteReply = [&](const Effect& effect, EventPayload& payload) {
            auto* answer = std::get_if<EndpointAnswered>(&payload);
            if (!answer)
                return;
            const EndpointAnswered own = *answer;
            if (!newest.empty())
                answer->body = newest;
            // The real daemon compares the identity that accompanies the body; the naive one does not.
            if (!newest.empty() && variant == Variant::Real)
                answer->identity.key = "q1";
            if (variant == Variant::Naive)
                answer->identity = std::get<CallEndpoint>(effect).identity;
            newest = own.body;
        };
        cluster.request(cluster.hosts()[0], "mill", "q1", "quote");
        cluster.request(cluster.hosts()[0], "mill", "q2", "quote");
        cluster.runFor(Milliseconds(10'000));
        return violationText(cluster);
    }

    // One worker rejects its command. The naive daemon treats a command as done once it is sent, and starts
    // the other members.
    std::string runRefusedMember(Variant variant)
    {
        TestCluster cluster(TestClusterOptions {});
        settle(cluster);
        std::optional<WorkerId> refusing;
        const auto isOfRefusing = [&](const Effect& effect) {
            const auto* command = std::get_if<SendWorkerCommand>(&effect);
            if (command && !refusing)
                refusing = command->worker;
            return command && command->worker == refusing;
        };
        cluster.substituteReply = [&](const Effect& effect) -> std::optional<EventPayload> {
            if (!isOfRefusing(effect))
                return {};
            const auto& command = std::get<SendWorkerCommand>(effect);
            return WorkerReplied { command.operation, command.worker,
                variant == Variant::Naive ? WorkerCommandResult::Ok : WorkerCommandResult::NoCapacity };
        };
        submit(cluster, "mill", "gang", 16, Milliseconds(10'000));
        cluster.runFor(Milliseconds(10'000));
        return violationText(cluster);
    }

    // An older document is pushed again. Without committed versions it appears to be the newest.
    std::string runOldPush(Variant variant)
    {
        TestCluster cluster(TestClusterOptions {});
        settle(cluster);
        cluster.rewriteEffect = [&](Effect& effect) {
            const auto replacePush = [&](PeerMessage& message) {
                auto* push = std::get_if<ConfigurationPush>(&message);
                if (!push)
                    return;
                push->document = testDocument();
                push->version = variant == Variant::Naive ? push->version + 1 : 1;
            };
            if (auto* single = std::get_if<SendToPeer>(&effect))
                replacePush(single->message);
            if (auto* all = std::get_if<SendToAllPeers>(&effect))
                replacePush(all->message);
        };
        std::string document = testDocument();
        document.replace(document.find("58.0"), 4, "59.0");
        cluster.submitConfiguration(cluster.hosts()[1], document, 1);
        cluster.runFor(Milliseconds(6'000));
        return violationText(cluster);
    }

    // A daemon restarts in a zone that is cut off from the platform, and its peers send the configuration
    // from before the last change.
    std::string runRestartInCutZone(Variant variant)
    {
        TestCluster cluster(TestClusterOptions {});
        settle(cluster);
        std::string document = testDocument();
        document.replace(document.find("58.0"), 4, "59.0");
        cluster.submitConfiguration(cluster.hosts()[1], document, 1);
        cluster.runFor(Milliseconds(4'000));
        const HostId restarted = cluster.hostsOf("north")[0];
        cluster.changesExcusedUntil = cluster.now() + Milliseconds(60'000);
        cluster.zonesCutFromPlatform.insert("north");
        cluster.zonesCutFromPeers.insert("north");
        if (variant == Variant::Naive)
            cluster.rewriteEffect = [](Effect& effect) {
                const auto makeOutdated = [](PeerMessage& message) {
                    if (auto* push = std::get_if<ConfigurationPush>(&message)) {
                        push->version = 1;
                        push->document = testDocument();
                    }
                    if (auto* heartbeat = std::get_if<PeerHeartbeat>(&message))
                        heartbeat->configurationVersion = heartbeat->knownConfigurationVersion = 1;
                };
                if (auto* single = std::get_if<SendToPeer>(&effect))
                    makeOutdated(single->message);
                if (auto* all = std::get_if<SendToAllPeers>(&effect))
                    makeOutdated(all->message);
            };
        cluster.start(restarted);
        cluster.runFor(Milliseconds(20'000));
        return violationText(cluster);
    }

    // The drain does not reach any other daemon in the naive variant, neither by push nor by poll.
    std::string runDrain(Variant variant)
    {
        TestCluster cluster(TestClusterOptions {});
        settle(cluster);
        if (variant == Variant::Naive) {
            cluster.onChannelMessage = [](const ChannelMessage& channelMessage) {
                return messageName(*channelMessage.effect) == "drain push" ? ChannelAction::Drop
                                                                           : ChannelAction::Deliver;
            };
            cluster.rewriteReply = [](const Effect&, EventPayload& payload) {
                auto* replied = std::get_if<TableReplied>(&payload);
                if (replied && replied->operation.module == ModuleId::Membership)
                    std::erase_if(
                        replied->reply.rows, [](const TableRow& row) { return !row.value.empty(); });
            };
        }
        const WorkerId worker = cluster.workersOf("north").front();
        cluster.drain(cluster.hosts()[3], EndpointId("plan@" + worker.value()));
        constexpr int requests = 300;
        for (int index = 0; index < requests; ++index) {
            cluster.request(cluster.hosts()[static_cast<std::size_t>(index) % cluster.hosts().size()], "mill",
                fmt::format("q{}", index), "quote");
            cluster.runFor(Milliseconds(30));
        }
        return violationText(cluster);
    }

    // Monday 08:10, in lesson hours: borrowed work is submitted for the whole zone.
    std::string runLesson(Variant variant)
    {
        TestClusterOptions options;
        constexpr SecondOfWeek mondayTenPastEight = 8 * 60 * 60 + 10 * 60;
        options.localTimeAtStart = mondayTenPastEight;
        if (variant == Variant::Naive)
            options.policies = [] {
                ReducerPolicies policies = defaultPolicies();
                policies.noise = std::make_unique<UnlimitedNoise>();
                return policies;
            };
        TestCluster cluster(options);
        settle(cluster);
        submit(cluster, "mill", "night", 64, Milliseconds(20'000));
        cluster.runFor(Milliseconds(10'000));
        return violationText(cluster);
    }

    // The guarantees fit in the zone only if the smaller one is placed in the smaller rack, which is the
    // second one.
    static std::string tightDocument()
    {
        std::string document = testDocument();
        const auto replace = [&](const std::string& from, const std::string& to) {
            document.replace(document.find(from), from.size(), to);
        };
        replace("58.0", "90.0");
        replace(R"({"id": "n2", "workers": 4})", R"({"id": "n2", "workers": 3})");
        replace(R"("name": "night", "zone": "north", "accelerators": 16)",
            R"("name": "night", "zone": "north", "accelerators": 24)");
        replace(R"("name": "day", "zone": "north", "accelerators": 8)",
            R"("name": "day", "zone": "north", "accelerators": 32)");
        return document;
    }

    // Borrowed work occupies the whole zone; then one claim follows the other.
    std::string runClaims(Variant variant)
    {
        TestClusterOptions options;
        options.document = tightDocument();
        if (variant == Variant::Naive)
            options.policies = [] {
                ReducerPolicies policies = defaultPolicies();
                policies.placement = std::make_unique<FirstFitPlacement>();
                return policies;
            };
        TestCluster cluster(options);
        settle(cluster);
        submit(cluster, "press", "flood-1", 32, Milliseconds(60'000));
        submit(cluster, "press", "flood-2", 24, Milliseconds(60'000));
        cluster.runFor(Milliseconds(3'000));
        submit(cluster, "mill", "claim", 24, Milliseconds(20'000), JobClass::Guaranteed);
        cluster.runFor(Milliseconds(3'000));
        submit(cluster, "press", "claim", 32, Milliseconds(20'000), JobClass::Guaranteed);
        cluster.runFor(Milliseconds(10'000));
        return violationText(cluster);
    }

    // The naive daemon answers "not run" to a second copy of a request, because it does not read the record
    // of the first.
    std::string runUnreadRecord(Variant variant)
    {
        TestCluster cluster(TestClusterOptions {});
        settle(cluster);
        cluster.request(cluster.hosts()[0], "mill", "k1", "book");
        cluster.runFor(Milliseconds(2'000));
        if (variant == Variant::Naive)
            cluster.rewriteEffect = [](Effect& effect) {
                if (auto* answer = std::get_if<AnswerRequest>(&effect))
                    answer->answer.outcome = RequestOutcome::NotRun;
            };
        cluster.request(cluster.hosts()[2], "mill", "k1", "book");
        cluster.runFor(Milliseconds(2'000));
        return violationText(cluster);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NaiveBaselinesTest);

} // namespace anvilmoor::test
