#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace anvilmoor::measure {

// Nearest-rank quantile, q in [0, 1]. Returns 0 if there are no values.
double quantile(std::vector<double> values, double q);

// Jain's fairness index, (sum x)^2 / (n * sum x^2): 1 if all values are equal, 1/n if all but one are 0.
// Returns 1 if there are no values.
double jainIndex(std::span<const double> values);

// Weighted max-min fair division of a capacity: what a flow does not demand is divided among the others by
// weight.
std::vector<double> fairDivision(
    double capacity, std::span<const double> demands, std::span<const double> weights);

// The splitmix64 generator. Unlike the distributions of the standard library, these draws are the same with
// every library.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : m_state(seed)
    {
    }
    std::uint64_t next();
    double uniform(); // [0, 1)
    double between(double low, double high) { return low + (high - low) * uniform(); }
    double exponential(double mean);
    std::size_t below(std::size_t bound) { return std::size_t(next() % bound); }

private:
    std::uint64_t m_state;
};

} // namespace anvilmoor::measure
