#pragma once

#include "anvilmoor/event.h"
#include "core/step.h"
#include "core/views.h"

#include <cstdint>
#include <optional>
#include <string>

namespace anvilmoor {

constexpr Milliseconds roleRenewalInterval { 1'000 };
// A standby takes over after it has seen the owner and heartbeat rows unchanged for this long.
constexpr Milliseconds roleExpiryTimeout { 4'000 };
// The holder stops using the role this long after it sent its last successful renewal. Shorter than the
// expiry time, so that the holder has stopped before a standby takes over.
constexpr Milliseconds roleUseTimeout { 3'000 };
// The platform counts as unreachable after this long without a reply.
constexpr Milliseconds platformSilenceTimeout { 4'000 };

// The lease of a zone's role, kept in two rows of the table: the owner row with the holder and its fencing
// token, and the heartbeat row, which the holder renews. Standbys take over when the lease expires; the
// holder releases it at shutdown.
class ZoneRole : public RoleView {
public:
    ZoneRole(const DaemonSettings&, const PeerDirectory&);

    void handle(const Started&, Step&);
    void handle(const Tick&, Step&);
    void handle(const TableReplied&, Step&);

    // Releases the role, so that a standby takes over without waiting for the lease to expire. The daemon
    // does not acquire the role again. isReleased() becomes true when the release is complete, or after
    // roleUseTimeout if the table is unreachable.
    void release(Step&);
    bool isReleased() const { return m_phase == Phase::Released; }

    std::optional<HeldRole> held(TimePoint now) const override;
    const std::string& ownerKey() const override { return m_ownerKey; }
    bool isCaretaker(TimePoint now) const override;

private:
    enum class Phase { Standby, Held, Releasing, Released };
    enum class OperationKind { None, Read, TakeOver, Renew, Release };

    // The owner row, or the empty owner when the row is absent.
    struct Owner {
        std::string holder;
        std::uint64_t incarnation = 0;
        FencingToken token = 0;
        bool isReleased = false;
    };

    void send(OperationKind, Effect, Step&);
    void read(Step&);
    void takeOver(Step&);
    void renew(Step&);
    void sendRelease(Step&);
    void finishRelease(Step&);

    void onReadReply(const TableReply&, Step&);
    void onTakeOverReply(const TableReply&, Step&);
    void onRenewReply(const TableReply&, Step&);
    void onReleaseReply(const TableReply&, Step&);
    void recordRows(const TableReply&, Step&);
    void takeOverOrWait(TimePoint readSentAt, Step&);

    void onRoleAcquired(TimePoint sentAt, Step&);
    void onRoleLost(const std::string& reason, Step&);
    bool isThisDaemon(const Owner&) const;
    std::string ownerValue(FencingToken, bool isReleased) const;
    std::string heartbeatValue();
    Milliseconds randomDelay(Step&) const;

    const DaemonSettings& m_settings;
    const PeerDirectory& m_peers;
    std::string m_ownerKey;
    std::string m_heartbeatKey;

    Phase m_phase = Phase::Standby;
    std::uint64_t m_sequence = 0;
    OperationKind m_operation = OperationKind::None; // in flight
    TimePoint m_operationSentAt {};
    TimePoint m_nextAction {};
    TimePoint m_releaseDeadline {};
    bool m_mustRead = false; // a reply was lost, so the rows must be read before the next write

    // The owner and heartbeat rows as last read or written.
    Owner m_owner;
    RowVersion m_ownerVersion = 0;
    RowVersion m_heartbeatVersion = 0;
    std::uint64_t m_heartbeatSequence = 0; // sequence of this daemon's last write
    std::uint64_t m_observedHeartbeatSequence = 0; // as last read; 0 if another daemon wrote the row
    TimePoint m_unconfirmedSentAt {}; // send time of the last write with an unknown result
    TimePoint m_unchangedSince {}; // time of the first read that returned both rows in their current versions
    bool m_hasObserved = false;
    Milliseconds m_takeOverDelay { 0 };

    TimePoint m_lastRenewalSentAt {};
    TimePoint m_lastReplyAt {};
};

} // namespace anvilmoor
