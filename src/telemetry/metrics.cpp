#include "telemetry/metrics.h"

#include <fmt/format.h>
#include <iterator>
#include <stdexcept>
#include <string_view>

namespace anvilmoor::telemetry {

namespace {

std::string escapeLabel(std::string_view value)
{
    std::string out;
    for (const char character : value) {
        if (character == '\\' || character == '"')
            out += '\\';
        if (character == '\n')
            out += "\\n";
        else
            out += character;
    }
    return out;
}

std::string printLabels(const Labels& labels)
{
    if (labels.empty())
        return {};
    std::string out = "{";
    for (const auto& [name, value] : labels) {
        if (out.size() > 1)
            out += ',';
        fmt::format_to(std::back_inserter(out), "{}=\"{}\"", name, escapeLabel(value));
    }
    return out += '}';
}

std::string withQuantile(Labels labels, const std::string& quantile)
{
    labels["quantile"] = quantile;
    return printLabels(labels);
}

} // namespace

Latency::Latency()
    : m_p50(boost::accumulators::quantile_probability = 0.5)
    , m_p99(boost::accumulators::quantile_probability = 0.99)
{
}

void Latency::record(Milliseconds latency)
{
    const double seconds = static_cast<double>(latency.count()) / 1000.0;
    ++m_count;
    m_sum += seconds;
    m_p50(seconds);
    m_p99(seconds);
}

std::uint64_t Latency::count() const { return m_count; }

double Latency::sumSeconds() const { return m_sum; }

double Latency::p50Seconds() const { return m_count ? boost::accumulators::p_square_quantile(m_p50) : 0; }

double Latency::p99Seconds() const { return m_count ? boost::accumulators::p_square_quantile(m_p99) : 0; }

MetricsRegistry::Sample& MetricsRegistry::sample(
    Kind kind, const std::string& name, const std::string& help, const Labels& labels)
{
    const auto [family, isNew] = m_families.try_emplace(name);
    if (isNew) {
        family->second.kind = kind;
        family->second.help = help;
    } else if (family->second.kind != kind) {
        throw std::logic_error("metric " + name + " is already registered as another kind of metric");
    }
    return family->second.samples[labels];
}

Counter& MetricsRegistry::counter(const std::string& name, const std::string& help, const Labels& labels)
{
    return sample(Kind::Counter, name, help, labels).counter;
}

Gauge& MetricsRegistry::gauge(const std::string& name, const std::string& help, const Labels& labels)
{
    return sample(Kind::Gauge, name, help, labels).gauge;
}

Latency& MetricsRegistry::latency(const std::string& name, const std::string& help, const Labels& labels)
{
    Sample& found = sample(Kind::Summary, name, help, labels);
    if (!found.latency)
        found.latency = std::make_unique<Latency>();
    return *found.latency;
}

void MetricsRegistry::printSample(
    std::string& out, Kind kind, const std::string& name, const Labels& labels, const Sample& sample)
{
    const auto end = std::back_inserter(out);
    switch (kind) {
    case Kind::Counter:
        fmt::format_to(end, "{}{} {}\n", name, printLabels(labels), sample.counter.value());
        return;
    case Kind::Gauge:
        fmt::format_to(end, "{}{} {}\n", name, printLabels(labels), sample.gauge.value());
        return;
    case Kind::Summary:
        fmt::format_to(end, "{}{} {}\n", name, withQuantile(labels, "0.5"), sample.latency->p50Seconds());
        fmt::format_to(end, "{}{} {}\n", name, withQuantile(labels, "0.99"), sample.latency->p99Seconds());
        fmt::format_to(end, "{}_sum{} {}\n", name, printLabels(labels), sample.latency->sumSeconds());
        fmt::format_to(end, "{}_count{} {}\n", name, printLabels(labels), sample.latency->count());
        return;
    }
}

std::string MetricsRegistry::page() const
{
    constexpr std::string_view kindNames[] = { "counter", "gauge", "summary" };
    std::string out;
    for (const auto& [name, family] : m_families) {
        fmt::format_to(std::back_inserter(out), "# HELP {} {}\n# TYPE {} {}\n", name, family.help, name,
            kindNames[static_cast<int>(family.kind)]);
        for (const auto& [labels, sample] : family.samples)
            printSample(out, family.kind, name, labels, sample);
    }
    return out;
}

} // namespace anvilmoor::telemetry
