#include "support/test_cluster.h"
#include "support/test_document.h"

#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor::test {

// Runs requests, jobs, configuration changes and shutdown end to end without faults. Guards against modules
// that pass their own tests but do not work together.
class ClusterSmokeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ClusterSmokeTest);
    CPPUNIT_TEST(testRequestIsServedAndItsCopyAnsweredFromRecord);
    CPPUNIT_TEST(testGangRunsWholeAndFinishes);
    CPPUNIT_TEST(testConfigurationChangeIsInForceEverywhereWithinBound);
    CPPUNIT_TEST(testEveryDaemonStopsGracefully);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRequestIsServedAndItsCopyAnsweredFromRecord()
    {
        const auto owner = settled();
        TestCluster& cluster = *owner;
        const CallerHandle first = cluster.request(cluster.hosts()[0], "mill", "k1", "book");
        cluster.runFor(Milliseconds(2'000));
        const CallerHandle copy = cluster.request(cluster.hosts()[2], "mill", "k1", "book");
        cluster.runFor(Milliseconds(2'000));
        assertDone(cluster, first);
        assertDone(cluster, copy);
        CPPUNIT_ASSERT(cluster.caller(copy).answers.front().isFromRecord);
        assertClean(cluster);
    }

    void testGangRunsWholeAndFinishes()
    {
        const auto owner = settled();
        TestCluster& cluster = *owner;
        JobSpecification job;
        job.account = ClientAccountId("mill");
        job.key = "night-1";
        job.zone = AvailabilityZoneId("north");
        job.accelerators = 16;
        job.declaredRunTime = Milliseconds(10'000);
        const CallerHandle handle = cluster.submitJob(cluster.hosts()[2], job);
        CPPUNIT_ASSERT(
            cluster.runUntil([&] { return cluster.countEvents("job.running") == 1; }, Milliseconds(10'000)));
        CPPUNIT_ASSERT(
            cluster.runUntil([&] { return cluster.countEvents("job.finished") == 1; }, Milliseconds(20'000)));
        CPPUNIT_ASSERT(cluster.jobOf(handle).has_value());
        assertClean(cluster);
    }

    void testConfigurationChangeIsInForceEverywhereWithinBound()
    {
        const auto owner = settled();
        TestCluster& cluster = *owner;
        std::string document = testDocument();
        document.replace(document.find("58.0"), 4, "59.0");
        cluster.submitConfiguration(cluster.hosts()[1], document, 1);
        const bool isEverywhere = cluster.runUntil(
            [&] {
                bool result = true;
                for (const HostId& host : cluster.hosts())
                    result &= cluster.reducer(host).configuration()->version == 2;
                return result;
            },
            Milliseconds(3'000));
        CPPUNIT_ASSERT(isEverywhere);
        assertClean(cluster);
    }

    void testEveryDaemonStopsGracefully()
    {
        const auto owner = settled();
        TestCluster& cluster = *owner;
        const CallerHandle request = cluster.request(cluster.hosts()[0], "mill", "k1", "book");
        for (const HostId& host : cluster.hosts())
            cluster.shutDown(host);
        cluster.runFor(Milliseconds(20'000));
        assertDone(cluster, request);
        for (const HostId& host : cluster.hosts())
            CPPUNIT_ASSERT(cluster.hasStopped(host));
        assertClean(cluster);
    }

private:
    static std::unique_ptr<TestCluster> settled()
    {
        auto owner = std::make_unique<TestCluster>(TestClusterOptions {});
        TestCluster& cluster = *owner;
        const bool hasHolders = cluster.runUntil(
            [&] { return cluster.holderOf("north") && cluster.holderOf("south"); }, Milliseconds(30'000));
        CPPUNIT_ASSERT_MESSAGE("the role of at least one zone was not acquired within 30 s", hasHolders);
        cluster.runFor(Milliseconds(5'000));
        return owner;
    }

    static void assertDone(const TestCluster& cluster, CallerHandle handle)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, cluster.caller(handle).answers.size());
        const RequestAnswer& answer = cluster.caller(handle).answers.front();
        CPPUNIT_ASSERT_MESSAGE(answer.reason, answer.outcome == RequestOutcome::Done);
    }

    static void assertClean(const TestCluster& cluster)
    {
        std::string text;
        for (const std::string& violation : cluster.violations())
            text += violation + "\n";
        CPPUNIT_ASSERT_EQUAL(std::string(), text);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClusterSmokeTest);

} // namespace anvilmoor::test
