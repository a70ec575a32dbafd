#include "measure/statistics.h"

#include <algorithm>
#include <cmath>

namespace anvilmoor::measure {

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    const double rank = std::ceil(q * double(values.size()));
    const std::size_t index = std::min(values.size() - 1, std::size_t(std::max(rank - 1, 0.0)));
    std::nth_element(values.begin(), values.begin() + std::ptrdiff_t(index), values.end());
    return values[index];
}

double jainIndex(std::span<const double> values)
{
    double sum = 0;
    double squares = 0;
    for (const double value : values) {
        sum += value;
        squares += value * value;
    }
    return squares > 0 ? sum * sum / (double(values.size()) * squares) : 1;
}

std::vector<double> fairDivision(
    double capacity, std::span<const double> demands, std::span<const double> weights)
{
    std::vector<double> allocated(demands.size(), 0);
    std::vector<bool> isSatisfied(demands.size(), false);
    while (true) {
        double remaining = capacity;
        double weight = 0;
        for (std::size_t flow = 0; flow < demands.size(); ++flow) {
            remaining -= isSatisfied[flow] ? demands[flow] : 0;
            weight += isSatisfied[flow] ? 0 : weights[flow];
        }
        bool isChanged = false;
        for (std::size_t flow = 0; flow < demands.size(); ++flow) {
            if (isSatisfied[flow])
                continue;
            allocated[flow] = remaining * weights[flow] / weight;
            if (allocated[flow] < demands[flow])
                continue;
            allocated[flow] = demands[flow];
            isSatisfied[flow] = true;
            isChanged = true;
        }
        if (!isChanged)
            return allocated;
    }
}

std::uint64_t Random::next()
{
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t value = m_state;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

double Random::uniform() { return double(next() >> 11U) * 0x1.0p-53; }

double Random::exponential(double mean) { return -mean * std::log(1 - uniform()); }

} // namespace anvilmoor::measure
