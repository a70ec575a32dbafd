#include "support/batch_cluster.h"
#include "support/idle_job_watch.h"
#include "support/job_traffic.h"
#include "support/seed_range.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace anvilmoor::testing {

namespace {

using Random = std::mt19937_64;

constexpr std::size_t daemonCount = 3;
constexpr int racks = 6;
constexpr int workersPerRack = 8;
constexpr Milliseconds slice { 50 };
constexpr Milliseconds warmUp { 2'000 };
constexpr Milliseconds trafficTime { 41'000 };
constexpr Milliseconds maxTimeAfterTraffic { 120'000 };
// After a disturbance, jobs are not judged until a new leader has had time to load.
constexpr Milliseconds recoveryTime { 3'000 };

// One play of the traffic.
struct Play {
    explicit Play(std::uint64_t seed, double load)
        : cluster(static_cast<int>(daemonCount), seed)
        , traffic(cluster, seed, load, racks, workersPerRack)
        , watch(cluster)
        , random(seed * 977)
    {
    }

    // Jobs are not judged now and for the time of a recovery.
    void disturb() { judgedFrom = cluster.now() + recoveryTime; }

    BatchCluster cluster;
    JobTraffic traffic;
    IdleJobWatch watch;
    Random random;
    TimePoint judgedFrom {};
};

// Called once per slice, with the time since the traffic began.
using Disturbance = std::function<void(Play&, Milliseconds)>;

bool isAt(Milliseconds time, Milliseconds when) { return time == when; }
bool isWithin(Milliseconds time, Milliseconds from, Milliseconds until)
{
    return time >= from && time < until;
}

void disturbNothing(Play&, Milliseconds) { }

void failAllRunsOfSomeWorkers(Play& play, Milliseconds time)
{
    constexpr int failingWorkers = 8;
    if (isAt(time, Milliseconds(20'000))) {
        for (int i = 0; i < failingWorkers; ++i)
            play.cluster.worker(play.random() % play.cluster.workerCount()).isFailing = true;
    }
    if (isAt(time, Milliseconds(27'000))) {
        for (std::size_t i = 0; i < play.cluster.workerCount(); ++i)
            play.cluster.worker(i).isFailing = false;
    }
}

// A quarter of the workers is gone for good. Half of them refuse connections, the others are silent.
void loseWorkers(Play& play, Milliseconds time)
{
    constexpr Milliseconds lossAt = trafficTime - Milliseconds(500);
    constexpr Milliseconds entryExpiry { 4'500 };
    constexpr Milliseconds longestLeaseWait { 14'000 };
    for (std::size_t i = 0; i < play.cluster.workerCount(); i += 4) {
        FakeWorker& worker = play.cluster.worker(i);
        if (isAt(time, lossAt)) {
            worker.leave();
            worker.refusesConnections = i % 8 == 0;
        }
        if (isAt(time, lossAt + entryExpiry))
            play.cluster.unlist(worker.record.lifetime.id);
    }
    if (isAt(time, lossAt))
        play.judgedFrom = play.cluster.now() + longestLeaseWait;
}

void takeStoreAway(Play& play, Milliseconds time)
{
    constexpr Milliseconds end = trafficTime - Milliseconds(2'500);
    play.cluster.isStoreDown = isWithin(time, end - Milliseconds(5'000), end);
    if (play.cluster.isStoreDown)
        play.disturb();
}

// Some writes are performed seconds after their callers have heard that the outcome is unknown.
void takeStoreAwayAndPerformWritesLate(Play& play, Milliseconds time)
{
    takeStoreAway(play, time);
    const bool isDisturbed
        = isWithin(time, trafficTime - Milliseconds(9'000), trafficTime - Milliseconds(1'000));
    play.cluster.disturbances.lateCommitShare = isDisturbed ? 0.3 : 0;
    play.cluster.lostCommitReplyShare = isDisturbed ? 0.2 : 0;
    if (isDisturbed)
        play.disturb();
}

void killLeaders(Play& play, Milliseconds time)
{
    constexpr Milliseconds interval { 6'000 };
    constexpr Milliseconds downTime { 1'500 };
    if (isWithin(time, interval, trafficTime) && time % interval == Milliseconds(0)) {
        if (const auto leader = play.cluster.leader()) {
            play.cluster.kill(*leader);
            play.disturb();
        }
    }
    if (time % interval != downTime)
        return;
    for (std::size_t daemon = 0; daemon < daemonCount; ++daemon) {
        if (!play.cluster.isRunning(daemon))
            play.cluster.restart(daemon);
    }
}

void killAllDaemonsAtEnd(Play& play, Milliseconds time)
{
    constexpr Milliseconds downTime { 1'500 };
    for (std::size_t daemon = 0; daemon < daemonCount; ++daemon) {
        if (isAt(time, trafficTime))
            play.cluster.kill(daemon);
        if (isAt(time, trafficTime + downTime))
            play.cluster.restart(daemon);
    }
    if (isWithin(time, trafficTime, trafficTime + downTime))
        play.disturb();
}

std::vector<JobId> openJobs(const Play& play)
{
    std::vector<JobId> jobs = play.traffic.acceptedJobs();
    std::erase_if(jobs, [&play](const JobId& job) { return batch::isTerminal(play.cluster.stateOf(job)); });
    return jobs;
}

std::string describe(const Play& play, const IdleJob& idle)
{
    const batch::StepSpecification& step = play.cluster.specificationOf(idle.job).steps.front();
    return fmt::format(
        "job {} of queue {}: {} tasks of {} accelerators{}{}, idle since {} ms, {:.2f} in use, room "
        "for {} tasks",
        idle.job.value(), play.traffic.queueOf(idle.job), step.taskCount, step.perTask.accelerators,
        step.needsOneRack ? " in one rack" : "", step.dataRack.empty() ? "" : " near data",
        idle.since.time_since_epoch().count(), idle.shareInUse, idle.fits);
}

} // namespace

// Plays traffic and searches for accepted jobs that have nothing running beside free room.
// Run many seeds by hand with: LOAD_SEEDS=1-500 batch_waiting_beside_room_test [FIXTURE::CASE]
class BatchWaitingBesideRoomTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchWaitingBesideRoomTest);
    CPPUNIT_TEST(testUndisturbedTrafficLeavesNoJobIdle);
    CPPUNIT_TEST(testLightTrafficLeavesNoJobIdle);
    CPPUNIT_TEST(testHeavyTrafficLeavesNoJobIdle);
    CPPUNIT_TEST(testWorkersThatFailAllRunsLeaveNoJobIdle);
    CPPUNIT_TEST(testWorkersGoneForGoodLeaveNoJobIdle);
    CPPUNIT_TEST(testStoreAwayBeforeEndOfTrafficLeavesNoJobIdle);
    CPPUNIT_TEST(testWritesPerformedLateLeaveNoJobIdle);
    CPPUNIT_TEST(testKilledLeadersLeaveNoJobIdle);
    CPPUNIT_TEST(testKillOfAllDaemonsAtEndOfTrafficLeavesNoJobIdle);
    CPPUNIT_TEST_SUITE_END();

public:
    void testUndisturbedTrafficLeavesNoJobIdle() { search({ 3, 6 }, 1.0, disturbNothing); }
    void testLightTrafficLeavesNoJobIdle() { search({ 34, 35 }, 0.7, disturbNothing); }
    void testHeavyTrafficLeavesNoJobIdle() { search({ 26, 27 }, 1.3, disturbNothing); }
    void testWorkersThatFailAllRunsLeaveNoJobIdle() { search({ 12, 13 }, 1.0, failAllRunsOfSomeWorkers); }
    void testWorkersGoneForGoodLeaveNoJobIdle() { search({ 22, 23 }, 1.0, loseWorkers); }
    void testStoreAwayBeforeEndOfTrafficLeavesNoJobIdle() { search({ 15, 17 }, 1.0, takeStoreAway); }
    void testWritesPerformedLateLeaveNoJobIdle() { search({ 6, 7 }, 1.0, takeStoreAwayAndPerformWritesLate); }
    void testKilledLeadersLeaveNoJobIdle() { search({ 19, 20 }, 1.0, killLeaders); }
    void testKillOfAllDaemonsAtEndOfTrafficLeavesNoJobIdle() { search({ 6, 7 }, 1.0, killAllDaemonsAtEnd); }

private:
    static void search(SeedRange inCi, double load, const Disturbance& disturbance)
    {
        const SeedRange seeds = seedsOr("LOAD_SEEDS", inCi);
        std::vector<std::string> findings;
        for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
            for (const std::string& finding : play(seed, load, disturbance))
                findings.push_back(fmt::format("seed {}: {}", seed, finding));
        }
        if (!findings.empty())
            CPPUNIT_FAIL(fmt::format("{} findings in seeds {} to {}:\n{}", findings.size(), seeds.first,
                seeds.last, fmt::join(findings, "\n")));
    }

    static std::vector<std::string> play(std::uint64_t seed, double load, const Disturbance& disturbance)
    {
        Play play(seed, load);
        play.cluster.run(warmUp);
        for (Milliseconds time { 0 }; time < trafficTime + maxTimeAfterTraffic; time += slice) {
            const bool isSecondOver = time % Milliseconds(1'000) == Milliseconds(0);
            if (time > trafficTime + recoveryTime && isSecondOver && openJobs(play).empty())
                break;
            disturbance(play, time);
            if (time < trafficTime)
                play.traffic.submitJobs(slice);
            if (isSecondOver)
                play.traffic.repeatRequests();
            play.cluster.run(slice);
            if (play.cluster.now() < play.judgedFrom)
                play.watch.forget();
            else
                play.watch.observe(play.traffic.acceptedJobs());
        }
        return findingsOf(play);
    }

    static std::vector<std::string> findingsOf(const Play& play)
    {
        std::vector<std::string> findings = play.cluster.violations();
        for (const IdleJob& idle : play.watch.idleJobs())
            findings.push_back(describe(play, idle));
        for (const JobId& job : openJobs(play))
            findings.push_back(fmt::format("job {} has not ended", job.value()));
        return findings;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchWaitingBesideRoomTest);

} // namespace anvilmoor::testing
