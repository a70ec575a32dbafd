#include "role/zone_role.h"

#include "core/table_rows.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace anvilmoor {

namespace {

using Json = nlohmann::json;

constexpr Milliseconds pollInterval { 1'000 };
constexpr Milliseconds retryDelay { 250 };
constexpr std::uint64_t maxRandomDelayMs = 500;
// The table client replies to each operation well before this time-out. After it, the reply counts as lost.
constexpr Milliseconds operationTimeout { 10'000 };

} // namespace

ZoneRole::ZoneRole(const DaemonSettings& settings, const PeerDirectory& peers)
    : m_settings(settings)
    , m_peers(peers)
    , m_ownerKey("role/" + settings.zone.value() + "/owner")
    , m_heartbeatKey("role/" + settings.zone.value() + "/heartbeat")
{
}

void ZoneRole::handle(const Started&, Step& step)
{
    m_lastReplyAt = step.now;
    m_nextAction = step.now + randomDelay(step);
}

void ZoneRole::handle(const Tick&, Step& step)
{
    if (m_phase == Phase::Released)
        return;
    if (m_phase == Phase::Releasing && step.now >= m_releaseDeadline) {
        finishRelease(step);
        return;
    }
    if (m_operation != OperationKind::None) {
        if (step.now - m_operationSentAt < operationTimeout)
            return;
        TableReplied lostReply { { ModuleId::Role, m_sequence }, { TableStatus::Unknown, {} } };
        handle(lostReply, step);
        return;
    }
    if (step.now < m_nextAction)
        return;
    if (m_mustRead || m_phase == Phase::Standby) {
        read(step);
        return;
    }
    if (m_phase == Phase::Releasing)
        sendRelease(step);
    else
        renew(step);
}

void ZoneRole::handle(const TableReplied& replied, Step& step)
{
    const bool isExpected = replied.operation.module == ModuleId::Role
        && replied.operation.sequence == m_sequence && m_operation != OperationKind::None;
    if (!isExpected)
        return;
    const OperationKind kind = m_operation;
    m_operation = OperationKind::None;
    if (m_phase == Phase::Released)
        return;
    const TableReply& reply = replied.reply;
    if (reply.status == TableStatus::Ok || reply.status == TableStatus::Conflict)
        m_lastReplyAt = step.now;
    switch (kind) {
    case OperationKind::Read:
        return onReadReply(reply, step);
    case OperationKind::TakeOver:
        return onTakeOverReply(reply, step);
    case OperationKind::Renew:
        return onRenewReply(reply, step);
    case OperationKind::Release:
        return onReleaseReply(reply, step);
    case OperationKind::None:
        return;
    }
}

void ZoneRole::release(Step& step)
{
    if (m_phase == Phase::Released || m_phase == Phase::Releasing)
        return;
    if (m_phase == Phase::Standby && m_operation != OperationKind::TakeOver && !m_mustRead) {
        m_phase = Phase::Released;
        return;
    }
    m_phase = Phase::Releasing;
    m_releaseDeadline = step.now + roleUseTimeout;
    m_nextAction = step.now;
    if (m_operation == OperationKind::None && !m_mustRead)
        sendRelease(step);
}

std::optional<HeldRole> ZoneRole::held(TimePoint now) const
{
    if (m_phase != Phase::Held || now - m_lastRenewalSentAt > roleUseTimeout)
        return std::nullopt;
    return HeldRole { m_owner.token, m_ownerVersion };
}

bool ZoneRole::isCaretaker(TimePoint now) const
{
    const bool isParticipating = m_phase == Phase::Standby || m_phase == Phase::Held;
    if (!isParticipating || held(now) || now - m_lastReplyAt < platformSilenceTimeout)
        return false;
    const auto peers = m_peers.peers();
    return std::none_of(peers.begin(), peers.end(), [this](const PeerStatus& peer) {
        return peer.isReachable && peer.heldToken && peer.zone == m_settings.zone;
    });
}

void ZoneRole::send(OperationKind kind, Effect effect, Step& step)
{
    m_operation = kind;
    m_operationSentAt = step.now;
    step.emit(std::move(effect));
}

void ZoneRole::read(Step& step)
{
    const OperationId id { ModuleId::Role, ++m_sequence };
    send(OperationKind::Read, ReadTable { id, { { m_ownerKey, m_heartbeatKey }, {} } }, step);
}

void ZoneRole::takeOver(Step& step)
{
    TableTransaction transaction;
    transaction.conditions = { { m_ownerKey, m_ownerVersion }, { m_heartbeatKey, m_heartbeatVersion } };
    transaction.writes
        = { { m_ownerKey, ownerValue(m_owner.token + 1, false) }, { m_heartbeatKey, heartbeatValue() } };
    const OperationId id { ModuleId::Role, ++m_sequence };
    send(OperationKind::TakeOver, ExecuteTransaction { id, std::move(transaction) }, step);
}

void ZoneRole::renew(Step& step)
{
    TableTransaction transaction;
    transaction.conditions = { { m_ownerKey, m_ownerVersion } };
    transaction.writes = { { m_heartbeatKey, heartbeatValue() } };
    const OperationId id { ModuleId::Role, ++m_sequence };
    send(OperationKind::Renew, ExecuteTransaction { id, std::move(transaction) }, step);
}

void ZoneRole::sendRelease(Step& step)
{
    TableTransaction transaction;
    transaction.conditions = { { m_ownerKey, m_ownerVersion } };
    transaction.writes = { { m_ownerKey, ownerValue(m_owner.token, true) } };
    const OperationId id { ModuleId::Role, ++m_sequence };
    send(OperationKind::Release, ExecuteTransaction { id, std::move(transaction) }, step);
}

void ZoneRole::finishRelease(Step& step)
{
    m_phase = Phase::Released;
    step.record(
        "role.released", { { "zone", m_settings.zone.value() }, { "token", std::to_string(m_owner.token) } });
}

void ZoneRole::onReadReply(const TableReply& reply, Step& step)
{
    if (reply.status != TableStatus::Ok) {
        m_nextAction = step.now + retryDelay;
        return;
    }
    m_mustRead = false;
    recordRows(reply, step);
}

void ZoneRole::recordRows(const TableReply& reply, Step& step)
{
    const RowVersion ownerBefore = m_ownerVersion;
    const RowVersion heartbeatBefore = m_heartbeatVersion;
    m_ownerVersion = 0;
    m_heartbeatVersion = 0;
    m_observedHeartbeatSequence = 0;
    Owner owner;
    if (const TableRow* row = findPresentRow(reply, m_ownerKey)) {
        m_ownerVersion = row->version;
        const Json json = Json::parse(row->value, nullptr, false);
        if (json.is_object()) {
            try {
                owner.holder = json.value("holder", std::string());
                owner.incarnation = json.value("incarnation", std::uint64_t { 0 });
                owner.token = json.value("token", FencingToken { 0 });
                owner.isReleased = json.value("released", false);
            } catch (const Json::exception&) {
                // A row with fields of an unexpected type was not written by this daemon. The role then
                // becomes free only when the lease expires.
                owner.holder.clear();
            }
        }
    }
    if (const TableRow* row = findPresentRow(reply, m_heartbeatKey)) {
        m_heartbeatVersion = row->version;
        const Json json = Json::parse(row->value, nullptr, false);
        try {
            if (json.is_object() && json.value("incarnation", std::uint64_t { 0 }) == m_settings.incarnation)
                m_observedHeartbeatSequence = json.value("sequence", std::uint64_t { 0 });
        } catch (const Json::exception&) {
            m_observedHeartbeatSequence = 0;
        }
    }
    // The token never decreases, even if the row is damaged.
    owner.token = std::max(owner.token, m_owner.token);
    const bool isUnchanged
        = m_hasObserved && ownerBefore == m_ownerVersion && heartbeatBefore == m_heartbeatVersion;
    if (!isUnchanged) {
        m_unchangedSince = step.now;
        m_takeOverDelay = randomDelay(step);
    }
    m_hasObserved = true;

    const bool wasHolder = m_phase == Phase::Held || m_phase == Phase::Releasing;
    if (wasHolder && ownerBefore && ownerBefore == m_ownerVersion && isThisDaemon(owner)) {
        m_owner = owner;
        if (m_observedHeartbeatSequence && m_observedHeartbeatSequence == m_heartbeatSequence)
            m_lastRenewalSentAt = std::max(m_lastRenewalSentAt, m_unconfirmedSentAt);
        m_nextAction = step.now;
        return;
    }
    m_owner = owner;
    if (m_phase == Phase::Releasing && isThisDaemon(owner) && !owner.isReleased) {
        m_nextAction = step.now;
        return;
    }
    if (m_phase == Phase::Releasing) {
        finishRelease(step);
        return;
    }
    if (m_phase == Phase::Held)
        onRoleLost("another daemon took over the role", step);
    takeOverOrWait(m_operationSentAt, step);
}

void ZoneRole::takeOverOrWait(TimePoint readSentAt, Step& step)
{
    // The row shows a takeover by this daemon whose reply was lost.
    if (isThisDaemon(m_owner) && !m_owner.isReleased) {
        onRoleAcquired(m_unconfirmedSentAt, step);
        return;
    }
    const bool isFree = !m_ownerVersion || m_owner.isReleased;
    const bool hasExpired = readSentAt - m_unchangedSince >= roleExpiryTimeout;
    if (isFree || hasExpired) {
        takeOver(step);
        return;
    }
    const TimePoint takeOverTime = m_unchangedSince + roleExpiryTimeout + m_takeOverDelay;
    m_nextAction = std::min(step.now + pollInterval, std::max(takeOverTime, step.now + tickInterval));
}

void ZoneRole::onTakeOverReply(const TableReply& reply, Step& step)
{
    if (reply.status == TableStatus::Ok) {
        const TableRow* owner = findPresentRow(reply, m_ownerKey);
        const TableRow* heartbeat = findPresentRow(reply, m_heartbeatKey);
        if (owner && heartbeat) {
            m_ownerVersion = owner->version;
            m_heartbeatVersion = heartbeat->version;
            ++m_owner.token;
            const bool isReleasing = m_phase == Phase::Releasing;
            onRoleAcquired(m_operationSentAt, step);
            if (isReleasing) {
                m_phase = Phase::Releasing;
                sendRelease(step);
            }
            return;
        }
    }
    if (reply.status == TableStatus::Unavailable && m_phase == Phase::Releasing) {
        finishRelease(step);
        return;
    }
    if (reply.status == TableStatus::Unknown || reply.status == TableStatus::Ok)
        m_unconfirmedSentAt = m_operationSentAt;
    m_mustRead = reply.status != TableStatus::Unavailable;
    m_nextAction = step.now + (reply.status == TableStatus::Unavailable ? pollInterval : Milliseconds(0));
}

void ZoneRole::onRenewReply(const TableReply& reply, Step& step)
{
    switch (reply.status) {
    case TableStatus::Ok:
        m_lastRenewalSentAt = std::max(m_lastRenewalSentAt, m_operationSentAt);
        m_nextAction = m_phase == Phase::Releasing ? step.now : m_operationSentAt + roleRenewalInterval;
        return;
    case TableStatus::Conflict:
        // The transaction's only condition is the version of the owner row, so another daemon has written it.
        if (m_phase == Phase::Releasing) {
            finishRelease(step);
            return;
        }
        onRoleLost("another daemon took over the role", step);
        return;
    case TableStatus::Unavailable:
        m_nextAction = step.now + retryDelay;
        return;
    case TableStatus::Unknown:
        m_unconfirmedSentAt = m_operationSentAt;
        m_mustRead = true;
        m_nextAction = step.now;
        return;
    }
}

void ZoneRole::onReleaseReply(const TableReply& reply, Step& step)
{
    if (reply.status == TableStatus::Ok || reply.status == TableStatus::Conflict) {
        finishRelease(step);
        return;
    }
    m_mustRead = reply.status == TableStatus::Unknown;
    m_nextAction = step.now + retryDelay;
}

void ZoneRole::onRoleAcquired(TimePoint sentAt, Step& step)
{
    m_owner.holder = m_settings.host.value();
    m_owner.incarnation = m_settings.incarnation;
    m_owner.isReleased = false;
    m_phase = Phase::Held;
    m_lastRenewalSentAt = sentAt;
    m_nextAction = step.now - sentAt >= roleRenewalInterval ? step.now : sentAt + roleRenewalInterval;
    step.record(
        "role.acquired", { { "zone", m_settings.zone.value() }, { "token", std::to_string(m_owner.token) } });
}

void ZoneRole::onRoleLost(const std::string& reason, Step& step)
{
    m_phase = Phase::Standby;
    m_hasObserved = false;
    m_nextAction = step.now + randomDelay(step);
    step.record("role.lost",
        { { "zone", m_settings.zone.value() }, { "token", std::to_string(m_owner.token) },
            { "reason", reason } });
}

bool ZoneRole::isThisDaemon(const Owner& owner) const
{
    return owner.holder == m_settings.host.value() && owner.incarnation == m_settings.incarnation;
}

std::string ZoneRole::ownerValue(FencingToken token, bool isReleased) const
{
    return Json {
        { "holder", m_settings.host.value() }, { "incarnation", m_settings.incarnation }, { "token", token },
        { "released", isReleased }
    }.dump();
}

std::string ZoneRole::heartbeatValue()
{
    return Json {
        { "holder", m_settings.host.value() }, { "incarnation", m_settings.incarnation },
        { "sequence", ++m_heartbeatSequence }
    }.dump();
}

Milliseconds ZoneRole::randomDelay(Step& step) const
{
    return Milliseconds(static_cast<std::int64_t>(step.random() % (maxRandomDelayMs + 1)));
}

} // namespace anvilmoor
