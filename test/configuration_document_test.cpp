#include "configuration/configuration_document.h"
#include "configuration/declaration.h"

#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor {

namespace {

const std::string baseText = R"(
deployment = "test"
[worker]
accelerators = 8
idle_db = 30.0
accelerator_db = 40.0
throttled_accelerator_db = 34.0
[room]
limit_db = 62.0
lesson_hours = ["mon-fri 08:00-12:00"]
[zones.north]
region = "r"
racks = [{ id = "n1", workers = 8 }, { id = "n2", workers = 8 }]
[zones.south]
region = "r"
racks = [{ id = "s1", workers = 8 }]
[services.plan]
slots_per_endpoint = 8
connections_per_endpoint = 64
[services.plan.operations.quote]
idempotent = true
deadline = "2s"
[accounts.mill]
accelerator_quota = 128
guarantees = [{ name = "night", zone = "north", accelerators = 64, count = 1 }]
)";

// All problems of the declaration, one per line.
std::string problemsOf(const std::string& base, std::vector<DeclarationSource> overlays = {})
{
    std::string text;
    const auto append = [&text](const ConfigurationProblems& problems) {
        for (const ConfigurationProblem& problem : problems)
            text += problem.text() + "\n";
    };
    const auto merged = mergeDeclarations({ "base.toml", base }, overlays);
    if (!merged) {
        append(merged.error());
        return text;
    }
    const auto configuration = readConfiguration(merged->document);
    if (!configuration) {
        ConfigurationProblems problems = configuration.error();
        for (ConfigurationProblem& problem : problems)
            problem.file = merged->originOf(problem.field);
        append(problems);
    }
    return text;
}

std::string replaceFirst(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

void assertContains(const std::string& text, const std::string& part)
{
    CPPUNIT_ASSERT_MESSAGE("expected \"" + part + "\" in: " + text, text.find(part) != std::string::npos);
}

} // namespace

class ConfigurationDocumentTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationDocumentTest);
    CPPUNIT_TEST(testValidDeclarationExpandsRacksToWorkers);
    CPPUNIT_TEST(testUnknownFieldIsReportedWithFileAndPath);
    CPPUNIT_TEST(testDurationWithoutUnitIsRefused);
    CPPUNIT_TEST(testOverlayProblemNamesTheOverlay);
    CPPUNIT_TEST(testOverlayOutsideItsZoneIsRefused);
    CPPUNIT_TEST(testOverlayRepeatingBaseValueGivesWarning);
    CPPUNIT_TEST(testGuaranteesThatDoNotFitAtOnceAreRefused);
    CPPUNIT_TEST(testGuaranteesAboveLessonHoursCapacityAreRefused);
    CPPUNIT_TEST(testQuotaBelowGuaranteesIsRefused);
    CPPUNIT_TEST(testInvalidTomlIsReportedAsProblemWithoutException);
    CPPUNIT_TEST(testDocumentsOfWrongTypesAreReportedWithoutException);
    CPPUNIT_TEST_SUITE_END();

public:
    void testValidDeclarationExpandsRacksToWorkers()
    {
        const auto merged = mergeDeclarations({ "base.toml", baseText }, {});
        CPPUNIT_ASSERT(merged);
        const auto configuration = readConfiguration(merged->document);
        CPPUNIT_ASSERT_MESSAGE(problemsOf(baseText), configuration.has_value());
        const auto* zone = configuration->findZone(AvailabilityZoneId("north"));
        CPPUNIT_ASSERT_EQUAL(std::string("n2-w8"), zone->racks[1].workers[7].id.value());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 5 }, zone->room.lessonHours.size());
    }

    void testUnknownFieldIsReportedWithFileAndPath()
    {
        assertContains(problemsOf(replaceFirst(baseText, "accelerator_quota", "acelerator_quota")),
            "base.toml: accounts.mill.acelerator_quota: is not a known field");
    }

    void testDurationWithoutUnitIsRefused()
    {
        assertContains(problemsOf(replaceFirst(baseText, "\"2s\"", "2")),
            "base.toml: services.plan.operations.quote.deadline: must be a string with a unit");
    }

    void testOverlayProblemNamesTheOverlay()
    {
        assertContains(problemsOf(baseText, { { "site/south.toml", "[zones.south.room]\nlimit_db = -1" } }),
            "site/south.toml: zones.south.room.limit_db: must be a number from 0 to 200");
    }

    void testOverlayOutsideItsZoneIsRefused()
    {
        assertContains(problemsOf(baseText, { { "south.toml", "[zones.north.room]\nlimit_db = 50" } }),
            "south.toml: zones.north: an overlay may set fields below \"zones.south\" only");
    }

    void testOverlayRepeatingBaseValueGivesWarning()
    {
        const std::vector<DeclarationSource> overlays { { "south.toml", "[zones.south]\nregion = \"r\"" } };
        const auto merged = mergeDeclarations({ "base.toml", baseText }, overlays);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, merged->warnings.size());
    }

    // Guards against a check that only adds up accelerators: three shapes of 40 need 120 of 128 accelerators,
    // but each of the two racks has 64 and fits only one shape.
    void testGuaranteesThatDoNotFitAtOnceAreRefused()
    {
        const std::string text
            = replaceFirst(baseText, "accelerators = 64, count = 1", "accelerators = 40, count = 3");
        assertContains(
            problemsOf(text), "base.toml: zones.north.racks: the guarantees of the zone (mill: 3 x 40)");
    }

    void testGuaranteesAboveLessonHoursCapacityAreRefused()
    {
        assertContains(problemsOf(replaceFirst(baseText, "limit_db = 62.0", "limit_db = 50.0")),
            "zones.north.room.limit_db: in lesson hours the room allows");
    }

    void testQuotaBelowGuaranteesIsRefused()
    {
        assertContains(problemsOf(replaceFirst(baseText, "accelerator_quota = 128", "accelerator_quota = 8")),
            "accounts.mill.accelerator_quota: is 8, below the 64");
    }

    void testInvalidTomlIsReportedAsProblemWithoutException()
    {
        assertContains(problemsOf("deployment = \"x"), "base.toml: not valid TOML");
    }

    void testDocumentsOfWrongTypesAreReportedWithoutException()
    {
        const char* documents[] = { "", "[]", "3", R"({"zones":[1]})", R"({"zones":{"a":4}})",
            R"({"services":{"s":{"operations":{"o":[]}}}})", R"({"accounts":{"a":{"guarantees":[7]}}})",
            R"({"worker":{"cores":1e300}})", R"({"zones":{"a":{"racks":[{"id":4,"workers":-3}]}}})" };
        for (const char* document : documents)
            CPPUNIT_ASSERT(!readConfigurationText(document));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationDocumentTest);

} // namespace anvilmoor
