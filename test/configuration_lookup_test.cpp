#include "anvilmoor/configuration.h"
#include "anvilmoor/effect.h"
#include "core/step.h"
#include "core/views.h"
#include "net/http.h"
#include "noise/noise_policy.h"
#include "placement/placement_policy.h"
#include "reclaim/reclaim_policy.h"

#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor {

class ConfigurationLookupTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationLookupTest);
    CPPUNIT_TEST(testOperationIsFoundByName);
    CPPUNIT_TEST(testUnknownServiceIsNull);
    CPPUNIT_TEST_SUITE_END();

public:
    void testOperationIsFoundByName()
    {
        ServiceConfiguration service;
        service.operations.push_back({ "rush-quote", true, 5, Milliseconds(2'000) });
        CPPUNIT_ASSERT(findOperation(service, "rush-quote"));
        CPPUNIT_ASSERT(!findOperation(service, "rush"));
    }

    void testUnknownServiceIsNull()
    {
        const Configuration configuration;
        CPPUNIT_ASSERT(!configuration.findService(ServiceId("none")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationLookupTest);

} // namespace anvilmoor
