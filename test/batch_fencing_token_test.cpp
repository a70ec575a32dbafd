#include "batch/workers/fencing_token.h"

#include <cppunit/extensions/HelperMacros.h>
#include <limits>

namespace anvilmoor::batch {

class BatchFencingTokenTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchFencingTokenTest);
    CPPUNIT_TEST(testTokenRisesWithTheStartOfTheLifetime);
    CPPUNIT_TEST(testTokenOfNextEpochIsHigherForAnyLifetime);
    CPPUNIT_TEST(testTokenIsExactAsFloatingPointNumber);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::int64_t startedAtMs = 1'789'204'837'418;
    static constexpr std::int64_t latest = std::numeric_limits<std::int64_t>::max();

    static std::uint64_t tokenOf(std::uint64_t epoch, std::int64_t start)
    {
        return fencingTokenOf(epoch, { WorkerId("worker"), start });
    }

public:
    void testTokenRisesWithTheStartOfTheLifetime()
    {
        CPPUNIT_ASSERT(tokenOf(7, startedAtMs) < tokenOf(7, startedAtMs + 100));
    }

    void testTokenOfNextEpochIsHigherForAnyLifetime() { CPPUNIT_ASSERT(tokenOf(7, latest) < tokenOf(8, 0)); }

    void testTokenIsExactAsFloatingPointNumber()
    {
        constexpr std::uint64_t largestEpoch = (1U << 18U) - 1;
        CPPUNIT_ASSERT(tokenOf(largestEpoch, latest) < (std::uint64_t { 1 } << 53U));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchFencingTokenTest);

} // namespace anvilmoor::batch
