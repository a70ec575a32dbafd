#include "batch/leader/load_timeout.h"

#include <algorithm>

namespace anvilmoor::batch {

namespace {

constexpr Milliseconds maxLimit { 16'000 };
// Longer than any claim delays differ, so that daemons that have failed less often get their turn.
constexpr Milliseconds claimDelayPerExpiry { 1'000 };
constexpr int maxDelayedExpiries = 5;

} // namespace

void LoadTimeout::noteExpired()
{
    m_limit = std::min(m_limit * 2, maxLimit);
    ++m_expiries;
}

void LoadTimeout::noteLoaded()
{
    m_limit = initialLimit;
    m_expiries = 0;
}

Milliseconds LoadTimeout::claimDelay() const
{
    return claimDelayPerExpiry * std::min(m_expiries, maxDelayedExpiries);
}

} // namespace anvilmoor::batch
