#pragma once

#include "anvilmoor/batch/job.h"
#include "anvilmoor/batch/worker.h"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace anvilmoor::batch {

// Speed of a worker relative to the other workers, estimated from its runs: 1 is average, 2 means the same
// work takes half the time. With few observations, the estimate stays close to 1.
class WorkerSpeed {
public:
    WorkerSpeed() = default;
    // Restores an estimate from the results of value() and weight().
    WorkerSpeed(double value, double weight);

    void add(double logSpeed, double weight);

    double value() const { return m_value; }
    double logValue() const;
    // Workers of the same band count as equally fast; a higher one is faster.
    int band() const { return m_band; }
    // Total weight of the observations so far. A fully reliable observation has weight 1.
    double weight() const { return m_weight; }

private:
    void update();

    double m_sum = 0; // weighted sum of the observed logarithms
    double m_weight = 0;
    // Follow from the sum and the weight. Kept because placement compares the speeds of all workers.
    double m_value = 1;
    int m_band = 0;
};

// Estimate of a worker's relative speed from one run.
struct SpeedObservation {
    WorkerLifetime worker;
    double logSpeed = 0;
    double weight = 0;
};

// Compares the progress rates of tasks of the same step. These tasks have about the same amount of work,
// even if the caller's estimate is wrong, so a task that advances faster runs on a faster worker.
class StepRates {
public:
    // Adds a task that completes the fraction `rate` of its work per second on a worker whose speed is
    // estimated as `known`. Returns an observation of this worker, and, with the second task of a step, one
    // of the first task's worker, which had nothing to be compared with before.
    std::vector<SpeedObservation> add(
        const StepId&, const WorkerLifetime&, double rate, const WorkerSpeed& known);

private:
    struct Rates {
        SpeedObservation first; // of the first task; logSpeed holds the logarithm of its rate
        double sum
            = 0; // of the logarithms of the rates, each minus the logarithm of its worker's known speed
        int count = 0;
    };

    Rates& require(const StepId&);

    std::map<StepId, Rates> m_steps;
    std::deque<StepId> m_order; // keys of m_steps, oldest first
};

} // namespace anvilmoor::batch
