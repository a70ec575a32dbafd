#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

namespace anvilmoor {

// Start-time fair queueing over numbered flows: each flow is served in proportion to its weight while it has
// work. Service that idle flows do not use is divided among the others.
class FairOrder {
public:
    using Flow = std::uint32_t;

    // Flows are numbered 0, 1, 2...
    Flow addFlow(double weight)
    {
        m_flows.push_back({ std::max(weight, minWeight), m_virtualTime, false });
        return Flow(m_flows.size() - 1);
    }

    void setWeight(Flow flow, double weight) { m_flows[flow].weight = std::max(weight, minWeight); }

    // Marks the flow as having work.
    void activate(Flow flow)
    {
        State& state = m_flows[flow];
        if (state.isActive)
            return;
        state.isActive = true;
        m_activeWeight += state.weight;
        // A flow gets no credit for the time in which it was idle.
        state.start = std::max(state.start, m_virtualTime);
        m_active.insert({ state.start, flow });
    }

    // Marks the flow as having no work.
    void deactivate(Flow flow)
    {
        State& state = m_flows[flow];
        if (!state.isActive)
            return;
        state.isActive = false;
        m_activeWeight -= state.weight;
        m_active.erase({ state.start, flow });
    }

    bool hasActive() const { return !m_active.empty(); }
    Flow next() const { return m_active.begin()->second; }

    // Charges the flow for service of this cost. Precondition: the flow is active.
    void charge(Flow flow, double cost)
    {
        State& state = m_flows[flow];
        m_active.erase({ state.start, flow });
        m_virtualTime = std::max(m_virtualTime, state.start);
        state.start += cost / state.weight;
        m_active.insert({ state.start, flow });
    }

    // The fraction of the service that the flow gets, or would get if it were active, in (0, 1].
    double fraction(Flow flow) const
    {
        const State& state = m_flows[flow];
        const double others = state.isActive ? m_activeWeight - state.weight : m_activeWeight;
        return state.weight / (state.weight + std::max(others, 0.0));
    }

    double weight(Flow flow) const { return m_flows[flow].weight; }
    std::size_t size() const { return m_flows.size(); }

private:
    static constexpr double minWeight = 0.001;

    struct State {
        double weight = 1;
        double start = 0; // virtual start time of the next work of the flow
        bool isActive = false;
    };

    std::vector<State> m_flows;
    std::set<std::pair<double, Flow>> m_active;
    double m_virtualTime = 0;
    double m_activeWeight = 0;
};

} // namespace anvilmoor
