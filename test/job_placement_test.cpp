#include "jobs/job_codec.h"
#include "support/test_cluster.h"
#include "support/test_document.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

namespace anvilmoor::test {

namespace {

constexpr Milliseconds second { 1'000 };
constexpr Milliseconds reclaimBound { 1'600 };
constexpr SecondOfWeek mondayLesson = 10 * 60 * 60; // Monday 10:00

} // namespace

// Runs complete reducers with GuaranteeAwarePlacement(LeastLostWorkReclaim) and SoundPowerNoise. The zone
// "north" has 64 accelerators on 8 workers, of which 58 may be active during a lesson.
class JobPlacementTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobPlacementTest);
    CPPUNIT_TEST(testClaimInLessonHoursThrottlesBorrowedWork);
    CPPUNIT_TEST(testEvictingClaimInLessonHoursIsWithinTheBound);
    CPPUNIT_TEST(testLessonBeginsWithinTheLimitWhenWorkersDoNotAnswer);
    CPPUNIT_TEST(testClaimInLessonEvictsWorkThatIsNotThrottledInTime);
    CPPUNIT_TEST(testGangWithDeadWorkerLeavesForTwoClaims);
    CPPUNIT_TEST(testEvictedJobThatRunsElsewhereDoesNotHoldUpTheClaim);
    CPPUNIT_TEST(testClaimThatMeetsAFailingWorkerRunsElsewhereWithinBound);
    CPPUNIT_TEST(testRecoveredWorkDoesNotCountAsOvertakingAWaitingGang);
    CPPUNIT_TEST(testClaimWithDeadWorkerIsPlacedAnew);
    CPPUNIT_TEST(testClaimInFullFleetRunsWithinTheBoundFromEveryDaemon);
    CPPUNIT_TEST(testClaimsOfSeveralAccountsAtOnceRunWithinTheBound);
    CPPUNIT_TEST(testClaimRunsWithinTheBoundWhenItsNoticesAreLost);
    CPPUNIT_TEST(testEveryDaemonTellsWhyAJobWaits);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a claim that waits until the lesson or the borrowed work ends instead of having the
    // borrowed work throttled.
    void testClaimInLessonHoursThrottlesBorrowedWork()
    {
        TestCluster cluster(lessonOptions());
        waitForHolders(cluster);
        submit(cluster, "mill", "b", 56);
        cluster.runFor(3 * second);
        const CallerHandle claim = submit(cluster, "press", "c", 8, JobClass::Guaranteed);
        assertRunsWithin(cluster, claim, reclaimBound);
        cluster.runFor(5 * second); // the noise plan must not lift the throttle again
        assertNoViolations(cluster);
    }

    // Guards against a claim that evicts work to free its accelerators and then has to wait because the
    // remaining work is too loud.
    void testEvictingClaimInLessonHoursIsWithinTheBound()
    {
        TestCluster cluster(lessonOptions());
        waitForHolders(cluster);
        for (int i = 0; i < 7; ++i)
            submit(cluster, "mill", fmt::format("b{}", i), 8);
        cluster.runFor(3 * second);
        const CallerHandle claim = submit(cluster, "mill", "c", 16, JobClass::Guaranteed);
        const CallerHandle other = submit(cluster, "press", "c", 8, JobClass::Guaranteed);
        assertRunsWithin(cluster, claim, reclaimBound);
        assertRunsWithin(cluster, other, reclaimBound);
        cluster.runFor(5 * second);
        assertNoViolations(cluster);
    }

    // Guards against a lesson that begins above the noise limit because workers did not receive their
    // throttle commands, or no command at all. In the second case their leases must expire before the lesson.
    void testLessonBeginsWithinTheLimitWhenWorkersDoNotAnswer()
    {
        // With a noise lead of 30 s, trials 21 and 22 exceeded the limit for 0.5 s.
        for (const int trial : { 0, 1, 21, 22 }) {
            const bool isEveryCommandLost = trial > 0;
            TestClusterOptions options;
            options.seed = 1 + trial;
            options.localTimeAtStart = 8 * 60 * 60 - 120; // Monday 07:58
            TestCluster cluster(options);
            waitForHolders(cluster);
            for (int i = 0; i < 4; ++i)
                submit(cluster, "mill", fmt::format("b{}", i), 16);
            cluster.runFor(10 * second + Milliseconds(400) * trial);
            cluster.onChannelMessage = [&](const ChannelMessage& channelMessage) {
                const auto* sent = std::get_if<SendWorkerCommand>(channelMessage.effect);
                const bool isLost = sent && channelMessage.leg == Leg::Outgoing
                    && (isEveryCommandLost || sent->command.kind == WorkerCommandKind::Throttle);
                return isLost ? ChannelAction::Drop : ChannelAction::Deliver;
            };
            cluster.runFor(140 * second);
            assertNoViolations(cluster);
        }
    }

    // Guards against a claim that waits during a lesson for a throttle that never takes effect.
    void testClaimInLessonEvictsWorkThatIsNotThrottledInTime()
    {
        TestCluster cluster(lessonOptions());
        waitForHolders(cluster);
        for (int i = 0; i < 7; ++i)
            submit(cluster, "mill", fmt::format("b{}", i), 8);
        cluster.runFor(3 * second);
        cluster.onChannelMessage = [](const ChannelMessage& channelMessage) {
            const auto* sent = std::get_if<SendWorkerCommand>(channelMessage.effect);
            const bool isLost = sent && channelMessage.leg == Leg::Outgoing
                && sent->command.kind == WorkerCommandKind::Throttle;
            return isLost ? ChannelAction::Drop : ChannelAction::Deliver;
        };
        const CallerHandle claim = submit(cluster, "press", "c", 8, JobClass::Guaranteed);
        assertRunsWithin(cluster, claim, reclaimBound);
        cluster.runFor(5 * second);
        assertNoViolations(cluster);
    }

    // Guards against claims that wait for each other, or for the lease of a dead worker, when the gang that
    // holds their accelerators cannot stop completely because one of its workers is dead.
    void testGangWithDeadWorkerLeavesForTwoClaims()
    {
        TestCluster cluster({});
        waitForHolders(cluster);
        submit(cluster, "press", "b", 64);
        cluster.runFor(3 * second);
        const WorkerId dead = cluster.workersOf("north").front();
        cluster.worker(dead).isDead = true;
        const CallerHandle first = submit(cluster, "mill", "c", 16, JobClass::Guaranteed);
        const CallerHandle other = submit(cluster, "press", "d", 8, JobClass::Guaranteed);
        // One of them may have been placed on the dead worker first.
        for (const CallerHandle claim : { first, other })
            assertRunsWithin(cluster, claim, 4 * second);
        cluster.runFor(60 * second);
        assertNoViolations(cluster);
    }

    // Guards against a delay before a claim's next attempt, and against a retry on the same worker: a worker
    // on which every task fails has free accelerators, which attracts claims.
    void testClaimThatMeetsAFailingWorkerRunsElsewhereWithinBound()
    {
        TestCluster cluster({});
        waitForHolders(cluster);
        for (int i = 0; i < 8; ++i)
            submit(cluster, "press", fmt::format("b{}", i), 8);
        cluster.runFor(3 * second);
        const JobId first = jobIdOf("press", "b0");
        for (const WorkerId& worker : cluster.workersOf("north")) {
            for (const auto& [key, task] : cluster.worker(worker).tasks())
                cluster.worker(worker).failsEverything |= key.first == first;
        }
        cluster.cancelJob(cluster.hosts()[0], first);
        cluster.runFor(second);
        const CallerHandle claim = submit(cluster, "mill", "c", 16, JobClass::Guaranteed);
        assertRunsWithin(cluster, claim, Milliseconds(1'600));
        CPPUNIT_ASSERT(cluster.countEvents("job.requeued") > 0);
        assertNoViolations(cluster);
    }

    // Guards against a claim that keeps waiting for an evicted job that has released the claimed accelerators
    // and holds others by now.
    void testEvictedJobThatRunsElsewhereDoesNotHoldUpTheClaim()
    {
        TestCluster cluster({});
        waitForHolders(cluster);
        for (int i = 0; i < 8; ++i)
            submit(cluster, "press", fmt::format("b{}", i), 8);
        cluster.runFor(3 * second);
        std::set<JobId> asked;
        cluster.onChannelMessage = [&](const ChannelMessage& channelMessage) {
            const auto* command = std::get_if<SendWorkerCommand>(channelMessage.effect);
            if (channelMessage.leg != Leg::Outgoing || !command)
                return ChannelAction::Deliver;
            const bool isLeave = command->command.kind == WorkerCommandKind::Checkpoint
                || command->command.kind == WorkerCommandKind::Stop;
            if (!isLeave)
                return ChannelAction::Deliver;
            asked.insert(command->command.job);
            // The second evicted job stops later than the first.
            return asked.size() > 1 && command->command.job != *m_firstVictim ? ChannelAction::Delay
                                                                              : recordFirstVictim(command);
        };
        // The delayed stop is a fault, so the cluster's own check counts its bound from the end of the fault;
        // this test checks a bound of its own.
        cluster.claimsExcusedUntil = cluster.now() + Milliseconds(4'400);
        const CallerHandle claim = submit(cluster, "mill", "c", 16, JobClass::Guaranteed);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return asked.size() >= 2; }, 2 * second));
        // Another borrowed job ends, so that the first evicted job can run there.
        for (int i = 0; i < 8; ++i) {
            const JobId job = jobIdOf("press", fmt::format("b{}", i));
            if (asked.contains(job))
                continue;
            cluster.cancelJob(cluster.hosts()[0], job);
            break;
        }
        CPPUNIT_ASSERT(
            cluster.runUntil([&] { return running(cluster, *m_firstVictim) == 8; }, Milliseconds(3'000)));
        assertRunsWithin(cluster, claim, Milliseconds(6'000));
        m_firstVictim.reset();
        assertNoViolations(cluster);
    }

    // Guards against a takeover after which a waiting gang evicts work that had started long before the gang
    // was submitted.
    void testRecoveredWorkDoesNotCountAsOvertakingAWaitingGang()
    {
        TestCluster cluster({});
        waitForHolders(cluster);
        for (int i = 0; i < 8; ++i)
            submit(cluster, "press", fmt::format("b{}", i), 8);
        cluster.runFor(3 * second);
        submit(cluster, "press", "gang", 32);
        cluster.runFor(3 * second);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), cluster.countEvents("job.evicting"));
        cluster.kill(cluster.holderOf("north").value());
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.holderOf("north").has_value(); }, 10 * second));
        cluster.runFor(90 * second); // longer than a gang waits before it may evict work that overtook it
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), cluster.countEvents("job.evicting"));
        assertNoViolations(cluster);
    }

    // Guards against a pending claim that keeps its workers when one of them dies.
    void testClaimWithDeadWorkerIsPlacedAnew()
    {
        TestCluster cluster({});
        waitForHolders(cluster);
        for (int i = 0; i < 8; ++i)
            submit(cluster, "press", fmt::format("b{}", i), 8);
        cluster.runFor(3 * second);
        const CallerHandle claim = submit(cluster, "mill", "c", 16, JobClass::Guaranteed);
        CPPUNIT_ASSERT(
            cluster.runUntil([&] { return cluster.countEvents("job.evicting") == 2; }, 2 * second));
        cluster.runFor(Milliseconds(100));
        for (const WorkerId& worker : cluster.workersOf("north")) {
            if (cluster.worker(worker).accelerators(TaskPhase::Checkpointing)) {
                cluster.worker(worker).isDead = true;
                break;
            }
        }
        assertRunsWithin(cluster, claim, Milliseconds(5'000));
    }

    // Guards against a claim that waits for a poll, a tick or a report, no matter which daemon accepted it.
    void testClaimInFullFleetRunsWithinTheBoundFromEveryDaemon()
    {
        for (const ServiceMode objects : { ServiceMode::Up, ServiceMode::Down }) {
            for (std::size_t host = 0; host < 4; ++host) {
                TestCluster cluster({ .seed = 7 + host });
                cluster.objectMode = objects;
                fillNorthZone(cluster);
                const CallerHandle claim = submit(cluster, "mill", "c", 16, JobClass::Guaranteed, host);
                assertRunsWithin(
                    cluster, claim, objects == ServiceMode::Up ? reclaimBound : Milliseconds(500));
                assertNoViolations(cluster);
            }
        }
    }

    // Guards against simultaneous claims that delay each other.
    void testClaimsOfSeveralAccountsAtOnceRunWithinTheBound()
    {
        for (const ServiceMode objects : { ServiceMode::Up, ServiceMode::Down }) {
            TestCluster cluster({});
            cluster.objectMode = objects;
            fillNorthZone(cluster);
            const TimePoint begin = cluster.now();
            const CallerHandle mill = submit(cluster, "mill", "c", 16, JobClass::Guaranteed, 2);
            const CallerHandle press = submit(cluster, "press", "c", 8, JobClass::Guaranteed, 1);
            assertRunsWithin(cluster, mill, reclaimBound);
            assertRunsWithin(cluster, press, begin + reclaimBound - cluster.now());
            assertNoViolations(cluster);
        }
    }

    // Guards against a claim that starts too late because it is found only by the next poll.
    void testClaimRunsWithinTheBoundWhenItsNoticesAreLost()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            TestCluster cluster({ .seed = seed });
            fillNorthZone(cluster);
            cluster.runFor(Milliseconds(260 * static_cast<std::int64_t>(seed)));
            cluster.onChannelMessage = [](const ChannelMessage& channelMessage) {
                const auto* sent = std::get_if<SendToPeer>(channelMessage.effect);
                return sent && std::holds_alternative<JobNotice>(sent->message) ? ChannelAction::Drop
                                                                                : ChannelAction::Deliver;
            };
            const CallerHandle claim = submit(cluster, "mill", "c", 16, JobClass::Guaranteed, 2);
            assertRunsWithin(cluster, claim, reclaimBound);
            assertNoViolations(cluster);
        }
    }

    // Guards against a wait reason that only the holder can report, and against rows that are rewritten all
    // the time to store it.
    void testEveryDaemonTellsWhyAJobWaits()
    {
        TestCluster cluster({});
        fillNorthZone(cluster);
        const CallerHandle waiting = submit(cluster, "press", "waiting", 32);
        cluster.runFor(8 * second);
        const JobId job = cluster.jobOf(waiting)->specification.id;
        std::size_t writes = 0;
        cluster.onChannelMessage = [&](const ChannelMessage& channelMessage) {
            const auto* sent = std::get_if<ExecuteTransaction>(channelMessage.effect);
            for (const TableWrite& write : sent ? sent->transaction.writes : std::vector<TableWrite>())
                writes += channelMessage.leg == Leg::Outgoing && write.key == jobRowKey(job) ? 1 : 0;
            return ChannelAction::Deliver;
        };
        for (const HostId& host : cluster.hosts()) {
            const CallerHandle query = cluster.queryJob(host, job);
            cluster.runFor(second);
            CPPUNIT_ASSERT(!cluster.jobOf(query)->reason.empty());
        }
        cluster.runFor(30 * second);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), writes);
        assertNoViolations(cluster);
    }

private:
    static void fillNorthZone(TestCluster& cluster)
    {
        waitForHolders(cluster);
        for (int i = 0; i < 8; ++i)
            submit(cluster, "press", fmt::format("b{}", i), 8);
        cluster.runFor(3 * second);
    }

    ChannelAction recordFirstVictim(const SendWorkerCommand* command)
    {
        m_firstVictim = m_firstVictim.value_or(command->command.job);
        return ChannelAction::Deliver;
    }

    static TestClusterOptions lessonOptions()
    {
        TestClusterOptions options;
        options.localTimeAtStart = mondayLesson;
        return options;
    }

    static void waitForHolders(TestCluster& cluster)
    {
        CPPUNIT_ASSERT(cluster.runUntil(
            [&] { return cluster.holderOf("north") && cluster.holderOf("south"); }, 30 * second));
        cluster.runFor(5 * second);
    }

    static CallerHandle submit(TestCluster& cluster, const std::string& account, const std::string& key,
        int accelerators, JobClass jobClass = JobClass::Borrowed, std::size_t host = 0)
    {
        JobSpecification job;
        job.account = ClientAccountId(account);
        job.key = key;
        job.zone = AvailabilityZoneId("north");
        job.jobClass = jobClass;
        job.accelerators = accelerators;
        job.adjacent = accelerators <= 32;
        job.declaredRunTime = 300 * second;
        return cluster.submitJob(cluster.hosts()[host], job);
    }

    static JobId jobIdOf(const std::string& account, const std::string& key)
    {
        return jobIdFor(AvailabilityZoneId("north"), ClientAccountId(account), key);
    }

    static int running(TestCluster& cluster, const JobId& job)
    {
        int sum = 0;
        for (const WorkerId& worker : cluster.workersOf("north")) {
            for (const auto& [key, task] : cluster.worker(worker).tasks())
                sum += key.first == job && task.phase == TaskPhase::Running ? task.accelerators : 0;
        }
        return sum;
    }

    // The bound counts from the time at which the caller learned that the job was accepted.
    static void assertRunsWithin(TestCluster& cluster, CallerHandle claim, Milliseconds bound)
    {
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.jobOf(claim).has_value(); }, 2 * second));
        const JobSpecification job = cluster.jobOf(claim)->specification;
        const bool isRunning
            = cluster.runUntil([&] { return running(cluster, job.id) == job.accelerators; }, bound);
        std::string events
            = job.id.value() + " is not running on all its accelerators within the bound; recent events:\n";
        for (const std::string& line : cluster.recentEvents(30))
            events += line + "\n";
        CPPUNIT_ASSERT_MESSAGE(events, isRunning);
    }

    static void assertNoViolations(const TestCluster& cluster)
    {
        std::string text;
        for (const std::string& violation : cluster.violations())
            text += violation + "\n";
        CPPUNIT_ASSERT_EQUAL(std::string(), text);
    }

    std::optional<JobId> m_firstVictim; // the job that was asked to leave first
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobPlacementTest);

} // namespace anvilmoor::test
