#include "routing/random_routing.h"
#include "routing/zone_aware_routing.h"
#include "support/request_site.h"

#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor {

class RoutingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RoutingTest);
    CPPUNIT_TEST(testCallsFillOwnZoneEvenlyBeforeOtherZones);
    CPPUNIT_TEST(testFullOwnZoneOverflowsOnlyIfWaitingCostsMoreThanLink);
    CPPUNIT_TEST(testLeavingEndpointImmediatelyGetsNoMoreCalls);
    CPPUNIT_TEST(testEndpointThatFailsFastAttractsNoCalls);
    CPPUNIT_TEST(testAtMostHalfOfEndpointsIsEjected);
    CPPUNIT_TEST(testFailuresCommonToAllEndpointsEjectAtMostOne);
    CPPUNIT_TEST(testEjectedEndpointThatFailsItsProbeIsEjectedForLonger);
    CPPUNIT_TEST(testSuspectEndpointIsProbedWithIdempotentRequestsFirst);
    CPPUNIT_TEST(testEndpointThatRefusedGetsNoCallsDuringBackoff);
    CPPUNIT_TEST(testRefusalLimitsDaemonToItsShareOfOwnZoneForFiveSeconds);
    CPPUNIT_TEST(testInsufficientShareAllowsOneBorrowedCallPerSecondAndZone);
    CPPUNIT_TEST(testShareOfIdlePeersIsBorrowedWithinTwoSeconds);
    CPPUNIT_TEST(testOtherZonesAreBorrowedFromWhileOwnZoneRefuses);
    CPPUNIT_TEST(testConfigurationChangeKeepsCallsInFlight);
    CPPUNIT_TEST(testConfigurationChangeKeepsBorrowedCallsCounted);
    CPPUNIT_TEST(testRetryAvoidsEveryEndpointThatFailedTheRequest);
    CPPUNIT_TEST(testRetryAfterFailuresInOwnZoneCrossesAndDoesNotProbe);
    CPPUNIT_TEST_SUITE_END();

    class Directory : public EndpointDirectory {
    public:
        std::span<const EndpointRecord> endpoints(const ServiceId&) const override { return records; }
        EndpointState workerState(const WorkerId&) const override { return EndpointState::Live; }
        std::uint64_t generation() const override { return currentGeneration; }

        void add(const char* zone, int count)
        {
            ++currentGeneration;
            for (int index = 0; index < count; ++index) {
                const WorkerId worker(std::string(zone) + std::to_string(index));
                records.push_back({ endpointId(ServiceId("intake"), worker), ServiceId("intake"), worker,
                    AvailabilityZoneId(zone), EndpointState::Live });
            }
        }

        std::vector<EndpointRecord> records;
        std::uint64_t currentGeneration = 0;
    };

    const ServiceId m_service { "intake" };
    DaemonSettings m_settings { HostId("entry-0"), AvailabilityZoneId("thumb"), {}, 1 };
    testing::FixedConfiguration m_configuration;
    Directory m_directory;
    TimePoint m_now { Seconds(10) };
    std::mt19937_64 m_random { 7 };

    std::optional<EndpointId> choose(RoutingPolicy& routing, bool isIdempotent = true,
        Milliseconds serviceTime = Milliseconds(100), std::size_t queueAhead = 0,
        std::span<const EndpointId> avoided = {})
    {
        return routing.choose(
            { m_service, isIdempotent, serviceTime, queueAhead, avoided }, m_now, m_random());
    }

    // Makes calls one at a time, each of which ends at once. Returns the number of failed calls.
    int callOneByOne(RoutingPolicy& routing, int calls, const std::function<bool(const EndpointId&)>& fails)
    {
        int failed = 0;
        for (int call = 0; call < calls; ++call) {
            m_now += Milliseconds(2);
            if (call % 25 == 0)
                routing.refresh(m_now);
            const std::optional<EndpointId> endpoint = choose(routing);
            CPPUNIT_ASSERT(endpoint);
            const bool isFailure = fails(*endpoint);
            failed += isFailure ? 1 : 0;
            routing.finish(
                m_service, *endpoint, isFailure ? CallResult::Failed : CallResult::Succeeded, m_now);
        }
        return failed;
    }

    // Two zones with two endpoints of 8 slots each. The daemon has one peer in its own zone and one in the
    // other zone.
    ZoneAwareRouting makeRoutingWithPeers()
    {
        m_settings.peers
            = { { HostId("entry-1"), m_settings.zone }, { HostId("entry-2"), AvailabilityZoneId("maumee") } };
        m_directory.add("thumb", 2);
        m_directory.add("maumee", 2);
        return ZoneAwareRouting(m_settings, m_configuration, m_directory);
    }

    void refuseCall(ZoneAwareRouting& routing, const EndpointId& endpoint)
    {
        routing.finish(m_service, endpoint, CallResult::Busy, m_now);
    }

    void advance(ZoneAwareRouting& routing, Milliseconds duration)
    {
        m_now += duration;
        routing.refresh(m_now);
    }

    // Makes calls until no endpoint can be chosen, with a queue long enough to justify crossing zones.
    std::vector<EndpointId> callUntilFull(ZoneAwareRouting& routing)
    {
        std::vector<EndpointId> called;
        while (const auto endpoint = choose(routing, true, Milliseconds(100), 100))
            called.push_back(*endpoint);
        return called;
    }

public:
    void setUp() override { m_configuration.configuration = testing::requestConfiguration({ "thumb" }, 0); }

    void testCallsFillOwnZoneEvenlyBeforeOtherZones()
    {
        m_directory.add("maumee", 4);
        m_directory.add("thumb", 4);
        ZoneAwareRouting routing(m_settings, m_configuration, m_directory);
        std::map<EndpointId, int> calls;
        for (int call = 0; call < 16; ++call)
            ++calls[*choose(routing)];
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), calls.size());
        for (const auto& [endpoint, count] : calls) {
            CPPUNIT_ASSERT(endpoint.value().starts_with("intake@thumb"));
            CPPUNIT_ASSERT_EQUAL(4, count);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(16), routing.freeSlots(m_service));
    }

    void testFullOwnZoneOverflowsOnlyIfWaitingCostsMoreThanLink()
    {
        m_directory.add("thumb", 4);
        m_directory.add("maumee", 4);
        ZoneAwareRouting routing(m_settings, m_configuration, m_directory);
        for (int call = 0; call < 32; ++call)
            CPPUNIT_ASSERT(choose(routing));
        // 100 ms / 32 calls in flight: a slot becomes free every 3 ms, while crossing the link costs 14 ms.
        CPPUNIT_ASSERT(!choose(routing));
        CPPUNIT_ASSERT(choose(routing, true, Milliseconds(100), 10)->value().starts_with("intake@maumee"));
        CPPUNIT_ASSERT(!choose(routing, false, Milliseconds(100), 10)); // a lost answer costs more
        CPPUNIT_ASSERT(choose(routing, false, Milliseconds(100), 100));
        // If no endpoint of the own zone is usable, waiting for one is pointless.
        for (EndpointRecord& record : m_directory.records) {
            if (record.zone == m_settings.zone)
                record.state = EndpointState::Lost;
        }
        ZoneAwareRouting other(m_settings, m_configuration, m_directory);
        CPPUNIT_ASSERT(choose(other, false));
    }

    void testLeavingEndpointImmediatelyGetsNoMoreCalls()
    {
        m_directory.add("thumb", 3);
        ZoneAwareRouting routing(m_settings, m_configuration, m_directory);
        CPPUNIT_ASSERT(choose(routing));
        m_directory.records[1].state = EndpointState::Leaving;
        for (int call = 0; call < 15; ++call)
            CPPUNIT_ASSERT(*choose(routing) != m_directory.records[1].id);
        CPPUNIT_ASSERT(!choose(routing));
    }

    void testEndpointThatFailsFastAttractsNoCalls()
    {
        m_directory.add("thumb", 16);
        const auto fails = [&](const EndpointId& endpoint) { return endpoint == m_directory.records[3].id; };
        ZoneAwareRouting routing(m_settings, m_configuration, m_directory);
        const int failures = callOneByOne(routing, 5'000, fails);
        RandomRouting random(m_configuration, m_directory);
        const int randomFailures = callOneByOne(random, 5'000, fails);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(failures), failures < 20);
        CPPUNIT_ASSERT(randomFailures > 200);
    }

    void testAtMostHalfOfEndpointsIsEjected()
    {
        m_directory.add("thumb", 10);
        ZoneAwareRouting routing(m_settings, m_configuration, m_directory);
        const auto fails = [&](const EndpointId& endpoint) {
            for (int index = 0; index < 4; ++index) {
                if (endpoint == m_directory.records[index].id)
                    return false;
            }
            return true;
        };
        callOneByOne(routing, 3'000, fails);
        CPPUNIT_ASSERT(routing.ejectedCount(m_service) <= 5);
        CPPUNIT_ASSERT(routing.ejectedCount(m_service) >= 3);
    }

    // Guards against malformed requests, which fail on every endpoint, ejecting all endpoints of a service.
    void testFailuresCommonToAllEndpointsEjectAtMostOne()
    {
        m_directory.add("thumb", 10);
        ZoneAwareRouting routing(m_settings, m_configuration, m_directory);
        int call = 0;
        callOneByOne(routing, 5'000, [&](const EndpointId&) {
            ++call;
            return call % 10 < call / 500;
        });
        CPPUNIT_ASSERT(routing.ejectedCount(m_service) <= 1);
    }

    void testEjectedEndpointThatFailsItsProbeIsEjectedForLonger()
    {
        OutlierDetector detector;
        detector.setEndpointCount(10);
        EndpointHealth health;
        for (int call = 0; call < 5; ++call)
            detector.onCall(health, true, m_now);
        CPPUNIT_ASSERT(health.isEjected);
        CPPUNIT_ASSERT(!OutlierDetector::mayProbe(health, m_now + Milliseconds(999)));
        m_now += Seconds(1);
        CPPUNIT_ASSERT(OutlierDetector::mayProbe(health, m_now));
        detector.onCall(health, true, m_now);
        CPPUNIT_ASSERT(!OutlierDetector::mayProbe(health, m_now + Milliseconds(1'999)));
        m_now += Seconds(2);
        detector.onCall(health, false, m_now);
        CPPUNIT_ASSERT(!health.isEjected);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), detector.ejectedCount());
    }

    void testSuspectEndpointIsProbedWithIdempotentRequestsFirst()
    {
        m_directory.add("thumb", 2);
        m_directory.records[0].state = EndpointState::Suspect;
        const EndpointId suspect = m_directory.records[0].id;
        ZoneAwareRouting routing(m_settings, m_configuration, m_directory);
        CPPUNIT_ASSERT(*choose(routing) != suspect);
        m_now += Milliseconds(600);
        routing.refresh(m_now);
        CPPUNIT_ASSERT(*choose(routing, false) != suspect);
        CPPUNIT_ASSERT(*choose(routing) == suspect);
        routing.refresh(m_now);
        CPPUNIT_ASSERT(*choose(routing) != suspect); // one at a time
        routing.finish(m_service, suspect, CallResult::Failed, m_now);
        routing.refresh(m_now);
        CPPUNIT_ASSERT(*choose(routing) != suspect); // the next probe is delayed after a failed one
        m_now += Seconds(31);
        routing.refresh(m_now);
        CPPUNIT_ASSERT(*choose(routing, false) == suspect); // no idempotent request arrived to probe with
        m_directory.records[0].state = EndpointState::Live;
        routing.finish(m_service, suspect, CallResult::Succeeded, m_now);
        routing.refresh(m_now);
        CPPUNIT_ASSERT(*choose(routing) == suspect); // has the most free slots
    }

    void testEndpointThatRefusedGetsNoCallsDuringBackoff()
    {
        m_directory.add("thumb", 1);
        ZoneAwareRouting routing(m_settings, m_configuration, m_directory);
        const EndpointId endpoint = *choose(routing);
        routing.finish(m_service, endpoint, CallResult::Busy, m_now);
        CPPUNIT_ASSERT(!choose(routing));
        m_now += Milliseconds(50);
        routing.refresh(m_now);
        CPPUNIT_ASSERT(choose(routing));
    }

    // Guards against a request that is retried on the same unreachable endpoints until its calls are used up.
    void testRetryAvoidsEveryEndpointThatFailedTheRequest()
    {
        m_directory.add("thumb", 4);
        ZoneAwareRouting routing(m_settings, m_configuration, m_directory);
        std::vector<EndpointId> failed;
        for (std::size_t index = 0; index < 3; ++index)
            failed.push_back(m_directory.records[index].id);
        const EndpointId& last = m_directory.records[3].id;
        for (int call = 0; call < 8; ++call)
            CPPUNIT_ASSERT(choose(routing, true, Milliseconds(100), 0, failed) == last);
        CPPUNIT_ASSERT(!choose(routing, true, Milliseconds(100), 0, failed)); // the request waits for a slot
        failed.push_back(last);
        CPPUNIT_ASSERT(choose(routing, true, Milliseconds(100), 0, failed)); // no other endpoint is left
    }

    // Guards against an unknown outcome when no endpoint of the own zone answers, although another zone's
    // endpoints do.
    void testRetryAfterFailuresInOwnZoneCrossesAndDoesNotProbe()
    {
        m_directory.add("thumb", 2);
        m_directory.add("maumee", 2);
        ZoneAwareRouting routing(m_settings, m_configuration, m_directory);
        const std::vector<EndpointId> failed { m_directory.records[0].id, m_directory.records[1].id };
        const auto isInOtherZone = [](const std::optional<EndpointId>& endpoint) {
            return endpoint && endpoint->value().starts_with("intake@maumee");
        };
        CPPUNIT_ASSERT(isInOtherZone(choose(routing, true, Milliseconds(100), 0, failed)));
        m_directory.records[0].state = EndpointState::Suspect;
        ++m_directory.currentGeneration;
        CPPUNIT_ASSERT(choose(routing));
        m_now += Seconds(40);
        routing.refresh(m_now); // a probe of the suspect endpoint is due
        CPPUNIT_ASSERT(isInOtherZone(choose(routing, true, Milliseconds(100), 0, failed)));
        CPPUNIT_ASSERT(choose(routing) == m_directory.records[0].id);
    }

    // Guards against daemons of one zone that keep competing for the same slots, so that endpoints keep
    // refusing calls.
    void testRefusalLimitsDaemonToItsShareOfOwnZoneForFiveSeconds()
    {
        ZoneAwareRouting routing = makeRoutingWithPeers();
        refuseCall(routing, *choose(routing));
        advance(routing, Milliseconds(50));
        std::map<EndpointId, int> calls;
        for (const EndpointId& endpoint : callUntilFull(routing))
            ++calls[endpoint];
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), calls.size());
        for (const auto& [endpoint, count] : calls) {
            CPPUNIT_ASSERT(endpoint.value().starts_with("intake@thumb"));
            CPPUNIT_ASSERT_EQUAL(4, count); // half of 8 slots, shared by two daemons
        }
        advance(routing, Seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(8 + 16), callUntilFull(routing).size());
    }

    // Guards against a burst of refusals, followed by a second without calls, each time contention ends while
    // the load is still too high.
    void testInsufficientShareAllowsOneBorrowedCallPerSecondAndZone()
    {
        ZoneAwareRouting routing = makeRoutingWithPeers();
        refuseCall(routing, *choose(routing));
        advance(routing, Milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), callUntilFull(routing).size());
        std::size_t borrowedCalls = 0;
        for (int step = 0; step < 100; ++step) {
            advance(routing, Milliseconds(100));
            const std::vector<EndpointId> borrowed = callUntilFull(routing);
            CPPUNIT_ASSERT(borrowed.size() <= 2);
            borrowedCalls += borrowed.size();
            for (const EndpointId& endpoint : borrowed)
                refuseCall(routing, endpoint);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(borrowedCalls), borrowedCalls >= 10 && borrowedCalls <= 20);
    }

    // Guards against slots that stay unused because they are reserved for a daemon that is dead or idle.
    void testShareOfIdlePeersIsBorrowedWithinTwoSeconds()
    {
        ZoneAwareRouting routing = makeRoutingWithPeers();
        refuseCall(routing, *choose(routing));
        std::vector<EndpointId> inFlight;
        for (int step = 0; step < 20; ++step) {
            advance(routing, Milliseconds(100));
            for (const EndpointId& endpoint : inFlight)
                routing.finish(m_service, endpoint, CallResult::Succeeded, m_now);
            inFlight = callUntilFull(routing);
            CPPUNIT_ASSERT(step >= 8 || inFlight.size() == 8);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(32), inFlight.size()); // all slots of both zones
        const auto inOwnZone = std::ranges::count_if(
            inFlight, [](const EndpointId& id) { return id.value().starts_with("intake@thumb"); });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(16), inOwnZone);
        // One refusal resets the borrowing limit of that zone.
        CPPUNIT_ASSERT(inFlight.back().value().starts_with("intake@maumee"));
        refuseCall(routing, inFlight.back());
        inFlight.pop_back();
        for (const EndpointId& endpoint : inFlight)
            routing.finish(m_service, endpoint, CallResult::Succeeded, m_now);
        advance(routing, Milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t(16), callUntilFull(routing).size());
    }

    // Guards against idle endpoints in other zones while the daemon that has most of the load is refused in
    // its own zone.
    void testOtherZonesAreBorrowedFromWhileOwnZoneRefuses()
    {
        ZoneAwareRouting routing = makeRoutingWithPeers();
        refuseCall(routing, *choose(routing));
        std::vector<EndpointId> inFlight;
        for (int step = 0; step < 40; ++step) {
            advance(routing, Milliseconds(100));
            std::map<EndpointId, int> calls;
            for (const EndpointId& endpoint : inFlight) {
                const bool isFull = endpoint.value().starts_with("intake@thumb") && ++calls[endpoint] > 4;
                routing.finish(m_service, endpoint, isFull ? CallResult::Busy : CallResult::Succeeded, m_now);
            }
            inFlight = callUntilFull(routing);
        }
        const auto inOtherZone = std::ranges::count_if(
            inFlight, [](const EndpointId& id) { return id.value().starts_with("intake@maumee"); });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(16), inOtherZone); // all slots of that zone
    }

    // Guards against a borrowing limit that is forgotten, or stays exhausted forever, after endpoints are
    // added or removed.
    void testConfigurationChangeKeepsBorrowedCallsCounted()
    {
        ZoneAwareRouting routing = makeRoutingWithPeers();
        refuseCall(routing, *choose(routing));
        advance(routing, Seconds(1));
        std::vector<EndpointId> inFlight = callUntilFull(routing);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8 + 2), inFlight.size()); // one borrowed call in each zone
        ++m_directory.currentGeneration;
        CPPUNIT_ASSERT(callUntilFull(routing).empty());
        routing.finish(m_service, inFlight.back(), CallResult::Succeeded, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), callUntilFull(routing).size());
    }

    void testConfigurationChangeKeepsCallsInFlight()
    {
        m_directory.add("thumb", 1);
        ZoneAwareRouting routing(m_settings, m_configuration, m_directory);
        const EndpointId first = *choose(routing);
        m_directory.add("a", 1);
        std::swap(m_directory.records[0], m_directory.records[1]);
        m_directory.records[0].zone = m_settings.zone;
        for (int call = 0; call < 15; ++call)
            CPPUNIT_ASSERT(choose(routing));
        CPPUNIT_ASSERT(!choose(routing));
        routing.finish(m_service, first, CallResult::Succeeded, m_now);
        CPPUNIT_ASSERT(*choose(routing) == first);
        routing.finish(m_service, EndpointId("intake@unknown"), CallResult::Failed, m_now);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);

} // namespace anvilmoor
