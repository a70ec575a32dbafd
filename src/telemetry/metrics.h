#pragma once

#include "anvilmoor/time.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace anvilmoor::telemetry {

using Labels = std::map<std::string, std::string>;

class Counter {
public:
    void add(std::uint64_t amount = 1) { m_value += amount; }
    // Sets the value to a total counted elsewhere, unless the value is already higher.
    void raiseTo(std::uint64_t total) { m_value = std::max(m_value, total); }
    std::uint64_t value() const { return m_value; }

private:
    std::uint64_t m_value = 0;
};

class Gauge {
public:
    void set(double value) { m_value = value; }
    double value() const { return m_value; }

private:
    double m_value = 0;
};

// Records latencies and estimates their quantiles in constant memory.
class Latency {
public:
    Latency();
    void record(Milliseconds);
    std::uint64_t count() const;
    double sumSeconds() const;
    double p50Seconds() const; // 0 before the first recorded latency
    double p99Seconds() const;

private:
    using Quantile = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

    std::uint64_t m_count = 0;
    double m_sum = 0;
    Quantile m_p50;
    Quantile m_p99;
};

// Owns the metrics of a process and formats them as Prometheus text. Returned references stay valid.
// Requesting a name as a different kind of metric than before throws std::logic_error.
class MetricsRegistry {
public:
    Counter& counter(const std::string& name, const std::string& help, const Labels& = {});
    Gauge& gauge(const std::string& name, const std::string& help, const Labels& = {});
    Latency& latency(const std::string& name, const std::string& help, const Labels& = {});

    std::string page() const;

private:
    struct Sample {
        Counter counter;
        Gauge gauge;
        std::unique_ptr<Latency> latency;
    };
    enum class Kind { Counter, Gauge, Summary };
    struct Family {
        Kind kind = Kind::Counter;
        std::string help;
        std::map<Labels, Sample> samples;
    };

    Sample& sample(Kind, const std::string& name, const std::string& help, const Labels&);
    static void printSample(std::string& out, Kind, const std::string& name, const Labels&, const Sample&);

    std::map<std::string, Family> m_families;
};

} // namespace anvilmoor::telemetry
