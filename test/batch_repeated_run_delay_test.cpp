#include "batch/store/leader_lease.h"
#include "support/batch_cluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <random>

namespace anvilmoor::testing {

namespace {

constexpr Milliseconds longestLease { 10'000 };
// On the leader's clock, if the worker's clock is as slow as leaders allow for.
constexpr Milliseconds longestLeaseOnSlowClock { 10'610 };
// Until a leader has noticed that the last lease has passed, stored an assignment and had the run started.
constexpr Milliseconds restartTime { 700 };
// From the last moment at which a leader has renewed the worker's lease.
constexpr Milliseconds maxRepeatDelay = longestLeaseOnSlowClock + batch::leaseDuration + restartTime;
// The platform drops the entry of a silent worker after three of its reports are missing.
constexpr Milliseconds entryExpiry { 4'500 };
constexpr Milliseconds taskDuration { 120'000 };

} // namespace

// Tests how long the runs of workers that are gone for good take to be repeated. Only the leader that has
// renewed the leases of a worker, and those before it, may still have a lease running on it.
class BatchRepeatedRunDelayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchRepeatedRunDelayTest);
    CPPUNIT_TEST(testRunOfLostWorkerIsRepeatedInTimeWithoutChangeOfLeader);
    CPPUNIT_TEST(testRunOfLostWorkerIsRepeatedInTimeAfterOneChangeOfLeader);
    CPPUNIT_TEST(testRunOfLostWorkerIsRepeatedInTimeAfterTwoChangesOfLeader);
    CPPUNIT_TEST(testRunOfLostWorkerIsRepeatedInTimeAfterThreeChangesOfLeader);
    CPPUNIT_TEST(testRunsAreRepeatedInTimeAfterAllDaemonsAndWorkersWereLost);
    CPPUNIT_TEST(testRunsAreRepeatedInTimeAfterOutageOfStoreWithoutLeader);
    CPPUNIT_TEST(testRunOnWorkerThatAnswersAgainIsNotRepeatedByNextLeaderWhileItRuns);
    CPPUNIT_TEST(testRunOnWorkerThatAnswersLeaderCutFromStoreIsNotRepeatedByNextLeaderWhileItRuns);
    CPPUNIT_TEST(testRunsOnWorkersThatAnswerSomeLeadersAreNotRepeatedWhileTheyRun);
    CPPUNIT_TEST(testRunOfLostWorkerIsRepeatedInTimeAfterLeadersThatCannotLoad);
    CPPUNIT_TEST(testRunOfLostWorkerIsRepeatedInTimeAfterLeadersLostSoonAfterClaim);
    CPPUNIT_TEST(testRunOfLostWorkerIsRepeatedInTimeAfterLaterLossOfLeader);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t workers = 6;

    BatchCluster m_cluster;
    JobId m_job;

    void startDaemons()
    {
        m_cluster.workerLeases.maxLease = longestLease;
        for (std::size_t daemon = 0; daemon < 3; ++daemon) {
            m_cluster.kill(daemon);
            m_cluster.restart(daemon);
        }
    }

    void startJob()
    {
        startDaemons();
        m_cluster.addWorkers(1, workers);
        m_cluster.run(Milliseconds(3'000));
        m_job = m_cluster.submit(1, "small", { makeStep(1, 1, taskDuration) });
        CPPUNIT_ASSERT(
            m_cluster.runUntil([this] { return m_cluster.startsOf(m_job) == 1; }, Milliseconds(5'000)));
        m_cluster.run(Milliseconds(5'000));
    }

    FakeWorker& workerWithRun()
    {
        std::size_t index = 0;
        while (m_cluster.worker(index).runs().empty())
            ++index;
        return m_cluster.worker(index);
    }

    // The worker leaves without a word, and its registry entry expires later.
    void lose(FakeWorker& worker)
    {
        worker.leave();
        m_expiring.push_back({ m_cluster.now() + entryExpiry, worker.record.lifetime.id });
    }

    void replaceLeader()
    {
        const std::size_t leader = m_cluster.leader().value();
        m_cluster.kill(leader);
        advance(Milliseconds(200));
        m_cluster.restart(leader);
    }

    void advance(Milliseconds duration)
    {
        const TimePoint end = m_cluster.now() + duration;
        while (m_cluster.now() < end) {
            std::erase_if(m_expiring, [this](const Expiring& entry) {
                const bool isDue = m_cluster.now() >= entry.at;
                if (isDue)
                    m_cluster.unlist(entry.worker);
                return isDue;
            });
            m_cluster.run(Milliseconds(10));
            if (m_cluster.startsOf(m_job) == 2 && !m_repeatedAt)
                m_repeatedAt = m_cluster.now();
        }
    }

    void requireRepeatedBy(TimePoint deadline)
    {
        const TimePoint from = deadline - maxRepeatDelay;
        while (!m_repeatedAt && m_cluster.now() < deadline + Milliseconds(30'000))
            advance(Milliseconds(10));
        if (!m_cluster.violations().empty())
            CPPUNIT_FAIL(m_cluster.violations().front());
        CPPUNIT_ASSERT(m_repeatedAt);
        const std::string delay = fmt::format("repeated after {} ms, allowed are {} ms",
            (*m_repeatedAt - from).count(), maxRepeatDelay.count());
        CPPUNIT_ASSERT_MESSAGE(delay, *m_repeatedAt <= deadline);
    }

    // The leader dies with the worker. Later ones are replaced at the given times after that.
    void requireRepeatedInTimeWithLeadersReplacedAfter(const std::vector<Milliseconds>& times)
    {
        startJob();
        const TimePoint lostAt = m_cluster.now();
        lose(workerWithRun());
        for (const Milliseconds time : times) {
            advance(lostAt + time - m_cluster.now());
            replaceLeader();
        }
        requireRepeatedBy(lostAt + maxRepeatDelay);
    }

    void replaceLeaderAndWaitForNext()
    {
        replaceLeader();
        CPPUNIT_ASSERT(
            m_cluster.runUntil([this] { return m_cluster.leader().has_value(); }, Milliseconds(5'000)));
    }

    // The worker answers the second leader only for these times, and the third one never. Returns whether the
    // worker's lease was renewed.
    bool renewLeaseBySecondLeader(Milliseconds answerTime, Milliseconds timeCutFromStore)
    {
        startJob();
        FakeWorker& worker = workerWithRun();
        worker.isReachable = false;
        replaceLeaderAndWaitForNext();
        advance(Milliseconds(5'000));
        worker.isReachable = true;
        advance(answerTime);
        m_cluster.cutFromStore.insert(m_cluster.leader().value());
        advance(timeCutFromStore);
        worker.isReachable = false;
        replaceLeaderAndWaitForNext();
        m_cluster.cutFromStore.clear();
        advance(Milliseconds(7'000));
        const bool isRenewed = !worker.runs().empty();
        advance(Milliseconds(10'000));
        if (!m_cluster.violations().empty())
            CPPUNIT_FAIL(fmt::format("{} ms: {}", answerTime.count(), m_cluster.violations().front()));
        return isRenewed;
    }

    static void disturb(BatchCluster& cluster, std::mt19937_64& random)
    {
        const std::size_t daemon = random() % 3;
        switch (random() % 6) {
        case 0:
        case 1:
            if (const auto leader = cluster.leader()) {
                cluster.kill(*leader);
                cluster.run(Milliseconds(random() % 1'500));
                cluster.restart(*leader);
            }
            return;
        case 2:
            cluster.healLinks();
            return;
        case 3:
            cluster.isStoreDown = !cluster.isStoreDown && random() % 2;
            return;
        default:
            for (std::size_t i = 0; i < workers; ++i) {
                if (random() % 2)
                    cluster.cutLink(daemon, i, random() % 2 ? LinkCut::Silent : LinkCut::AnswersLost);
            }
        }
    }

    struct Expiring {
        TimePoint at;
        WorkerId worker;
    };

    std::vector<Expiring> m_expiring;
    std::optional<TimePoint> m_repeatedAt;

public:
    // The leader goes on renewing the lease until it has missed three answers.
    void testRunOfLostWorkerIsRepeatedInTimeWithoutChangeOfLeader()
    {
        constexpr Milliseconds untilSilent { 3 * 1'200 };
        startJob();
        const TimePoint lostAt = m_cluster.now();
        lose(workerWithRun());
        requireRepeatedBy(lostAt + untilSilent + maxRepeatDelay);
    }

    void testRunOfLostWorkerIsRepeatedInTimeAfterOneChangeOfLeader()
    {
        requireRepeatedInTimeWithLeadersReplacedAfter({ Milliseconds(0) });
    }

    void testRunOfLostWorkerIsRepeatedInTimeAfterTwoChangesOfLeader()
    {
        requireRepeatedInTimeWithLeadersReplacedAfter({ Milliseconds(0), Milliseconds(4'000) });
    }

    void testRunOfLostWorkerIsRepeatedInTimeAfterThreeChangesOfLeader()
    {
        requireRepeatedInTimeWithLeadersReplacedAfter(
            { Milliseconds(0), Milliseconds(4'000), Milliseconds(8'000) });
    }

    void testRunsAreRepeatedInTimeAfterAllDaemonsAndWorkersWereLost()
    {
        constexpr Milliseconds daemonDowntime { 3'000 };
        startJob();
        const TimePoint lostAt = m_cluster.now();
        for (std::size_t i = 0; i < workers; ++i)
            lose(m_cluster.worker(i));
        for (std::size_t daemon = 0; daemon < 3; ++daemon)
            m_cluster.kill(daemon);
        m_cluster.addWorkers(1, workers);
        for (std::size_t i = workers; i < 2 * workers; ++i) {
            batch::WorkerRecord& record = m_cluster.worker(i).record;
            record.lifetime.id = WorkerId(fmt::format("next-{}", i));
            record.address = fmt::format("10.1.0.{}:80", i);
        }
        advance(daemonDowntime);
        for (std::size_t daemon = 0; daemon < 3; ++daemon)
            m_cluster.restart(daemon);
        requireRepeatedBy(lostAt + maxRepeatDelay);
    }

    void testRunsAreRepeatedInTimeAfterOutageOfStoreWithoutLeader()
    {
        constexpr Milliseconds outage { 8'000 };
        startJob();
        const TimePoint lostAt = m_cluster.now();
        m_cluster.isStoreDown = true;
        m_cluster.kill(m_cluster.leader().value());
        lose(workerWithRun());
        advance(outage);
        m_cluster.isStoreDown = false;
        requireRepeatedBy(lostAt + maxRepeatDelay);
    }

    // Guards against leaders that put off the end of leases although they have granted none.
    void testRunOfLostWorkerIsRepeatedInTimeAfterLeadersThatCannotLoad()
    {
        startJob();
        const TimePoint lostAt = m_cluster.now();
        lose(workerWithRun());
        m_cluster.cannotRead = { 0, 1, 2 };
        replaceLeader();
        advance(Milliseconds(8'000));
        m_cluster.cannotRead.clear();
        requireRepeatedBy(lostAt + maxRepeatDelay);
    }

    void testRunOfLostWorkerIsRepeatedInTimeAfterLeadersLostSoonAfterClaim()
    {
        startJob();
        const TimePoint lostAt = m_cluster.now();
        lose(workerWithRun());
        replaceLeader();
        for (int lost = 0; lost < 3; ++lost) {
            while (!m_cluster.leader() && m_cluster.now() < lostAt + longestLease)
                advance(Milliseconds(10));
            advance(Milliseconds(300));
            replaceLeader();
        }
        requireRepeatedBy(lostAt + maxRepeatDelay);
    }

    // The leader has asked the worker in vain, so it has granted it nothing since.
    void testRunOfLostWorkerIsRepeatedInTimeAfterLaterLossOfLeader()
    {
        constexpr Milliseconds untilSilent { 3 * 1'200 };
        startJob();
        const TimePoint lostAt = m_cluster.now();
        lose(workerWithRun());
        advance(Milliseconds(9'000));
        replaceLeader();
        requireRepeatedBy(lostAt + untilSilent + maxRepeatDelay);
    }

    // Guards against a lease on a worker that the lease row still lists as silent.
    void testRunOnWorkerThatAnswersAgainIsNotRepeatedByNextLeaderWhileItRuns()
    {
        constexpr Milliseconds longestAnswerTime { 1'000 };
        bool isRenewed = false;
        for (Milliseconds time { 0 }; time < longestAnswerTime; time += Milliseconds(20)) {
            BatchRepeatedRunDelayTest trial;
            isRenewed = trial.renewLeaseBySecondLeader(time, Milliseconds(0));
        }
        CPPUNIT_ASSERT(isRenewed);
    }

    // Guards against a lease granted while the commit that lists its worker no more is under way.
    void testRunOnWorkerThatAnswersLeaderCutFromStoreIsNotRepeatedByNextLeaderWhileItRuns()
    {
        constexpr Milliseconds longestAnswerTime { 1'000 };
        for (Milliseconds time { 0 }; time < longestAnswerTime; time += Milliseconds(20)) {
            BatchRepeatedRunDelayTest trial;
            trial.renewLeaseBySecondLeader(time, Milliseconds(600));
        }
    }

    void testRunsOnWorkersThatAnswerSomeLeadersAreNotRepeatedWhileTheyRun()
    {
        constexpr int disturbances = 60;
        const char* last = std::getenv("LEASE_SEEDS");
        const std::uint64_t seeds = last ? std::stoull(last) : 12;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            BatchCluster cluster(3, seed);
            std::mt19937_64 random(seed);
            cluster.workerLeases.maxLease = longestLease;
            for (std::size_t daemon = 0; daemon < 3; ++daemon) {
                cluster.kill(daemon);
                cluster.restart(daemon);
            }
            cluster.addWorkers(2, workers / 2);
            cluster.run(Milliseconds(2'000));
            for (int job = 0; job < 10; ++job)
                cluster.submit(job % 3, "small", { makeStep(1, 2, Milliseconds(2'000 + random() % 40'000)) });
            for (int i = 0; i < disturbances; ++i) {
                cluster.run(Milliseconds(100 + random() % 4'000));
                disturb(cluster, random);
            }
            if (!cluster.violations().empty())
                CPPUNIT_FAIL(fmt::format("seed {}: {}", seed, cluster.violations().front()));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchRepeatedRunDelayTest);

} // namespace anvilmoor::testing
