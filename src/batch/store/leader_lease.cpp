#include "batch/store/leader_lease.h"

#include "batch/store/message_pack.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace anvilmoor::batch {

namespace {

// Of an epoch, a sequence number or a clock in milliseconds. Far below the limit of the type, so that neither
// the next number nor a sum overflows.
constexpr std::int64_t largestCounter = 1'000'000'000'000'000;

// Highest and lowest rate of the store's clock.
constexpr std::int64_t fastestPercent = 102;
constexpr std::int64_t slowestPercent = 98;

std::uint64_t counter(const nlohmann::json& value)
{
    return static_cast<std::uint64_t>(integerIn(value, 0, largestCounter));
}

nlohmann::json encodeLeaseEnds(const LeaseEnds& ends)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& [worker, endsBy] : ends)
        rows.push_back(nlohmann::json::array({ worker.id.value(), worker.startedAtMs, endsBy }));
    return rows;
}

LeaseEnds decodeLeaseEnds(const nlohmann::json& rows)
{
    LeaseEnds ends;
    for (const nlohmann::json& row : rows) {
        WorkerLifetime worker { WorkerId(row.at(0).get<std::string>()), row.at(1).get<std::int64_t>() };
        ends.emplace(std::move(worker), integerIn(row.at(2), 0, largestCounter));
    }
    return ends;
}

} // namespace

std::string encodeLease(const LeaseRecord& record)
{
    return toMessagePack(nlohmann::json::array(
        { record.holder, record.epoch, record.sequence, record.waitingJobs.byQueue, record.sentAt,
            record.waitingJobs.countedAt, record.leasesEndBy, encodeLeaseEnds(record.silentWorkers) }));
}

tl::expected<LeaseRecord, std::string> decodeLease(std::string_view bytes)
{
    try {
        // Rows written by earlier versions lack some of the last fields.
        const auto row = fromMessagePack(bytes);
        const auto clock = [&row](std::size_t field) {
            return row.size() > field ? integerIn(row.at(field), 0, largestCounter) : StoreClock { 0 };
        };
        WaitingJobs waiting { row.at(3).get<std::map<std::string, std::uint64_t>>(), clock(5) };
        return LeaseRecord { row.at(0).get<std::string>(), counter(row.at(1)), counter(row.at(2)),
            std::move(waiting), clock(4), clock(6),
            row.size() > 7 ? decodeLeaseEnds(row.at(7)) : LeaseEnds {} };
    } catch (const std::exception& error) {
        return tl::unexpected(fmt::format("cannot decode leader lease row: {}", error.what()));
    }
}

LeaderLease::LeaderLease(DaemonName ownName, Milliseconds claimDelay, Milliseconds workerLease)
    : m_name(std::move(ownName))
    , m_claimDelay(claimDelay)
    , m_workerLease(workerLease)
{
}

void LeaderLease::observe(const std::optional<Row>& row, TimePoint now, StoreClock answeredAt)
{
    m_storeClock.note(answeredAt, now);
    noteAnswer(now);
    const RowVersion version = row ? row->version : 0;
    // Answers to reads may arrive out of order.
    if (m_hasObserved && version <= m_version)
        return;
    m_hasObserved = true;
    m_version = version;
    m_changedAt = now;
    m_record = {};
    if (!row)
        return;
    // An unreadable row leaves the record without a holder, so that the lease can be claimed. Each epoch took
    // a transaction, so none exceeds the row's version.
    if (auto record = decodeLease(row->value))
        m_record = std::move(*record);
    else
        m_record.epoch = version;
    if (answeredAt && m_record.sentAt && answeredAt > m_record.sentAt)
        m_changedAt = now - Milliseconds(answeredAt - m_record.sentAt);
}

// A host runs only one daemon, so any other daemon process of this host has ended.
bool LeaderLease::isHeldByPredecessor() const
{
    return m_record.holder.starts_with(m_name.host + "/") && m_record.holder != m_name.text();
}

void LeaderLease::noteAnswer(TimePoint now)
{
    if (now >= m_answeredAt + storeContactTimeout)
        m_contactSince = now;
    m_answeredAt = now;
}

// After an outage of the store the lease has expired for all daemons. The claim delays then count from the
// time at which the store answered again.
bool LeaderLease::isFree(TimePoint now, Milliseconds additionalDelay) const
{
    const bool hasContact = now < m_answeredAt + storeContactTimeout;
    if (!m_hasObserved || m_isLeader || !hasContact)
        return false;
    const bool isReleased = m_record.holder.empty() || isHeldByPredecessor();
    const TimePoint endedAt = isReleased ? m_changedAt : m_changedAt + leaseDuration + leaseMargin;
    return now >= std::max(endedAt, m_contactSince) + m_claimDelay + additionalDelay;
}

LeaseRecord LeaderLease::next(WaitingJobs waitingJobs, TimePoint now) const
{
    const StoreClock sentAt = m_storeClock.at(now);
    if (m_isLeader)
        return { m_name.text(), m_record.epoch, m_record.sequence + 1, std::move(waitingJobs), sentAt,
            leasesEndBy(now), m_silentWorkers };
    // What the store's clock shows is not known well enough before the first commit.
    return { m_name.text(), m_record.epoch + 1, 0, m_record.waitingJobs, sentAt, 0, m_record.silentWorkers };
}

LeaseRecord LeaderLease::released(TimePoint now) const
{
    LeaseRecord record = next(m_record.waitingJobs, now);
    record.holder.clear();
    return record;
}

LeaseRecord LeaderLease::withCurrentSendTime(LeaseRecord record, TimePoint now) const
{
    record.sentAt = m_storeClock.at(now);
    if (m_isLeader)
        record.leasesEndBy = leasesEndBy(now);
    return record;
}

void LeaderLease::committed(const LeaseRecord& record, RowVersion version, TimePoint sentAt)
{
    if (!m_isLeader) {
        m_silentWorkers = record.silentWorkers;
        m_hasLaterLeases = false;
    }
    m_record = record;
    m_version = version;
    m_confirmedAt = sentAt;
    m_changedAt = sentAt;
    m_isLeader = record.holder == m_name.text();
}

void LeaderLease::noteStoreClock(StoreClock answeredAt, TimePoint sentAt, TimePoint now)
{
    if (!answeredAt)
        return;
    m_storeClock.note(answeredAt, now);
    m_storeReading = answeredAt;
    m_readingAskedAt = sentAt;
}

std::optional<TimePoint> LeaderLease::timeOf(StoreClock reading, TimePoint now) const
{
    const StoreClock earliest = m_storeClock.at(now);
    if (!reading || !earliest)
        return std::nullopt;
    return now + Milliseconds(std::max<StoreClock>(reading - earliest, 0) * 100 / slowestPercent + 1);
}

StoreClock LeaderLease::leasesEndBy(TimePoint now) const
{
    if (!m_storeReading || !m_workerLease.count() || m_hasLaterLeases)
        return 0;
    const Milliseconds sinceReading = now - m_readingAskedAt;
    return m_storeReading + (sinceReading + leaseDuration + m_workerLease).count() * fastestPercent / 100 + 1;
}

void LeaderLease::markLost() { m_isLeader = false; }

} // namespace anvilmoor::batch
