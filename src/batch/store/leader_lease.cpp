#include "batch/store/leader_lease.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace anvilmoor::batch {

std::string encodeLease(const LeaseRecord& record)
{
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_msgpack(
        nlohmann::json::array({ record.holder, record.epoch, record.sequence, record.waitingJobs }));
    return { bytes.begin(), bytes.end() };
}

tl::expected<LeaseRecord, std::string> decodeLease(std::string_view bytes)
{
    try {
        const auto row = nlohmann::json::from_msgpack(bytes.begin(), bytes.end());
        return LeaseRecord { row.at(0).get<std::string>(), row.at(1).get<std::uint64_t>(),
            row.at(2).get<std::uint64_t>(), row.at(3).get<std::map<std::string, std::uint64_t>>() };
    } catch (const nlohmann::json::exception& error) {
        return tl::unexpected(fmt::format("row of the leader's lease: {}", error.what()));
    }
}

LeaderLease::LeaderLease(std::string ownName, Milliseconds claimDelay)
    : m_ownName(std::move(ownName))
    , m_claimDelay(claimDelay)
{
}

void LeaderLease::observe(const std::optional<Row>& row, TimePoint now)
{
    const RowVersion version = row ? row->version : 0;
    // Reads may overtake each other.
    if (m_hasObserved && version <= m_version)
        return;
    m_hasObserved = true;
    m_version = version;
    m_changedAt = now;
    m_record = {};
    if (!row)
        return;
    // An unreadable row is claimed like one that has lapsed.
    if (auto record = decodeLease(row->value))
        m_record = std::move(*record);
}

bool LeaderLease::isFree(TimePoint now) const
{
    if (!m_hasObserved || m_isLeader)
        return false;
    if (m_record.holder.empty())
        return now >= m_changedAt + m_claimDelay;
    return now >= m_changedAt + leaseDuration + leaseMargin + m_claimDelay;
}

LeaseRecord LeaderLease::next(std::map<std::string, std::uint64_t> waitingJobs) const
{
    if (m_isLeader)
        return { m_ownName, m_record.epoch, m_record.sequence + 1, std::move(waitingJobs) };
    return { m_ownName, m_record.epoch + 1, 0, m_record.waitingJobs };
}

LeaseRecord LeaderLease::released() const
{
    LeaseRecord record = next(m_record.waitingJobs);
    record.holder.clear();
    return record;
}

void LeaderLease::committed(const LeaseRecord& record, RowVersion version, TimePoint sentAt)
{
    m_record = record;
    m_version = version;
    m_provenAt = sentAt;
    m_changedAt = sentAt;
    m_isLeader = record.holder == m_ownName;
}

void LeaderLease::lose() { m_isLeader = false; }

} // namespace anvilmoor::batch
