#pragma once

#include "entry/decision_engine.h"
#include "reducer/reducer.h"

#include <utility>
#include <vector>

namespace anvilmoor::entry {

// The decision engine of a production daemon, which uses the reducer.
class ReducerEngine final : public DecisionEngine {
public:
    ReducerEngine(const DaemonSettings& settings, ReducerPolicies policies)
        : m_reducer(settings, std::move(policies))
    {
    }

    void apply(const Event& event, std::vector<Effect>& effects) override { m_reducer.apply(event, effects); }
    const Configuration* configuration() const override { return m_reducer.configuration(); }

private:
    Reducer m_reducer;
};

} // namespace anvilmoor::entry
