#include "support/job_traffic.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace anvilmoor::testing {

namespace {

using namespace batch;

constexpr std::array guarantees { 100, 60, 45, 33 }; // in accelerators, by account
constexpr std::array workerSpeeds { 0.8, 1.0, 1.25 };
constexpr std::size_t daemonCount = 3;

const std::vector<TrafficClass>& trafficClasses()
{
    static const std::vector<TrafficClass> classes {
        { "urgent", 2.4, { 3, 0.8, 18 }, { 2'500, 0.5, 8'000 }, { 15'000, 39'000, 0 }, { 1, 2, 4, 8, 8 },
            true, 0.8, 0, 0.2 },
        { "gang", 1.08, { 4, 0.8, 24 }, { 6'800, 0.3, 11'000 }, { 52'000, 140'000, 0 }, { 1, 2, 4, 8, 8 },
            true, 0.6, 0, 0.9 },
        { "small", 1.06, { 12, 0.8, 72 }, { 6'100, 0.3, 11'000 }, { 11'000, 29'000, 0 }, { 1 }, false, 0, 0.3,
            0.5 },
    };
    return classes;
}

std::string keyOf(std::size_t account) { return fmt::format("key-{}", account); }

Configuration makeConfiguration()
{
    Configuration configuration;
    configuration.version = 1;
    configuration.queues = trafficQueues();
    for (std::size_t i = 0; i < guarantees.size(); ++i)
        configuration.accounts.push_back(
            { ClientAccountId(fmt::format("account-{}", i)), { keyOf(i) }, guarantees[i] });
    return configuration;
}

} // namespace

JobTraffic::JobTraffic(BatchCluster& cluster, std::uint64_t seed, double load, int racks, int workersPerRack)
    : m_cluster(cluster)
    , m_sampler(seed, racks)
    , m_load(load)
{
    m_cluster.setConfiguration(makeConfiguration());
    addWorkers(racks, workersPerRack);
}

void JobTraffic::addWorkers(int racks, int workersPerRack)
{
    constexpr double farRunFactor = 3;
    m_cluster.addWorkers(racks, workersPerRack);
    m_cluster.slowDownFarRuns(farRunFactor);
    for (std::size_t i = 0; i < m_cluster.workerCount(); ++i)
        m_cluster.worker(i).speed = workerSpeeds[m_sampler.random()() % workerSpeeds.size()];
}

std::optional<std::size_t> JobTraffic::anyRunningDaemon()
{
    const std::size_t first = m_sampler.random()() % daemonCount;
    for (std::size_t i = 0; i < daemonCount; ++i) {
        const std::size_t daemon = (first + i) % daemonCount;
        if (m_cluster.isRunning(daemon))
            return daemon;
    }
    return std::nullopt;
}

void JobTraffic::submit(const TrafficClass& kind)
{
    const SampledJob sampled = m_sampler.draw(kind);
    const std::string key = keyOf(m_sampler.drawAccount(guarantees.size()));
    const auto daemon = anyRunningDaemon();
    if (!daemon)
        return;
    const JobId job = m_cluster.submit(*daemon, kind.queue, { sampled.step }, key);
    m_cluster.setDuration(job, sampled.work);
    m_jobs.push_back({ job, &kind, key });
}

void JobTraffic::submitJobs(Milliseconds slice)
{
    const double sliceInSeconds = static_cast<double>(slice.count()) / 1'000;
    for (const TrafficClass& kind : trafficClasses()) {
        if (m_sampler.randomShare() < kind.jobsPerSecond * m_load * sliceInSeconds)
            submit(kind);
    }
}

void JobTraffic::repeatRequests()
{
    for (const Submission& submission : m_jobs) {
        const auto answer = m_cluster.answerTo(submission.job);
        if (!answer || answer->kind == AnswerKind::Accepted)
            continue;
        if (const auto daemon = anyRunningDaemon())
            m_cluster.submitAgain(*daemon, submission.kind->queue, submission.job, submission.key);
    }
}

std::vector<JobId> JobTraffic::acceptedJobs() const
{
    std::vector<JobId> accepted;
    for (const Submission& submission : m_jobs) {
        const auto answer = m_cluster.answerTo(submission.job);
        if (answer && answer->kind == AnswerKind::Accepted)
            accepted.push_back(submission.job);
    }
    return accepted;
}

const std::string& JobTraffic::queueOf(const JobId& job) const
{
    const auto found = std::find_if(
        m_jobs.begin(), m_jobs.end(), [&job](const Submission& each) { return each.job == job; });
    return found->kind->queue;
}

} // namespace anvilmoor::testing
