#include "anvilmoor/batch/job.h"

#include <algorithm>
#include <fmt/format.h>

namespace anvilmoor::batch {

Resources& Resources::operator+=(const Resources& other)
{
    cpuMillicores += other.cpuMillicores;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

Resources& Resources::operator-=(const Resources& other)
{
    cpuMillicores -= other.cpuMillicores;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    return *this;
}

bool Resources::fitsIn(const Resources& available) const
{
    return cpuMillicores <= available.cpuMillicores && memoryMb <= available.memoryMb
        && accelerators <= available.accelerators;
}

Resources StepSpecification::countedPerTask() const
{
    Resources resources = perTask;
    if (usesSpareCpu)
        resources.cpuMillicores = 0;
    return resources;
}

std::string describeShape(const JobSpecification& job)
{
    std::string shape;
    for (const StepSpecification& step : job.steps)
        shape += fmt::format("{}{}x{}{}{}", shape.empty() ? "" : "+", step.taskCount,
            step.perTask.accelerators, step.isGang ? "g" : "", step.needsOneRack ? "r" : "");
    return shape;
}

int AcceptedJob::occurrenceCount() const { return std::max(specification.schedule.occurrences, 1); }

WallTime AcceptedJob::dueAt(int occurrence) const
{
    if (!specification.schedule.occurrences)
        return acceptedAt;
    return specification.schedule.firstDue + specification.schedule.interval * occurrence;
}

Milliseconds AcceptedJob::objective() const
{
    // Steps depend only on earlier steps, so one pass finds the longest chain that ends at each step.
    std::vector<Milliseconds> chains;
    Milliseconds longest { 0 };
    for (const StepSpecification& step : specification.steps) {
        Milliseconds before { 0 };
        for (const int earlier : step.dependsOn)
            before = std::max(before, chains[static_cast<std::size_t>(earlier)]);
        chains.push_back(before + step.estimatedDuration);
        longest = std::max(longest, chains.back());
    }
    const auto stretched = static_cast<std::int64_t>(terms.stretch * static_cast<double>(longest.count()));
    return Milliseconds(stretched) + terms.latencyTarget;
}

bool isTerminal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Cancelled;
}

} // namespace anvilmoor::batch
