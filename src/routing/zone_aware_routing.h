#pragma once

#include "core/views.h"
#include "routing/outlier_detector.h"
#include "routing/routing_policy.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace anvilmoor {

// Prefers the endpoint with the most free slots in the daemon's own zone. Uses another zone only if the own
// one is full and waiting costs more than crossing the link. Endpoints are kept in buckets by number of free
// slots, so that the cost of a choice does not depend on the number of endpoints.
//
// Endpoints refuse calls when all daemons together need more slots than exist (contention). The daemon then
// keeps to its share of the slots in its own zone until the share has been sufficient for some time. It
// borrows slots beyond the share: one call at a time at first, twice as many after each round without a
// refusal, so that slots unused by idle or dead daemons are not wasted.
class ZoneAwareRouting : public RoutingPolicy {
public:
    ZoneAwareRouting(const DaemonSettings&, const ConfigurationView&, const EndpointDirectory&);

    std::optional<EndpointId> choose(const RoutingQuery&, TimePoint now, std::uint64_t random) override;
    void finish(const ServiceId&, const EndpointId&, CallResult, TimePoint now) override;
    void refresh(TimePoint now) override;
    std::size_t freeSlots(const ServiceId&) override;

    // Number of currently ejected endpoints of the service.
    std::size_t ejectedCount(const ServiceId&) const;

private:
    using Index = std::uint32_t;
    static constexpr Index noPosition = ~Index(0);

    struct Endpoint {
        EndpointId id;
        Index zone = 0;
        int inFlight = 0;
        int bucket = 0; // number of free slots; valid if position is set
        Index position = noPosition; // in its bucket; noPosition if parked or full
        bool isParked = false; // unusable for a reason other than full slots
        EndpointHealth health;
        TimePoint busyUntil {}; // gets no calls until then after a refusal
        Milliseconds busyBackoff { 0 };
        TimePoint probeAt {}; // next probe if suspect
        Milliseconds probeBackoff { 0 };
    };

    // Calls beyond the daemon's share. In other zones, where the daemon has no share, all calls count.
    struct Borrowing {
        int inFlight = 0;
        int limit = 1; // most borrowed calls in flight during contention
        TimePoint notBefore {}; // earliest time of the next borrowed call
    };

    struct Zone {
        AvailabilityZoneId id;
        std::vector<std::vector<Index>> buckets; // by free slots
        std::size_t freeSlots = 0;
        int inFlight = 0; // calls to endpoints that are not parked
        Borrowing borrowing;
    };

    struct Pool {
        std::uint64_t generation = 0;
        int slots = 0; // per endpoint
        std::vector<Endpoint> endpoints; // in the order of the directory
        std::unordered_map<EndpointId, Index> indexes;
        std::vector<Zone> zones;
        Index ownZone = noPosition;
        std::vector<Index> parked;
        std::vector<Index> probes; // parked endpoints that are due for a probe
        OutlierDetector outliers;
        int share = 0; // slots of each endpoint in the own zone that this daemon may use during contention
        TimePoint contendedUntil {}; // end of contention unless it is extended
    };

    Pool& syncedPool(const ServiceId&, TimePoint now);
    void rebuild(Pool&, const ServiceId&, TimePoint now);
    bool isUsable(const Endpoint&, EndpointState, TimePoint now) const;
    bool mayProbe(const Endpoint&, EndpointState, TimePoint now) const;
    void addToBucket(Pool&, Index);
    void removeFromBucket(Pool&, Index);
    void park(Pool&, Index, EndpointState, TimePoint now);
    using Avoided = std::span<const EndpointId>;

    // Criteria of one search for an endpoint.
    struct Search {
        std::span<const EndpointRecord> records;
        Avoided avoided;
        int minFreeSlots = 1; // free slots that the endpoint must have
        bool mayCrossZones = false;
        bool isBorrowing = false;
        TimePoint now {};
        std::uint64_t random = 0;
    };

    static bool mayBorrow(const Zone&, TimePoint now);
    static void onCallRefused(Pool&, Zone&, TimePoint now);
    static void onBorrowedCallEnded(const Pool&, Zone&, CallResult);
    std::optional<Index> pickInZone(Pool&, Zone&, const Search&);
    std::optional<Index> pickInOtherZones(Pool&, const Search&);
    std::optional<Index> pickEndpoint(Pool&, const Search&);
    static bool hasOtherUsable(const Pool&, Avoided);
    std::optional<Index> takeProbe(Pool&, std::span<const EndpointRecord>, bool isIdempotent, TimePoint now);
    EndpointId occupySlot(Pool&, Index);
    void unpark(Pool&, Index);
    int shareOf(int slots) const;
    static int borrowedCalls(const Pool&, const Endpoint&);
    static bool isWorthCrossing(const RoutingQuery&, const Pool&);

    const DaemonSettings& m_settings;
    const ConfigurationView& m_configuration;
    const EndpointDirectory& m_directory;
    std::map<ServiceId, Pool> m_pools;
};

} // namespace anvilmoor
