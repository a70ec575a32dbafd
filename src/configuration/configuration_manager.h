#pragma once

#include "core/step.h"
#include "core/views.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace anvilmoor {

// Commits configurations to the table, receives higher versions from the table and from peers, and puts them
// in force. The version in force never decreases.
//
// A known version does not come into force at once. A daemon that dies loses the version, and would become
// ready with an older version of a neighbour if it restarts while the table is unreachable. A version
// therefore waits until a peer of the zone holds it too. It does not wait if no peer of the zone is
// reachable, and waits at most for maxPendingTime.
//
// Table rows: "config/version" holds only the version number, so that polls stay small; "config/current"
// holds version, nonce and document; "config/history/<version>" keeps old documents, so that the refusal of a
// conflicting change can list the differences. All rows change in one transaction.
class ConfigurationManager : public ConfigurationView {
public:
    ConfigurationManager(const DaemonSettings&, const PeerDirectory&);

    const Configuration* current() const override { return m_inForce.configuration.get(); }
    // The version in force.
    ConfigurationVersion version() const { return m_inForce.version; }
    // The highest version whose document this daemon holds, whether in force or not.
    ConfigurationVersion knownVersion() const { return m_known.version; }

    // True if a configuration is in force and is known to be up to date: either no version read from the
    // table is pending, or the table is unavailable, a reachable peer of the zone is ready, and no reachable
    // peer knows a version higher than the one in force.
    bool isReady() const;

    // Each returns true if a new configuration was put in force; the caller then notifies the other modules.
    // The peer directory must have handled the event before.
    bool handle(const Started&, Step&);
    bool handle(const Tick&, Step&);
    bool handle(const TableReplied&, Step&);
    bool handle(const ConfigurationPush&, Step&);
    bool handle(const ConfigurationSubmitted&, Step&);
    bool handle(const ConfigurationQueried&, Step&);
    // Pushes the known version to a peer that holds only a lower one.
    bool handle(const PeerHeartbeat&, Step&);

    bool isIdle() const { return m_submissions.empty() && m_acceptances.empty(); }

private:
    enum class Purpose { PollVersion, ReadCurrent, ReadForSubmission, Commit, ReadHistory };

    struct Submission {
        ConfigurationSubmitted request;
        std::string nonce;
        std::string value; // written to config/current by the commit
        ConfigurationVersion newVersion = 0;
        TimePoint deadline;
        bool mayHaveCommitted = false;
        TimePoint retryAt; // valid while isWaitingForRetry is set
        bool isWaitingForRetry = false;
    };

    struct Revision {
        ConfigurationVersion version = 0;
        std::shared_ptr<const std::string> document;
        std::shared_ptr<const Configuration> configuration; // null if this release cannot read the document
    };

    // A committed change whose operator has not been answered yet.
    struct Acceptance {
        CallerHandle caller = 0;
        ConfigurationVersion version = 0;
        TimePoint answerBy;
    };

    struct Push {
        ConfigurationVersion version = 0;
        TimePoint sentAt;
    };

    struct CurrentRow {
        RowVersion rowVersion = 0;
        ConfigurationVersion version = 0;
        std::string nonce;
        std::string document;
    };

    static std::optional<CurrentRow> parseCurrentRow(const TableReply&);

    void pollTable(Purpose, TableRead, Step&);
    void recordRevision(ConfigurationVersion, const std::string& document, Step&);
    bool recordCurrentRow(const CurrentRow&, Step&);
    bool adoptPendingIfReplicated(Step&);
    bool canAdoptPending(TimePoint now) const;
    ConfigurationPush makePush() const;
    void pushToZone(Step&);
    void pushTo(const HostId&, Step&);

    // Submissions are processed one at a time, in order of arrival.
    void startNextSubmission(Step&);
    void readForSubmission(Step&);
    bool handleSubmissionRead(const TableReply&, Step&);
    void commit(const CurrentRow&, Step&);
    bool handleCommitReply(const TableReply&, Step&);
    void retrySubmission(Step&);
    void finishSubmission(Step&);
    void answerAcceptances(Step&);
    void refuseSubmission(RefusalKind, std::vector<std::string> reasons, Step&);
    void refuseAsConflict(const TableReply&, Step&);

    const DaemonSettings& m_settings;
    const PeerDirectory& m_peers;
    Revision m_inForce;
    Revision m_known;
    std::optional<Revision> m_pending; // readable revision that waits to be put in force
    TimePoint m_pendingSince {}; // start of the wait; unchanged if a higher version replaces the pending one
    TimePoint m_peerDiscoveryEnd {}; // until then, a peer without a heartbeat may still be up
    std::optional<CurrentRow> m_conflictingRow;

    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_pollSequence = 0; // 0: no poll in flight
    Purpose m_pollPurpose = Purpose::PollVersion;
    std::uint64_t m_submissionSequence = 0;
    Purpose m_submissionPurpose = Purpose::ReadForSubmission;
    TimePoint m_nextPoll {};
    bool m_hasReadTable = false;
    bool m_isCaughtUp = false; // set once the table has been read and no version is pending
    bool m_isTableUnavailable = false;

    std::deque<Submission> m_submissions; // the front one is in progress
    std::deque<Acceptance> m_acceptances;
    std::map<HostId, Push> m_lastPush; // limits how often the same version is pushed to the same peer
};

} // namespace anvilmoor
