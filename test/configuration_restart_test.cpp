#include "support/fault_matrix.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace anvilmoor::test {

// Guards against a return to an older version: a host dies after only it has put a new version in force, and
// restarts while the table is unreachable. It must not become ready with its neighbour's older version.
class ConfigurationRestartTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationRestartTest);
    CPPUNIT_TEST(testHostReplacedAfterAdoptionKeepsVersion);
    CPPUNIT_TEST(testHostKilledBeforePushKeepsVersion);
    CPPUNIT_TEST_SUITE_END();

public:
    void testHostReplacedAfterAdoptionKeepsVersion()
    {
        assertNoViolations("configuration/configuration adopted|host replaced&"
                           "configuration/configuration commit reply|table down#56339");
    }

    void testHostKilledBeforePushKeepsVersion()
    {
        assertNoViolations("configuration/configuration push|entry killed&"
                           "configuration/configuration poll reply|cut from both#71202");
    }

private:
    static void assertNoViolations(const std::string& cell)
    {
        std::string text;
        for (const std::string& violation : runCell(parseCell(cell)).violations)
            text += violation + "\n";
        CPPUNIT_ASSERT_EQUAL(std::string(), text);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationRestartTest);

} // namespace anvilmoor::test
