#pragma once

#include "anvilmoor/batch/job.h"
#include "anvilmoor/batch/worker.h"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace anvilmoor::batch {

// How fast a worker is beside the others, by the runs that it had: 1 is usual, 2 does the same work in half
// the time. Few observations count for little.
class WorkerSpeed {
public:
    WorkerSpeed() = default;
    // As value() and weight() once were.
    WorkerSpeed(double value, double weight);

    void add(double logSpeed, double weight);

    double value() const;
    double logValue() const;
    // Of the observations so far, in whole observations.
    double weight() const { return m_weight; }

private:
    double m_sum = 0; // of the observed logarithms, by weight
    double m_weight = 0;
};

// What a run says of its worker.
struct SpeedObservation {
    WorkerLifetime worker;
    double logSpeed = 0;
    double weight = 0;
};

// Compares tasks of one step with each other. They have about the same work, whatever the caller's estimate
// says, so that those that advance faster run on faster workers.
class StepRates {
public:
    // The task has advanced by this share of its work per second. Returns what that says of its worker, and
    // of the first task's worker once there is a second one to compare it with.
    std::vector<SpeedObservation> add(
        const StepId&, const WorkerLifetime&, double rate, const WorkerSpeed& known);

private:
    struct Rates {
        SpeedObservation first; // with the logarithm of its rate
        double sum = 0; // of the logarithms, each without its worker's known speed
        int count = 0;
    };

    Rates& require(const StepId&);

    std::map<StepId, Rates> m_steps;
    std::deque<StepId> m_order; // of m_steps, oldest first
};

} // namespace anvilmoor::batch
