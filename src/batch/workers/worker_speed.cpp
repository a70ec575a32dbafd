#include "batch/workers/worker_speed.h"

#include <cmath>

namespace anvilmoor::batch {

namespace {

// Weight of the prior: each worker starts with this many observations of average speed.
constexpr double priorWeight = 0.7;
// Upper limit of the total weight. Beyond it, older observations decay, so that the estimate follows a worker
// whose speed changes.
constexpr double maxWeight = 20;
// Of the logarithm of the speed: 10% of the speed, because an estimate from few observations can be off by
// that much.
constexpr double bandWidth = 0.1;
// Maximum number of steps that are remembered for further tasks; the oldest step is evicted first.
constexpr std::size_t maxSteps = 2'000;

} // namespace

WorkerSpeed::WorkerSpeed(double value, double weight)
    : m_sum(std::log(value) * (weight + priorWeight))
    , m_weight(weight)
{
    update();
}

void WorkerSpeed::add(double logSpeed, double weight)
{
    m_sum += logSpeed * weight;
    m_weight += weight;
    if (m_weight > maxWeight) {
        m_sum *= maxWeight / m_weight;
        m_weight = maxWeight;
    }
    update();
}

void WorkerSpeed::update()
{
    m_value = std::exp(logValue());
    m_band = static_cast<int>(std::lround(logValue() / bandWidth));
}

double WorkerSpeed::logValue() const { return m_sum / (m_weight + priorWeight); }

StepRates::Rates& StepRates::require(const StepId& step)
{
    const auto [position, isNew] = m_steps.try_emplace(step);
    if (!isNew)
        return position->second;
    m_order.push_back(step);
    if (m_order.size() > maxSteps) {
        m_steps.erase(m_order.front());
        m_order.pop_front();
    }
    return position->second;
}

std::vector<SpeedObservation> StepRates::add(
    const StepId& step, const WorkerLifetime& worker, double rate, const WorkerSpeed& known)
{
    const double logRate = std::log(rate);
    Rates& rates = require(step);
    std::vector<SpeedObservation> observations;
    if (rates.count) {
        // The mean over few sibling tasks is less reliable.
        const double weight = static_cast<double>(rates.count) / (rates.count + 1);
        observations.push_back({ worker, logRate - rates.sum / rates.count, weight });
    } else {
        rates.first = { worker, logRate, 0.5 };
    }
    if (rates.count == 1) {
        SpeedObservation first = rates.first;
        first.logSpeed -= logRate - known.logValue();
        observations.push_back(std::move(first));
    }
    rates.sum += logRate - known.logValue();
    ++rates.count;
    return observations;
}

} // namespace anvilmoor::batch
