#pragma once

#include "anvilmoor/batch/job.h"

// The size of jobs: the work that they are estimated to take.

namespace anvilmoor::batch {

// An accelerator counts as several cores.
double coresOf(const Resources&);

// Of one occurrence, in core-seconds.
double sizeOf(const JobSpecification&);

// Sizes of the same class differ by less than half. Higher classes contain larger sizes.
int sizeClassOf(const JobSpecification&);

} // namespace anvilmoor::batch
