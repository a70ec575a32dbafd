#include "support/batch_cluster.h"
#include "support/seed_range.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <functional>
#include <random>
#include <vector>

namespace anvilmoor::testing {

namespace {

constexpr std::size_t daemonCount = 4;
constexpr int roundsPerSeed = 40;

using Random = std::mt19937_64;
using Disturbance = std::function<void(BatchCluster&, Random&)>;

bool flip(Random& random) { return random() % 2 == 0; }

double shareOrNone(Random& random, double share) { return flip(random) ? share : 0; }

std::size_t anyDaemon(Random& random) { return random() % daemonCount; }

std::size_t anyWorker(const BatchCluster& cluster, Random& random)
{
    return random() % cluster.workerCount();
}

// --- disturbances

void disturbAnswers(BatchCluster& cluster, Random& random)
{
    cluster.disturbances.slowAnswerShare = shareOrNone(random, 0.3);
    cluster.disturbances.lostAnswerShare = shareOrNone(random, 0.1);
    cluster.worker(anyWorker(cluster, random)).behavior.refusalShare = shareOrNone(random, 0.5);
}

void delayOrders(BatchCluster& cluster, Random& random)
{
    constexpr std::array shares { 0.0, 0.2, 0.5, 1.0 };
    cluster.lateOrderShare = shares[random() % shares.size()];
    cluster.disturbances.lateHoldShare = shares[random() % shares.size()];
}

void disturbCommits(BatchCluster& cluster, Random& random)
{
    cluster.lostCommitReplyShare = shareOrNone(random, 0.2);
    cluster.disturbances.lateCommitShare = shareOrNone(random, 0.1);
}

void freezeDaemons(BatchCluster& cluster, Random& random)
{
    cluster.disturbances.freezeShare = shareOrNone(random, 0.02);
    cluster.disturbances.stepFreezeShare = shareOrNone(random, 0.001);
    if (flip(random))
        cluster.freeze(anyDaemon(random), Milliseconds(random() % 4'000));
}

void cutLinks(BatchCluster& cluster, Random& random)
{
    if (random() % 8 == 0) {
        cluster.healLinks();
        return;
    }
    constexpr std::array cuts { LinkCut::Silent, LinkCut::AnswersLost, LinkCut::HeldBack };
    const LinkCut cut = cuts[random() % cuts.size()];
    const std::size_t worker = anyWorker(cluster, random);
    for (std::size_t daemon = 0; daemon < daemonCount; ++daemon) {
        if (random() % 3)
            cluster.cutLink(daemon, worker, cut);
    }
}

void refuseConnections(BatchCluster& cluster, Random& random)
{
    FakeWorker& worker = cluster.worker(anyWorker(cluster, random));
    worker.refusesConnections = !worker.refusesConnections && flip(random);
}

void replaceLeaders(BatchCluster& cluster, Random& random)
{
    const std::size_t daemon = cluster.leader().value_or(anyDaemon(random));
    switch (random() % 8) {
    case 0:
        if (cluster.isRunning(daemon))
            cluster.kill(daemon);
        break;
    case 1:
        if (cluster.isRunning(daemon))
            cluster.terminate(daemon);
        break;
    case 2:
        cluster.cutFromStore.insert(daemon);
        break;
    case 3:
        cluster.cutFromStore.clear();
        break;
    case 4:
        cluster.isStoreDown = !cluster.isStoreDown;
        break;
    default:
        break;
    }
    for (std::size_t each = 0; each < daemonCount; ++each) {
        if (!cluster.isRunning(each) && random() % 3 == 0)
            cluster.restart(each);
    }
}

// Replaces the leader at once on its own host, or leaves its host without a daemon for a while.
void killLeader(BatchCluster& cluster, Random& random)
{
    for (std::size_t each = 0; each < daemonCount; ++each) {
        if (!cluster.isRunning(each) && flip(random))
            cluster.restart(each);
    }
    const auto leader = cluster.leader();
    if (!leader || random() % 3 == 0)
        return;
    if (random() % 4 == 0) {
        cluster.terminate(*leader);
        return;
    }
    cluster.kill(*leader);
    if (flip(random))
        cluster.restart(*leader);
}

void failRuns(BatchCluster& cluster, Random& random)
{
    FakeWorker& worker = cluster.worker(anyWorker(cluster, random));
    worker.isFailing = !worker.isFailing && random() % 4 == 0;
}

void restartWorkers(BatchCluster& cluster, Random& random)
{
    if (random() % 3 == 0)
        cluster.worker(anyWorker(cluster, random)).restart();
}

void disturbRegistry(BatchCluster& cluster, Random& random)
{
    const std::size_t index = anyWorker(cluster, random);
    FakeWorker& worker = cluster.worker(index);
    switch (random() % 8) {
    case 0:
    case 1:
        worker.isCutFromStore = worker.isReachable && !worker.isCutFromStore;
        break;
    case 2:
        cluster.dropRegistryHistory();
        break;
    case 3:
    case 4:
        // Its runs go on until it is removed, as those of a worker that leaves before the announced time.
        worker.drain(Milliseconds(60'000));
        break;
    case 5:
        if (worker.record.isDraining && worker.isReachable)
            cluster.removeWorker(index);
        break;
    default:
        if (worker.isReachable)
            break;
        worker.restart();
        worker.record.isDraining = false;
        worker.isReachable = true;
        worker.isCutFromStore = false;
    }
}

void clearDisturbances(BatchCluster& cluster)
{
    cluster.disturbances = {};
    cluster.lostCommitReplyShare = 0;
    cluster.lateOrderShare = 0;
    cluster.cutFromStore.clear();
    cluster.isStoreDown = false;
    cluster.healLinks();
    for (std::size_t i = 0; i < cluster.workerCount(); ++i) {
        FakeWorker& worker = cluster.worker(i);
        if (!worker.isReachable)
            worker.restart();
        worker.isReachable = true;
        worker.isCutFromStore = false;
        worker.isFailing = false;
        worker.refusesConnections = false;
        worker.record.isDraining = false;
        worker.behavior.refusalShare = 0;
    }
    for (std::size_t i = 0; i < daemonCount; ++i) {
        if (!cluster.isRunning(i))
            cluster.restart(i);
    }
}

// --- callers

void submitRandomJob(BatchCluster& cluster, Random& random, std::vector<JobId>& jobs)
{
    const std::size_t daemon = anyDaemon(random);
    if (!cluster.isRunning(daemon))
        return;
    // Some runs outlive the leases of a worker that is out of reach.
    const Milliseconds duration(100 + random() % (random() % 4 ? 3'000 : 15'000));
    batch::StepSpecification second = makeStep(2, 1, duration);
    second.dependsOn = { 0 };
    switch (random() % 5) {
    case 0:
        jobs.push_back(cluster.submit(daemon, "urgent", { makeGang(2, 4, true, duration) }));
        return;
    case 1:
        jobs.push_back(cluster.submit(daemon, "gang", { makeGang(3, 8, false, duration), second }));
        return;
    case 2:
        jobs.push_back(cluster.submit(daemon, "urgent", { makeStep(3, 8, duration) }));
        return;
    case 3:
        jobs.push_back(cluster.submit(daemon, "small", { makeStep(4, 1, duration), second }));
        return;
    default:
        jobs.push_back(cluster.submit(daemon, "small", { makeStep(12, 1, duration) }));
    }
}

void cancelRandomJob(BatchCluster& cluster, Random& random, const std::vector<JobId>& jobs)
{
    const std::size_t daemon = anyDaemon(random);
    if (!jobs.empty() && cluster.isRunning(daemon) && random() % 6 == 0)
        cluster.cancel(daemon, "small", jobs[random() % jobs.size()]);
}

void drawWorkerBehavior(BatchCluster& cluster, Random& random, bool refusesOtherLifetimes)
{
    const Milliseconds maxStopTime(flip(random) ? 200 : 900);
    for (std::size_t i = 0; i < cluster.workerCount(); ++i) {
        WorkerBehavior& behavior = cluster.worker(i).behavior;
        behavior.maxStopTime = maxStopTime;
        behavior.maxLease = Milliseconds(6'000);
        behavior.clockPermille = static_cast<int>(980 + random() % 21);
        behavior.refusesOtherLifetimes = refusesOtherLifetimes;
    }
}

} // namespace

// Searches random disturbances, as hostile as the platform may be, for violated guarantees.
// Run many seeds by hand with: HOSTILE_SEEDS=1-500 batch_hostile_platform_test [FIXTURE::CASE]
class BatchHostilePlatformTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchHostilePlatformTest);
    CPPUNIT_TEST(testRunsWhoseEndsExceedOneAnswerAreNotRepeated);
    CPPUNIT_TEST(testWorkerWhoseTrialRunWasWithdrawnGetsAnotherTrial);
    CPPUNIT_TEST(testHoldForEarlierLifetimeAcknowledgesNoEndOfNextOne);
    CPPUNIT_TEST(testLeaderWhoseReleaseIsUnansweredExtendsNoLease);
    CPPUNIT_TEST(testDisturbedAnswersViolateNoGuarantee);
    CPPUNIT_TEST(testLateOrdersViolateNoGuarantee);
    CPPUNIT_TEST(testDisturbedCommitsViolateNoGuarantee);
    CPPUNIT_TEST(testFrozenDaemonsViolateNoGuarantee);
    CPPUNIT_TEST(testCutLinksViolateNoGuarantee);
    CPPUNIT_TEST(testRefusedConnectionsViolateNoGuarantee);
    CPPUNIT_TEST(testReplacedLeadersViolateNoGuarantee);
    CPPUNIT_TEST(testRegistryChangesViolateNoGuarantee);
    CPPUNIT_TEST(testRestartedWorkersViolateNoGuarantee);
    CPPUNIT_TEST(testWorkersRestartedUnderSameInstanceNameViolateNoGuarantee);
    CPPUNIT_TEST(testCombinedDisturbancesViolateNoGuarantee);
    CPPUNIT_TEST(testShortLeadershipsAndSilentWorkersViolateNoGuarantee);
    CPPUNIT_TEST(testShortLeadershipsAndRestartedWorkersViolateNoGuarantee);
    CPPUNIT_TEST(testLeasesOfLeaderWhoseLeaseRowWasOverwrittenAreWaitedFor);
    CPPUNIT_TEST(testLateOrdersToWorkersRestartedUnderSameInstanceNameViolateNoGuarantee);
    CPPUNIT_TEST(testLateHoldsOfWorkersRestartedUnderSameInstanceNameViolateNoGuarantee);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against starting a run again whose end was only missing from an incomplete list of ends.
    void testRunsWhoseEndsExceedOneAnswerAreNotRepeated()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 1);
        cluster.run(Milliseconds(500));
        batch::StepSpecification step = makeStep(700, 0, Milliseconds(3'000));
        step.perTask = { 100, 100, 0 };
        const JobId job = cluster.submit(0, "small", { step });
        const bool hasEnded = cluster.runUntil(
            [&] { return cluster.stateOf(job) == JobState::Completed; }, Milliseconds(20'000));
        CPPUNIT_ASSERT(hasEnded);
        cluster.run(Milliseconds(1'000));
        if (!cluster.violations().empty())
            CPPUNIT_FAIL(cluster.violations().front());
        CPPUNIT_ASSERT_EQUAL(700, cluster.startsOf(job));
    }

    // Guards against a worker that stays on trial, and without work, after its trial run was withdrawn.
    void testWorkerWhoseTrialRunWasWithdrawnGetsAnotherTrial()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 1);
        cluster.run(Milliseconds(500));
        cluster.worker(0).isFailing = true;
        const JobId failing = cluster.submit(0, "small", { makeStep(4, 1) });
        cluster.run(Milliseconds(100));
        cluster.cancel(0, "small", failing);
        cluster.worker(0).isFailing = false;
        // The suspension lasts 6 s. The trial run still waits for its commit when its job is cancelled.
        cluster.run(Milliseconds(5'900));
        const JobId withdrawn = cluster.submit(0, "small", { makeStep(1, 1) });
        cluster.run(Milliseconds(30));
        cluster.commitDelay = Milliseconds(400);
        cluster.run(Milliseconds(170));
        cluster.commitDelay = Milliseconds(0);
        cluster.cancel(0, "small", withdrawn);
        cluster.run(Milliseconds(1'000));
        CPPUNIT_ASSERT_EQUAL(0, cluster.startsOf(withdrawn));
        const JobId job = cluster.submit(0, "small", { makeStep(1, 1) });
        CPPUNIT_ASSERT(cluster.runUntil(
            [&] { return cluster.stateOf(job) == JobState::Completed; }, Milliseconds(60'000)));
    }

    // Guards against acknowledging ends that were never read, by a hold request for an earlier lifetime.
    void testHoldForEarlierLifetimeAcknowledgesNoEndOfNextOne()
    {
        BatchCluster cluster(1);
        cluster.addWorkers(1, 1);
        FakeWorker& worker = cluster.worker(0);
        worker.behavior.refusesOtherLifetimes = false;
        cluster.keepRegistryRows();
        cluster.run(Milliseconds(2'500));
        const JobId before = cluster.submit(0, "small", { makeStep(5, 1, Milliseconds(100)) });
        CPPUNIT_ASSERT(cluster.runUntil(
            [&] { return cluster.stateOf(before) == JobState::Completed; }, Milliseconds(5'000)));
        cluster.run(Milliseconds(500));
        // The new lifetime gets the order for the earlier one late, and ends the run before the next hold.
        worker.isCutFromStore = true;
        worker.restart();
        cluster.cutLink(0, 0, LinkCut::HeldBack);
        cluster.submit(0, "small", { makeStep(1, 1, Milliseconds(20)) });
        cluster.run(Milliseconds(1'150));
        cluster.healLinks();
        cluster.run(Milliseconds(1'000));
        CPPUNIT_ASSERT_EQUAL(0, worker.acknowledgedUnread);
    }

    // Guards against two runs of a task if a leader extends leases after it has released the leadership.
    void testLeaderWhoseReleaseIsUnansweredExtendsNoLease()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            BatchCluster cluster(2, seed);
            cluster.addWorkers(1, 2);
            for (std::size_t i = 0; i < cluster.workerCount(); ++i)
                cluster.worker(i).behavior.maxLease = Milliseconds(6'000);
            cluster.run(Milliseconds(2'000));
            cluster.submit(0, "small", { makeStep(1, 1, Milliseconds(30'000)) });
            cluster.run(Milliseconds(1'500) + seed * Milliseconds(17));
            const std::size_t worker = cluster.worker(0).runs().empty() ? 1 : 0;
            const std::size_t leader = cluster.leader().value();
            // Only the old leader reaches the worker of the run.
            cluster.cutLink(1 - leader, worker, LinkCut::Silent);
            cluster.lostCommitReplyShare = 1;
            cluster.terminate(leader);
            cluster.run(Milliseconds(30));
            cluster.lostCommitReplyShare = 0;
            cluster.run(Milliseconds(12'000));
            if (!cluster.violations().empty())
                CPPUNIT_FAIL(fmt::format("seed {}: {}", seed, cluster.violations().front()));
        }
    }

    void testDisturbedAnswersViolateNoGuarantee() { search({ disturbAnswers }); }
    void testLateOrdersViolateNoGuarantee() { search({ disturbAnswers, delayOrders }); }
    void testDisturbedCommitsViolateNoGuarantee()
    {
        search({ disturbCommits, disturbAnswers, replaceLeaders });
    }
    void testFrozenDaemonsViolateNoGuarantee() { search({ freezeDaemons, disturbAnswers }); }
    void testCutLinksViolateNoGuarantee() { search({ cutLinks }); }
    void testRefusedConnectionsViolateNoGuarantee()
    {
        search({ refuseConnections, disturbAnswers, delayOrders, replaceLeaders });
    }
    void testReplacedLeadersViolateNoGuarantee() { search({ replaceLeaders, disturbAnswers, cutLinks }); }
    void testRegistryChangesViolateNoGuarantee() { search({ disturbRegistry, disturbAnswers }); }
    void testRestartedWorkersViolateNoGuarantee() { search({ restartWorkers, disturbAnswers }); }

    void testWorkersRestartedUnderSameInstanceNameViolateNoGuarantee()
    {
        m_refusesOtherLifetimes = false;
        search({ restartWorkers, disturbAnswers });
    }

    void testCombinedDisturbancesViolateNoGuarantee()
    {
        search({ disturbAnswers, delayOrders, disturbCommits, freezeDaemons, cutLinks, replaceLeaders,
            disturbRegistry, restartWorkers });
    }

    void testShortLeadershipsAndSilentWorkersViolateNoGuarantee()
    {
        search({ disturbAnswers, delayOrders, disturbCommits, cutLinks, cutLinks, cutLinks, cutLinks,
            killLeader });
    }

    void testShortLeadershipsAndRestartedWorkersViolateNoGuarantee()
    {
        search({ delayOrders, disturbCommits, freezeDaemons, cutLinks, cutLinks, killLeader, disturbRegistry,
            restartWorkers });
    }

    // Guards against repeating a run while an earlier leader, cut off from the store, still renews its lease.
    void testLeasesOfLeaderWhoseLeaseRowWasOverwrittenAreWaitedFor()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            BatchCluster cluster(2, seed);
            cluster.addWorkers(1, 2);
            for (std::size_t i = 0; i < cluster.workerCount(); ++i)
                cluster.worker(i).behavior.maxLease = Milliseconds(6'000);
            cluster.run(Milliseconds(2'000));
            cluster.submit(0, "small", { makeStep(1, 1, Milliseconds(30'000)) });
            cluster.run(Milliseconds(1'500) + seed * Milliseconds(17));
            const std::size_t worker = cluster.worker(0).runs().empty() ? 1 : 0;
            const std::size_t leader = cluster.leader().value();
            cluster.cutLink(1 - leader, worker, LinkCut::Silent);
            cluster.corruptLease();
            cluster.cutFromStore.insert(leader);
            cluster.run(Milliseconds(14'000));
            if (!cluster.violations().empty())
                CPPUNIT_FAIL(fmt::format("seed {}: {}", seed, cluster.violations().front()));
        }
    }

    void testLateOrdersToWorkersRestartedUnderSameInstanceNameViolateNoGuarantee()
    {
        m_refusesOtherLifetimes = false;
        search({ restartWorkers, delayOrders });
    }

    void testLateHoldsOfWorkersRestartedUnderSameInstanceNameViolateNoGuarantee()
    {
        m_refusesOtherLifetimes = false;
        search({ restartWorkers, [](BatchCluster& cluster, Random& random) {
                    cluster.disturbances.lateHoldShare = flip(random) ? 0.3 : 1.0;
                } });
    }

private:
    void search(const std::vector<Disturbance>& disturbances) const
    {
        const SeedRange seeds = seedsOr("HOSTILE_SEEDS", { 1, 8 });
        std::vector<std::string> findings;
        for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
            if (const auto finding = play(seed, disturbances))
                findings.push_back(fmt::format("seed {}: {}", seed, *finding));
        }
        if (!findings.empty())
            CPPUNIT_FAIL(fmt::format("{} of {} seeds:\n{}", findings.size(), seeds.last - seeds.first + 1,
                fmt::join(findings, "\n")));
    }

    // Returns the first violation.
    std::optional<std::string> play(std::uint64_t seed, const std::vector<Disturbance>& disturbances) const
    {
        BatchCluster cluster(daemonCount, seed);
        Random random(seed * 977);
        cluster.addWorkers(3, 3);
        drawWorkerBehavior(cluster, random, m_refusesOtherLifetimes);
        cluster.keepRegistryRows();
        // Clock readings of a worker without runs age.
        cluster.run(Milliseconds(random() % 4 ? 1'500 : 120'000));
        std::vector<JobId> jobs;
        for (int round = 0; round < roundsPerSeed; ++round) {
            for (std::size_t count = 1 + random() % 3; count; --count)
                disturbances[random() % disturbances.size()](cluster, random);
            failRuns(cluster, random);
            submitRandomJob(cluster, random, jobs);
            cancelRandomJob(cluster, random, jobs);
            // Some disturbances outlast a lease.
            cluster.run(Milliseconds(100 + random() % (random() % 6 ? 500 : 8'000)));
        }
        clearDisturbances(cluster);
        for (const JobId& job : jobs) {
            const auto answer = cluster.answerTo(job);
            if (!answer || answer->kind != AnswerKind::Accepted)
                continue;
            if (!cluster.runUntil(
                    [&] { return batch::isTerminal(cluster.stateOf(job)); }, Milliseconds(120'000)))
                return fmt::format("job {} has not ended", job.value());
        }
        // Orders that are carried out late may still arrive.
        cluster.run(Milliseconds(13'000));
        if (cluster.violations().empty())
            return std::nullopt;
        return cluster.violations().front();
    }

    bool m_refusesOtherLifetimes = true;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchHostilePlatformTest);

} // namespace anvilmoor::testing
