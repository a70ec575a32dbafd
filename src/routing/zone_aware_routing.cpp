#include "routing/zone_aware_routing.h"

#include <algorithm>
#include <utility>

namespace anvilmoor {

namespace {

// A round trip over the link takes 2 * 3.5 ms; doubled for packet loss and for the higher price of the link.
constexpr Milliseconds linkCost { 14 };
// A lost answer leaves a non-idempotent request with an unknown outcome, so such a request waits longer for a
// slot in its own zone before it crosses a lossy link.
constexpr Milliseconds linkCostNonIdempotent { 100 };

constexpr Milliseconds initialBusyBackoff { 50 };
constexpr Milliseconds maxBusyBackoff { 400 };
// Contention ends after the daemon's own share of the slots has been sufficient for this long.
constexpr Seconds contentionHoldTime { 5 };
// Time from a refusal to the next call beyond the daemon's share. Long compared with a call, so that few
// calls are refused when all daemons are overloaded.
constexpr Seconds borrowingRetryDelay { 1 };
constexpr Milliseconds initialProbeBackoff { 500 };
constexpr Milliseconds maxProbeBackoff { 30'000 };
// A probe may fail, so idempotent requests are preferred as probes. If none arrives for this long after a
// probe is due, a non-idempotent request is used.
constexpr Seconds nonIdempotentProbeDelay { 5 };

} // namespace

ZoneAwareRouting::ZoneAwareRouting(const DaemonSettings& settings, const ConfigurationView& configuration,
    const EndpointDirectory& directory)
    : m_settings(settings)
    , m_configuration(configuration)
    , m_directory(directory)
{
}

ZoneAwareRouting::Pool& ZoneAwareRouting::syncedPool(const ServiceId& service, TimePoint now)
{
    const auto [entry, isNew] = m_pools.try_emplace(service);
    if (isNew || entry->second.generation != m_directory.generation())
        rebuild(entry->second, service, now);
    return entry->second;
}

void ZoneAwareRouting::rebuild(Pool& pool, const ServiceId& serviceId, TimePoint now)
{
    Pool fresh;
    fresh.generation = m_directory.generation();
    const Configuration* configuration = m_configuration.current();
    const ServiceConfiguration* service = configuration ? configuration->findService(serviceId) : nullptr;
    if (service)
        fresh.slots = std::max(0, std::min(service->slotsPerEndpoint, service->connectionsPerEndpoint));
    const std::span<const EndpointRecord> records = m_directory.endpoints(serviceId);
    fresh.outliers = pool.outliers;
    fresh.outliers.setEndpointCount(records.size());
    fresh.endpoints.reserve(records.size());
    fresh.indexes.reserve(records.size());
    std::map<AvailabilityZoneId, Index> zones;
    for (const EndpointRecord& record : records) {
        const auto [zone, isNew] = zones.try_emplace(record.zone, Index(fresh.zones.size()));
        if (isNew)
            fresh.zones.push_back(
                { record.zone, std::vector<std::vector<Index>>(fresh.slots + 1), 0, 0, {} });
        const auto index = Index(fresh.endpoints.size());
        fresh.indexes.emplace(record.id, index);
        Endpoint endpoint;
        const auto known = pool.indexes.find(record.id);
        if (known != pool.indexes.end())
            endpoint = pool.endpoints[known->second];
        endpoint.id = record.id;
        endpoint.zone = zone->second;
        endpoint.position = noPosition;
        endpoint.isParked = false;
        fresh.zones[endpoint.zone].inFlight += endpoint.inFlight;
        fresh.endpoints.push_back(std::move(endpoint));
        if (record.zone == m_settings.zone)
            fresh.ownZone = zone->second;
    }
    for (const Endpoint& old : pool.endpoints) {
        if (!fresh.indexes.contains(old.id))
            fresh.outliers.onEndpointRemoved(old.health);
    }
    fresh.share = shareOf(fresh.slots);
    fresh.contendedUntil = pool.contendedUntil;
    for (const Endpoint& endpoint : fresh.endpoints)
        fresh.zones[endpoint.zone].borrowing.inFlight += borrowedCalls(fresh, endpoint);
    for (const Zone& old : pool.zones) {
        const auto zone = std::ranges::find(fresh.zones, old.id, &Zone::id);
        if (zone == fresh.zones.end())
            continue;
        zone->borrowing.limit = old.borrowing.limit;
        zone->borrowing.notBefore = old.borrowing.notBefore;
    }
    pool = std::move(fresh);
    for (Index index = 0; index < pool.endpoints.size(); ++index) {
        if (isUsable(pool.endpoints[index], records[index].state, now))
            addToBucket(pool, index);
        else
            park(pool, index, records[index].state, now);
    }
}

bool ZoneAwareRouting::isUsable(const Endpoint& endpoint, EndpointState state, TimePoint now) const
{
    return state == EndpointState::Live && !endpoint.health.isEjected && now >= endpoint.busyUntil;
}

bool ZoneAwareRouting::mayProbe(const Endpoint& endpoint, EndpointState state, TimePoint now) const
{
    if (endpoint.inFlight > 0 || now < endpoint.busyUntil)
        return false;
    if (state == EndpointState::Suspect)
        return now >= endpoint.probeAt && (!endpoint.health.isEjected || now >= endpoint.health.ejectedUntil);
    return state == EndpointState::Live && OutlierDetector::mayProbe(endpoint.health, now);
}

void ZoneAwareRouting::addToBucket(Pool& pool, Index index)
{
    Endpoint& endpoint = pool.endpoints[index];
    removeFromBucket(pool, index);
    const int free = pool.slots - endpoint.inFlight;
    if (endpoint.isParked || free <= 0)
        return;
    Zone& zone = pool.zones[endpoint.zone];
    endpoint.bucket = free;
    endpoint.position = Index(zone.buckets[free].size());
    zone.buckets[free].push_back(index);
    zone.freeSlots += std::size_t(free);
}

void ZoneAwareRouting::removeFromBucket(Pool& pool, Index index)
{
    Endpoint& endpoint = pool.endpoints[index];
    if (endpoint.position == noPosition)
        return;
    Zone& zone = pool.zones[endpoint.zone];
    std::vector<Index>& bucket = zone.buckets[endpoint.bucket];
    const Index last = bucket.back();
    bucket[endpoint.position] = last;
    pool.endpoints[last].position = endpoint.position;
    bucket.pop_back();
    endpoint.position = noPosition;
    zone.freeSlots -= std::size_t(endpoint.bucket);
}

void ZoneAwareRouting::park(Pool& pool, Index index, EndpointState state, TimePoint now)
{
    Endpoint& endpoint = pool.endpoints[index];
    removeFromBucket(pool, index);
    if (state == EndpointState::Suspect && now >= endpoint.probeAt) {
        endpoint.probeBackoff = std::max(endpoint.probeBackoff, initialProbeBackoff);
        endpoint.probeAt = now + endpoint.probeBackoff;
    }
    if (endpoint.isParked)
        return;
    endpoint.isParked = true;
    pool.zones[endpoint.zone].inFlight -= endpoint.inFlight;
    pool.parked.push_back(index);
}

void ZoneAwareRouting::unpark(Pool& pool, Index index)
{
    Endpoint& endpoint = pool.endpoints[index];
    endpoint.isParked = false;
    pool.zones[endpoint.zone].inFlight += endpoint.inFlight;
    addToBucket(pool, index);
}

std::optional<ZoneAwareRouting::Index> ZoneAwareRouting::pickInZone(
    Pool& pool, Zone& zone, const Search& search)
{
    if (search.isBorrowing && !mayBorrow(zone, search.now))
        return {};
    for (int free = pool.slots; free >= search.minFreeSlots; --free) {
        std::vector<Index>& bucket = zone.buckets[free];
        std::size_t position = bucket.empty() ? 0 : search.random % bucket.size();
        std::size_t rejected = 0;
        while (rejected < bucket.size()) {
            position %= bucket.size();
            const Index index = bucket[position];
            if (std::ranges::find(search.avoided, pool.endpoints[index].id) != search.avoided.end()) {
                ++rejected;
                ++position;
                continue;
            }
            const EndpointState state = search.records[index].state;
            if (state == EndpointState::Live)
                return index;
            park(pool, index, state, search.now); // moves the bucket's last endpoint to this position
            rejected = 0;
        }
    }
    return {};
}

std::optional<ZoneAwareRouting::Index> ZoneAwareRouting::pickInOtherZones(Pool& pool, const Search& search)
{
    // There are few zones, so a scan finds the one with the most free slots.
    std::vector<bool> isTried(pool.zones.size(), false);
    while (true) {
        Index best = noPosition;
        for (Index zone = 0; zone < pool.zones.size(); ++zone) {
            if (zone == pool.ownZone || pool.zones[zone].freeSlots == 0 || isTried[zone])
                continue;
            if (best == noPosition || pool.zones[zone].freeSlots > pool.zones[best].freeSlots)
                best = zone;
        }
        if (best == noPosition)
            return {};
        if (const std::optional<Index> index = pickInZone(pool, pool.zones[best], search))
            return index;
        isTried[best] = true;
    }
}

std::optional<ZoneAwareRouting::Index> ZoneAwareRouting::pickEndpoint(Pool& pool, const Search& search)
{
    if (pool.ownZone != noPosition) {
        if (const auto index = pickInZone(pool, pool.zones[pool.ownZone], search))
            return index;
    }
    return search.mayCrossZones ? pickInOtherZones(pool, search) : std::nullopt;
}

// There are few avoided endpoints: at most one for each failed call of a request.
bool ZoneAwareRouting::hasOtherUsable(const Pool& pool, Avoided avoided)
{
    std::size_t usable = pool.endpoints.size() - pool.parked.size();
    for (const EndpointId& id : avoided) {
        const auto found = pool.indexes.find(id);
        if (found != pool.indexes.end() && !pool.endpoints[found->second].isParked)
            --usable;
    }
    return usable > 0;
}

std::optional<ZoneAwareRouting::Index> ZoneAwareRouting::takeProbe(
    Pool& pool, std::span<const EndpointRecord> records, bool isIdempotent, TimePoint now)
{
    for (std::size_t position = pool.probes.size(); position-- > 0;) {
        const Index index = pool.probes[position];
        const Endpoint& endpoint = pool.endpoints[index];
        const bool isStillDue = mayProbe(endpoint, records[index].state, now);
        const TimePoint due = records[index].state == EndpointState::Suspect ? endpoint.probeAt
                                                                             : endpoint.health.ejectedUntil;
        if (isStillDue && !isIdempotent && now < due + nonIdempotentProbeDelay)
            continue;
        pool.probes.erase(pool.probes.begin() + std::ptrdiff_t(position));
        if (isStillDue)
            return index;
    }
    return {};
}

EndpointId ZoneAwareRouting::occupySlot(Pool& pool, Index index)
{
    Endpoint& endpoint = pool.endpoints[index];
    const int borrowed = borrowedCalls(pool, endpoint);
    ++endpoint.inFlight;
    pool.zones[endpoint.zone].borrowing.inFlight += borrowedCalls(pool, endpoint) - borrowed;
    if (!endpoint.isParked)
        ++pool.zones[endpoint.zone].inFlight;
    addToBucket(pool, index);
    return endpoint.id;
}

// Returns the number of slots of one endpoint that this daemon may use during contention. The slots are
// divided evenly among the daemons of the zone, so that all shares fit; a share is at least one slot.
int ZoneAwareRouting::shareOf(int slots) const
{
    const auto peersInZone = std::ranges::count(m_settings.peers, m_settings.zone, &PeerSetting::zone);
    return std::min(slots, std::max(1, slots / int(peersInZone + 1)));
}

// Calls in flight beyond the daemon's share of the endpoint. The daemon has no share in other zones.
int ZoneAwareRouting::borrowedCalls(const Pool& pool, const Endpoint& endpoint)
{
    return endpoint.zone == pool.ownZone ? std::max(0, endpoint.inFlight - pool.share) : endpoint.inFlight;
}

bool ZoneAwareRouting::mayBorrow(const Zone& zone, TimePoint now)
{
    return now >= zone.borrowing.notBefore && zone.borrowing.inFlight < zone.borrowing.limit;
}

// Each successful call raises the limit by one, so each round of calls without a refusal doubles it.
void ZoneAwareRouting::onBorrowedCallEnded(const Pool& pool, Zone& zone, CallResult result)
{
    --zone.borrowing.inFlight;
    if (result == CallResult::Succeeded && zone.borrowing.inFlight < zone.borrowing.limit)
        zone.borrowing.limit = std::min(zone.borrowing.limit + 1, pool.slots * int(pool.endpoints.size()));
}

// A first refusal resets the borrowing limit of all zones to one call. During contention, a refusal resets
// only the zone of the refusing endpoint, because other zones may have free slots.
void ZoneAwareRouting::onCallRefused(Pool& pool, Zone& zone, TimePoint now)
{
    const auto resetBorrowing = [now](Zone& target) {
        target.borrowing.limit = 1;
        target.borrowing.notBefore = now + borrowingRetryDelay;
    };
    if (now >= pool.contendedUntil)
        std::ranges::for_each(pool.zones, resetBorrowing);
    resetBorrowing(zone);
    pool.contendedUntil = now + contentionHoldTime;
}

bool ZoneAwareRouting::isWorthCrossing(const RoutingQuery& query, const Pool& pool)
{
    // Slots become free at the rate at which the calls in flight end.
    const int inFlight = pool.ownZone == noPosition ? 0 : pool.zones[pool.ownZone].inFlight;
    if (inFlight <= 0)
        return true;
    const auto queued = Milliseconds::rep(query.queueAhead) + 1;
    return query.serviceTime * queued / inFlight > (query.isIdempotent ? linkCost : linkCostNonIdempotent);
}

std::optional<EndpointId> ZoneAwareRouting::choose(
    const RoutingQuery& query, TimePoint now, std::uint64_t random)
{
    Pool& pool = syncedPool(query.service, now);
    if (pool.slots == 0 || pool.endpoints.empty())
        return {};
    const std::span<const EndpointRecord> records = m_directory.endpoints(query.service);
    // A request that already failed once is not used as a probe, because a probe is likely to fail too.
    if (!pool.probes.empty() && query.avoided.empty()) {
        if (const std::optional<Index> probe = takeProbe(pool, records, query.isIdempotent, now))
            return occupySlot(pool, *probe);
    }
    const bool isContended = now < pool.contendedUntil;
    const bool isLimitedToShare = isContended && !m_settings.peers.empty() && pool.ownZone != noPosition
        && pool.zones[pool.ownZone].inFlight > 0;
    // After a failed call, the other endpoints of the own zone may be unreachable too, for example behind the
    // same switch, so the retry may cross zones.
    const bool isCrossingWorthwhile = !query.avoided.empty() || isWorthCrossing(query, pool);
    Search search { records, query.avoided, isContended ? pool.slots - pool.share + 1 : 1,
        isCrossingWorthwhile && (!isLimitedToShare || !query.avoided.empty()), false, now, random };
    if (const auto index = pickEndpoint(pool, search))
        return occupySlot(pool, *index);
    if (isLimitedToShare) {
        pool.contendedUntil = now + contentionHoldTime;
        if (const auto index
            = pickEndpoint(pool, { records, query.avoided, 1, isCrossingWorthwhile, true, now, random }))
            return occupySlot(pool, *index);
    }
    if (query.avoided.empty() || hasOtherUsable(pool, query.avoided))
        return {};
    search.avoided = {};
    if (const auto index = pickEndpoint(pool, search))
        return occupySlot(pool, *index);
    return {};
}

void ZoneAwareRouting::finish(
    const ServiceId& service, const EndpointId& id, CallResult result, TimePoint now)
{
    Pool& pool = syncedPool(service, now);
    const auto found = pool.indexes.find(id);
    if (found == pool.indexes.end())
        return;
    const Index index = found->second;
    Endpoint& endpoint = pool.endpoints[index];
    if (endpoint.inFlight > 0) {
        const int borrowed = borrowedCalls(pool, endpoint);
        --endpoint.inFlight;
        if (borrowed > 0)
            onBorrowedCallEnded(pool, pool.zones[endpoint.zone], result);
        if (!endpoint.isParked)
            --pool.zones[endpoint.zone].inFlight;
    }
    const EndpointState state = m_directory.endpoints(service)[index].state;
    if (result == CallResult::Busy) {
        onCallRefused(pool, pool.zones[endpoint.zone], now);
        endpoint.busyBackoff = std::clamp(endpoint.busyBackoff * 2, initialBusyBackoff, maxBusyBackoff);
        endpoint.busyUntil = now + endpoint.busyBackoff;
    }
    if (result == CallResult::Succeeded) {
        endpoint.busyBackoff = endpoint.probeBackoff = Milliseconds(0);
        pool.outliers.onCall(endpoint.health, false, now);
    }
    if (result == CallResult::Failed) {
        pool.outliers.onCall(endpoint.health, true, now);
        if (state == EndpointState::Suspect) {
            endpoint.probeBackoff
                = std::clamp(endpoint.probeBackoff * 2, initialProbeBackoff, maxProbeBackoff);
            endpoint.probeAt = now + endpoint.probeBackoff;
        }
    }
    if (endpoint.isParked)
        return;
    if (isUsable(endpoint, state, now))
        addToBucket(pool, index);
    else
        park(pool, index, state, now);
}

void ZoneAwareRouting::refresh(TimePoint now)
{
    for (auto& [service, stale] : m_pools) {
        Pool& pool = syncedPool(service, now);
        const std::span<const EndpointRecord> records = m_directory.endpoints(service);
        pool.probes.clear();
        std::vector<Index> parked;
        for (const Index index : pool.parked) {
            Endpoint& endpoint = pool.endpoints[index];
            if (isUsable(endpoint, records[index].state, now)) {
                unpark(pool, index);
                continue;
            }
            parked.push_back(index);
            if (mayProbe(endpoint, records[index].state, now))
                pool.probes.push_back(index);
        }
        pool.parked = std::move(parked);
    }
}

std::size_t ZoneAwareRouting::freeSlots(const ServiceId& service)
{
    const auto found = m_pools.find(service);
    if (found == m_pools.end() || found->second.ownZone == noPosition)
        return 0;
    return found->second.zones[found->second.ownZone].freeSlots;
}

std::size_t ZoneAwareRouting::ejectedCount(const ServiceId& service) const
{
    const auto found = m_pools.find(service);
    return found == m_pools.end() ? 0 : found->second.outliers.ejectedCount();
}

} // namespace anvilmoor
