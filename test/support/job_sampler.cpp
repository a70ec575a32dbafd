#include "support/job_sampler.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace anvilmoor::testing {

using namespace batch;

namespace {

QueueConfiguration makeQueue(
    const std::string& name, int priority, int maxAttempts, double stretch, Milliseconds latencyTarget)
{
    return { name, "plan.example", "/" + name + "/", ServiceId("planner"), priority, maxAttempts, stretch,
        latencyTarget };
}

} // namespace

std::vector<QueueConfiguration> trafficQueues()
{
    return { makeQueue("urgent", 0, 4, 1.5, Milliseconds(250)),
        makeQueue("gang", 1, 2, 3, Milliseconds(1'000)), makeQueue("small", 2, 2, 3, Milliseconds(3'000)) };
}

JobSampler::JobSampler(std::uint64_t seed, int racks)
    : m_random(seed)
    , m_racks(racks)
{
}

double JobSampler::draw(const SizeDistribution& size)
{
    const double sigma = std::sqrt(std::log(1 + size.relativeDeviation * size.relativeDeviation));
    std::normal_distribution<> exponent(std::log(size.mean) - sigma * sigma / 2, sigma);
    return std::min(size.max, std::exp(exponent(m_random)));
}

StepSpecification JobSampler::drawStep(const TrafficClass& kind)
{
    StepSpecification step;
    step.taskCount = std::max(1, static_cast<int>(std::lround(draw(kind.tasks))));
    step.perTask = kind.perTask;
    step.perTask.accelerators = kind.accelerators[m_random() % kind.accelerators.size()];
    step.isGang = kind.isGang && step.taskCount > 1;
    step.needsOneRack = step.isGang && randomShare() < kind.oneRackShare;
    if (randomShare() < kind.dataRackShare)
        step.dataRack = fmt::format("r{}", m_random() % static_cast<std::size_t>(m_racks));
    return step;
}

SampledJob JobSampler::draw(const TrafficClass& kind)
{
    constexpr double shortestEstimateMs = 100;
    SampledJob job;
    job.step = drawStep(kind);
    const double workMs = draw(kind.workMs);
    const double error = kind.estimateError * (2 * randomShare() - 1);
    job.work = Milliseconds(static_cast<std::int64_t>(workMs));
    job.step.estimatedDuration
        = Milliseconds(static_cast<std::int64_t>(std::max(shortestEstimateMs, workMs * (1 + error))));
    return job;
}

std::size_t JobSampler::drawAccount(std::size_t accounts)
{
    const double account = randomShare() * randomShare() * static_cast<double>(accounts);
    return std::min(static_cast<std::size_t>(account), accounts - 1);
}

} // namespace anvilmoor::testing
