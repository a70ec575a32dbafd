#include "batch/jobs/job_size.h"

#include <cmath>

namespace anvilmoor::batch {

namespace {

constexpr double coresPerAccelerator = 8;
constexpr int classesPerDoubling = 2;

} // namespace

double coresOf(const Resources& resources)
{
    return static_cast<double>(resources.cpuMillicores) / 1'000
        + coresPerAccelerator * static_cast<double>(resources.accelerators);
}

double sizeOf(const JobSpecification& job)
{
    double size = 0;
    for (const StepSpecification& step : job.steps) {
        const double seconds = static_cast<double>(step.estimatedDuration.count()) / 1'000;
        size += step.taskCount * coresOf(step.perTask) * seconds;
    }
    return size;
}

int sizeClassOf(const JobSpecification& job)
{
    return static_cast<int>(classesPerDoubling * std::log2(1 + sizeOf(job)));
}

} // namespace anvilmoor::batch
