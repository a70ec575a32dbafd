#include "support/batch_cluster.h"
#include "support/seed_range.h"

#include <algorithm>
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <functional>
#include <random>
#include <string_view>
#include <vector>

namespace anvilmoor::testing {

namespace {

constexpr std::size_t daemonCount = 3;
constexpr int racks = 4;
constexpr int workersPerRack = 4;
constexpr std::size_t maxDrains = 9; // the others keep room for every job
constexpr int roundsPerSeed = 50;
constexpr Milliseconds roundTime { 250 };
constexpr std::array stopTimeouts { Milliseconds(200), Milliseconds(900) };
constexpr int shortestNoticeMs = 1'500;
constexpr int longestNoticeMs = 5'000;

using Random = std::mt19937_64;

Milliseconds between(Random& random, int fromMs, int toMs)
{
    return Milliseconds(std::uniform_int_distribution<>(fromMs, toMs)(random));
}

// What else goes wrong while workers drain.
struct Trouble {
    std::string_view name;
    std::function<void(BatchCluster&, Random&)> begin; // once
    std::function<void(BatchCluster&, Random&)> disturb; // in each round
    // The leader may learn of a drain, or of the end of a run, too late to act before the worker leaves.
    bool mayPreventAction = true;
};

// --- troubles

void doNothing(BatchCluster&, Random&) { }

void startMissingDaemons(BatchCluster& cluster)
{
    for (std::size_t each = 0; each < daemonCount; ++each) {
        if (!cluster.isRunning(each))
            cluster.restart(each);
    }
}

void loseLeaders(BatchCluster& cluster, Random& random)
{
    if (random() % 3 == 0)
        startMissingDaemons(cluster);
    const auto leader = cluster.leader();
    if (!leader || random() % 10)
        return;
    if (random() % 2)
        cluster.kill(*leader);
    else
        cluster.terminate(*leader);
}

void loseCommitReplies(BatchCluster& cluster, Random& random)
{
    cluster.lostCommitReplyShare = random() % 2 ? 0.2 : 0;
}

void loseRegistryHistory(BatchCluster& cluster, Random& random)
{
    if (random() % 8 == 0)
        cluster.dropRegistryHistory();
}

// For 0.5 to 3 s, every 3 s or so.
void takeStoreAway(BatchCluster& cluster, Random& random)
{
    if (random() % 10)
        return;
    cluster.isStoreDown = true;
    cluster.run(between(random, 500, 3'000));
    cluster.isStoreDown = false;
}

void freezeDaemons(BatchCluster& cluster, Random& random)
{
    if (random() % 8 == 0)
        cluster.freeze(cluster.leader().value_or(random() % daemonCount), between(random, 100, 3'000));
}

void slowDownAnswers(BatchCluster& cluster, Random& random)
{
    cluster.disturbances.slowAnswerShare = random() % 2 ? 0.3 : 0;
}

// Work takes up to twice as long at times.
void changeSpeeds(BatchCluster& cluster, Random& random)
{
    for (std::size_t i = 0; i < cluster.workerCount(); ++i) {
        if (random() % 4 == 0)
            cluster.worker(i).speed = std::uniform_real_distribution<>(0.5, 1)(random);
    }
}

void endTrouble(BatchCluster& cluster)
{
    cluster.disturbances = {};
    cluster.lostCommitReplyShare = 0;
    cluster.commitDelay = Milliseconds(0);
    cluster.isStoreDown = false;
    // Daemons that were terminated stop a little later.
    constexpr int restarts = 5;
    for (int i = 0; i < restarts; ++i) {
        startMissingDaemons(cluster);
        cluster.run(Milliseconds(1'000));
    }
}

// --- jobs

struct Jobs {
    std::vector<JobId> ending;
    std::vector<JobId> lasting;
};

std::optional<std::size_t> anyRunningDaemon(BatchCluster& cluster, Random& random)
{
    const std::size_t first = random() % daemonCount;
    for (std::size_t i = 0; i < daemonCount; ++i) {
        const std::size_t daemon = (first + i) % daemonCount;
        if (cluster.isRunning(daemon))
            return daemon;
    }
    return std::nullopt;
}

void submitJob(BatchCluster& cluster, Random& random, Jobs& jobs)
{
    const auto daemon = anyRunningDaemon(cluster, random);
    if (!daemon)
        return;
    const Milliseconds duration = random() % 3 ? between(random, 200, 3'000) : between(random, 3'000, 9'000);
    batch::StepSpecification tasks = makeStep(static_cast<int>(2 + random() % 5), 1, duration);
    tasks.savesCheckpoints = random() % 2;
    batch::StepSpecification gang = makeGang(2, 4, random() % 2, duration);
    gang.savesCheckpoints = random() % 2;
    batch::StepSpecification next = makeStep(2, 1, duration / 2);
    next.dependsOn = { 0 };
    switch (random() % 5) {
    case 0:
        jobs.ending.push_back(cluster.submit(*daemon, "gang", { gang }));
        break;
    case 1:
        jobs.ending.push_back(cluster.submit(*daemon, "gang", { gang, next }));
        break;
    case 2:
        jobs.ending.push_back(cluster.submit(*daemon, "urgent", { tasks, next }));
        break;
    default:
        jobs.ending.push_back(cluster.submit(*daemon, "small", { tasks }));
    }
    // Callers estimate badly.
    if (random() % 4 == 0)
        cluster.setDuration(jobs.ending.back(), duration * static_cast<int>(1 + random() % 3) / 2);
}

void submitLastingJob(BatchCluster& cluster, Jobs& jobs)
{
    batch::StepSpecification step = makeStep(1, 1, Seconds(600));
    step.runsUntilCancelled = true;
    jobs.lasting.push_back(cluster.submit(0, "small", { step }));
}

// --- drains

Milliseconds anyNotice(Random& random) { return between(random, shortestNoticeMs, longestNoticeMs); }

// A notice that is over around the end of one of the worker's runs, if there is one.
Milliseconds noticeAroundEnd(const FakeWorker& worker, Random& random)
{
    std::vector<Milliseconds> notices;
    for (const auto& [task, run] : worker.runs()) {
        const Milliseconds untilEnd = run.duration - run.worked + between(random, -40, 60);
        if (untilEnd.count() >= shortestNoticeMs && untilEnd.count() <= longestNoticeMs)
            notices.push_back(untilEnd);
    }
    return notices.empty() ? anyNotice(random) : notices[random() % notices.size()];
}

std::vector<std::size_t> inRandomOrder(std::size_t count, Random& random)
{
    std::vector<std::size_t> order(count);
    for (std::size_t i = 0; i < count; ++i)
        order[i] = i;
    std::shuffle(order.begin(), order.end(), random);
    return order;
}

// Drains one worker, or several at the same moment.
void drainWorkers(BatchCluster& cluster, Random& random, std::vector<std::size_t>& leaving)
{
    if (random() % 4)
        return;
    const std::size_t count = random() % 3 ? 1 : 3;
    for (std::size_t i = 0; i < count && !leaving.empty(); ++i) {
        const std::size_t worker = leaving.back();
        leaving.pop_back();
        const Milliseconds notice
            = random() % 2 ? noticeAroundEnd(cluster.worker(worker), random) : anyNotice(random);
        cluster.drainAndLeave(worker, notice);
    }
}

// --- verdict

bool isCutOff(const std::string& violation)
{
    return violation.ends_with("is cut off as its worker leaves at the announced time");
}

// The end was not acknowledged: that would be "starts after its task was done".
bool isUnreadEndRepeated(const std::string& violation)
{
    return violation.ends_with("starts after its task was done on a worker that drained");
}

struct Outcome {
    std::size_t cutOff = 0;
    std::size_t repeated = 0;
    std::optional<std::string> fault;
};

Outcome judge(const BatchCluster& cluster, const Trouble& trouble)
{
    Outcome outcome;
    for (const std::string& violation : cluster.violations()) {
        outcome.cutOff += isCutOff(violation);
        outcome.repeated += isUnreadEndRepeated(violation);
        const bool isAllowed
            = trouble.mayPreventAction && (isCutOff(violation) || isUnreadEndRepeated(violation));
        if (!isAllowed && !outcome.fault)
            outcome.fault = violation;
    }
    return outcome;
}

bool endLastingJob(BatchCluster& cluster, const JobId& job)
{
    constexpr int attempts = 30;
    for (int i = 0; i < attempts; ++i) {
        cluster.cancel(0, "small", job);
        if (cluster.runUntil([&] { return batch::isTerminal(cluster.stateOf(job)); }, Milliseconds(2'000)))
            return true;
    }
    return false;
}

// Returns the first accepted job that does not end.
std::optional<std::string> findLostJob(BatchCluster& cluster, const Jobs& jobs)
{
    const auto isAccepted = [&cluster](const JobId& job) {
        const auto answer = cluster.answerTo(job);
        return answer && answer->kind == batch::AnswerKind::Accepted;
    };
    for (const JobId& job : jobs.ending) {
        if (!isAccepted(job))
            continue;
        if (!cluster.runUntil(
                [&] { return cluster.stateOf(job) == JobState::Completed; }, Milliseconds(120'000)))
            return fmt::format("job {} is not completed", job.value());
    }
    for (const JobId& job : jobs.lasting) {
        if (isAccepted(job) && !endLastingJob(cluster, job))
            return fmt::format("lasting job {} has not ended", job.value());
    }
    return std::nullopt;
}

void startCluster(BatchCluster& cluster, Random& random)
{
    const Milliseconds stopTimeout = stopTimeouts[random() % stopTimeouts.size()];
    cluster.workerLeases.stopTimeout = stopTimeout;
    for (std::size_t i = 0; i < daemonCount; ++i)
        cluster.restart(i);
    cluster.addWorkers(racks, workersPerRack);
    for (std::size_t i = 0; i < cluster.workerCount(); ++i) {
        cluster.worker(i).behavior.maxStopTime = stopTimeout;
        cluster.worker(i).behavior.clockPermille = static_cast<int>(980 + random() % 21);
    }
}

Outcome play(std::uint64_t seed, const Trouble& trouble)
{
    BatchCluster cluster(daemonCount, seed);
    Random random(seed * 977);
    startCluster(cluster, random);
    trouble.begin(cluster, random);
    cluster.run(Milliseconds(3'000));
    Jobs jobs;
    submitLastingJob(cluster, jobs);
    std::vector<std::size_t> leaving = inRandomOrder(cluster.workerCount(), random);
    leaving.resize(maxDrains);
    for (int round = 0; round < roundsPerSeed; ++round) {
        trouble.disturb(cluster, random);
        submitJob(cluster, random, jobs);
        drainWorkers(cluster, random, leaving);
        cluster.run(roundTime);
    }
    endTrouble(cluster);
    const auto lostJob = findLostJob(cluster, jobs);
    Outcome outcome = judge(cluster, trouble);
    if (!outcome.fault)
        outcome.fault = lostJob;
    return outcome;
}

} // namespace

// Searches drains of all kinds of work, with one trouble at a time, for violated guarantees.
// Run many seeds by hand with: DRAIN_SEEDS=1-200 batch_drain_search_test [FIXTURE::CASE]
class BatchDrainSearchTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchDrainSearchTest);
    CPPUNIT_TEST(testDrainsWithoutTroubleLoseNoWork);
    CPPUNIT_TEST(testDrainsReadSoonLoseNoWork);
    CPPUNIT_TEST(testDrainsWithFairlyQuickCommitsLoseNoWork);
    CPPUNIT_TEST(testDrainsReadLateViolateNoGuarantee);
    CPPUNIT_TEST(testDrainsInLostRegistryHistoryViolateNoGuarantee);
    CPPUNIT_TEST(testDrainsUnderLostLeadersViolateNoGuarantee);
    CPPUNIT_TEST(testDrainsWithSlowCommitsLoseNoWork);
    CPPUNIT_TEST(testDrainsWithLostCommitRepliesViolateNoGuarantee);
    CPPUNIT_TEST(testDrainsWhileStoreIsAwayViolateNoGuarantee);
    CPPUNIT_TEST(testDrainsUnderFrozenDaemonsViolateNoGuarantee);
    CPPUNIT_TEST(testDrainsWithSlowAnswersViolateNoGuarantee);
    CPPUNIT_TEST(testDrainsOfWorkersWithChangingSpeedViolateNoGuarantee);
    CPPUNIT_TEST_SUITE_END();

public:
    void testDrainsWithoutTroubleLoseNoWork() { search({ "none", doNothing, doNothing, false }); }

    void testDrainsReadSoonLoseNoWork()
    {
        const auto begin
            = [](BatchCluster& cluster, Random& random) { cluster.registryDelay = between(random, 0, 300); };
        search({ "registry up to 300 ms late", begin, doNothing, false });
    }

    void testDrainsWithFairlyQuickCommitsLoseNoWork()
    {
        const auto begin
            = [](BatchCluster& cluster, Random& random) { cluster.commitDelay = between(random, 0, 50); };
        search({ "commits up to 50 ms late", begin, doNothing, false });
    }

    void testDrainsReadLateViolateNoGuarantee()
    {
        const auto begin = [](BatchCluster& cluster, Random& random) {
            cluster.registryDelay = between(random, 300, 1'000);
        };
        search({ "registry 300 to 1,000 ms late", begin, doNothing });
    }

    void testDrainsInLostRegistryHistoryViolateNoGuarantee()
    {
        const auto begin = [](BatchCluster& cluster, Random&) { cluster.keepRegistryRows(); };
        search({ "registry history lost", begin, loseRegistryHistory });
    }

    void testDrainsUnderLostLeadersViolateNoGuarantee()
    {
        search({ "leaders killed or terminated", doNothing, loseLeaders });
    }

    void testDrainsWithSlowCommitsLoseNoWork()
    {
        const auto begin
            = [](BatchCluster& cluster, Random& random) { cluster.commitDelay = between(random, 50, 400); };
        // Neither orders to stop a run nor reading how it ended need a commit.
        search({ "commits 50 to 400 ms late", begin, doNothing, false });
    }

    void testDrainsWithLostCommitRepliesViolateNoGuarantee()
    {
        search({ "commit replies lost", doNothing, loseCommitReplies });
    }

    void testDrainsWhileStoreIsAwayViolateNoGuarantee()
    {
        search({ "store away", doNothing, takeStoreAway });
    }

    void testDrainsUnderFrozenDaemonsViolateNoGuarantee()
    {
        search({ "daemons frozen", doNothing, freezeDaemons });
    }

    void testDrainsWithSlowAnswersViolateNoGuarantee()
    {
        search({ "slow answers", doNothing, slowDownAnswers });
    }

    void testDrainsOfWorkersWithChangingSpeedViolateNoGuarantee()
    {
        search({ "speeds change", doNothing, changeSpeeds });
    }

private:
    static void search(const Trouble& trouble)
    {
        const SeedRange seeds = seedsOr("DRAIN_SEEDS", { 1, 4 });
        std::vector<std::string> faults;
        std::vector<std::uint64_t> repeating;
        std::size_t cutOff = 0;
        std::size_t repeated = 0;
        for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
            const Outcome outcome = play(seed, trouble);
            cutOff += outcome.cutOff;
            repeated += outcome.repeated;
            if (outcome.repeated)
                repeating.push_back(seed);
            if (outcome.fault)
                faults.push_back(fmt::format("seed {}: {}", seed, *outcome.fault));
        }
        const std::uint64_t count = seeds.last - seeds.first + 1;
        fmt::print("{}: {} seeds, {} faults, {} runs cut off, {} unread ends repeated (seeds {})\n",
            trouble.name, count, faults.size(), cutOff, repeated, fmt::join(repeating, " "));
        if (!faults.empty())
            CPPUNIT_FAIL(fmt::format(
                "{}: {} of {} seeds:\n{}", trouble.name, faults.size(), count, fmt::join(faults, "\n")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchDrainSearchTest);

} // namespace anvilmoor::testing
