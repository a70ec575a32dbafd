#include "support/batch_cluster.h"
#include "support/seed_range.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace anvilmoor::testing {

namespace {

constexpr std::size_t daemons = 3;
constexpr int slices = 900;
constexpr Milliseconds slice { 100 };
// How long after the acknowledgement of a cancel request a task may still start.
constexpr Milliseconds maxStartDelay { 3'000 };

// A job whose client may withdraw it and repeat its submission, in any order.
struct ClientJob {
    JobId id;
    std::optional<int> cancelAt; // slices
    std::optional<int> repeatAt;
    bool isCancelSent = false;
    std::optional<TimePoint> cancelledAt; // acknowledged
    std::optional<int> startsThen; // when no more task may start
};

} // namespace

// Submits, withdraws and repeats jobs at random daemons while these lose the store, end, are killed and come
// back, and the store loses answers and performs writes late. Run many seeds by hand with:
// WITHDRAWAL_SEEDS=1-50 batch_withdrawal_soak_test
class BatchWithdrawalSoakTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchWithdrawalSoakTest);
    CPPUNIT_TEST(testWithdrawnJobsStartNothing);
    CPPUNIT_TEST_SUITE_END();

    class Play {
    public:
        explicit Play(std::uint64_t seed)
            : m_cluster(static_cast<int>(daemons), seed)
            , m_random(seed * 7'919)
        {
            m_cluster.addWorkers(2, 4);
            m_cluster.run(Milliseconds(2'000));
            m_cluster.disturbances.lateCommitShare = 0.15;
            m_cluster.lostCommitReplyShare = 0.15;
        }

        std::vector<std::string> run()
        {
            for (int now = 0; now < slices; ++now) {
                disturb();
                act(now);
                m_cluster.run(slice);
                observe();
            }
            std::vector<std::string> findings = m_cluster.violations();
            findings.insert(findings.end(), m_findings.begin(), m_findings.end());
            return findings;
        }

        std::size_t withdrawnJobs() const { return m_withdrawn; }

    private:
        bool isDrawn(double share) { return std::uniform_real_distribution<>(0, 1)(m_random) < share; }
        int draw(int from, int to) { return std::uniform_int_distribution<>(from, to)(m_random); }

        std::optional<std::size_t> anyDaemon()
        {
            const auto first = static_cast<std::size_t>(draw(0, static_cast<int>(daemons) - 1));
            for (std::size_t i = 0; i < daemons; ++i) {
                const std::size_t daemon = (first + i) % daemons;
                if (m_cluster.isRunning(daemon))
                    return daemon;
            }
            return std::nullopt;
        }

        void disturb()
        {
            for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
                if (!m_cluster.isRunning(daemon)) {
                    if (isDrawn(0.1))
                        m_cluster.restart(daemon);
                } else if (isDrawn(0.003)) {
                    m_cluster.kill(daemon);
                } else if (isDrawn(0.006)) {
                    m_cluster.terminate(daemon);
                }
                if (m_cluster.cutFromStore.contains(daemon) ? isDrawn(0.03) : isDrawn(0.01))
                    toggleCut(daemon);
            }
            m_cluster.commitDelay = isDrawn(0.02) ? Milliseconds(draw(0, 500)) : m_cluster.commitDelay;
        }

        void toggleCut(std::size_t daemon)
        {
            if (!m_cluster.cutFromStore.erase(daemon))
                m_cluster.cutFromStore.insert(daemon);
        }

        void act(int now)
        {
            const auto daemon = anyDaemon();
            if (!daemon)
                return;
            if (isDrawn(0.4)) {
                ClientJob job { m_cluster.submit(*daemon, "small", { makeStep(draw(1, 3), 1) }) };
                if (isDrawn(0.6))
                    job.cancelAt = now + draw(0, 40);
                if (isDrawn(0.6))
                    job.repeatAt = now + draw(0, 120);
                m_jobs.push_back(job);
            }
            for (ClientJob& job : m_jobs) {
                if (job.repeatAt == now)
                    m_cluster.submitAgain(*daemon, "small", job.id);
                if (job.cancelAt == now) {
                    m_cluster.cancel(*daemon, "small", job.id);
                    job.isCancelSent = true;
                }
            }
        }

        void observe()
        {
            for (ClientJob& job : m_jobs) {
                if (!job.cancelledAt)
                    noteAcknowledgement(job);
                else if (m_cluster.now() >= *job.cancelledAt + maxStartDelay)
                    requireNoStart(job);
            }
        }

        void noteAcknowledgement(ClientJob& job)
        {
            const auto answer = m_cluster.answerTo(job.id);
            const bool isAcknowledged
                = answer && (answer->kind == AnswerKind::Cancelled || answer->kind == AnswerKind::NoSuchJob);
            if (!job.isCancelSent || !isAcknowledged)
                return;
            job.cancelledAt = answer->at;
            ++m_withdrawn;
        }

        void requireNoStart(ClientJob& job)
        {
            const int starts = m_cluster.startsOf(job.id);
            if (job.startsThen && starts > *job.startsThen)
                m_findings.push_back(fmt::format(
                    "job {} was acknowledged as cancelled at {} ms, and started at {} ms", job.id.value(),
                    job.cancelledAt->time_since_epoch().count(), m_cluster.now().time_since_epoch().count()));
            job.startsThen = starts;
        }

        BatchCluster m_cluster;
        std::mt19937_64 m_random;
        std::vector<ClientJob> m_jobs;
        std::vector<std::string> m_findings;
        std::size_t m_withdrawn = 0;
    };

public:
    void testWithdrawnJobsStartNothing()
    {
        const SeedRange seeds = seedsOr("WITHDRAWAL_SEEDS", { 1, 6 });
        std::vector<std::string> findings;
        std::size_t withdrawn = 0;
        for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
            Play play(seed);
            for (const std::string& finding : play.run())
                findings.push_back(fmt::format("seed {}: {}", seed, finding));
            withdrawn += play.withdrawnJobs();
        }
        if (!findings.empty())
            CPPUNIT_FAIL(fmt::format("{} findings:\n{}", findings.size(), fmt::join(findings, "\n")));
        CPPUNIT_ASSERT(withdrawn > 100);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchWithdrawalSoakTest);

} // namespace anvilmoor::testing
