#pragma once

#include <algorithm>

namespace anvilmoor {

// Token bucket that allows retries for a tenth of the requests, so that retries cannot multiply an overload.
class RetryBudget {
public:
    void onRequest() { m_tokens = std::min(m_tokens + tokensPerRequest, maxTokens); }

    // Consumes a token and returns true if a retry may be made now.
    bool takeRetry()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    static constexpr double tokensPerRequest = 0.1;
    static constexpr double maxTokens = 100;
    // Lets a daemon that has just started retry before it has seen many requests.
    static constexpr double initialTokens = 10;

    double m_tokens = initialTokens;
};

} // namespace anvilmoor
