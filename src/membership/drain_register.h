#pragma once

#include "core/step.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilmoor {

// The endpoints that operators have asked to drain. One table row holds all these endpoints and orders all
// changes; the version of the row is the version of the drains. A change that conflicts with a change by
// another operator is merged into the newer row and written again.
class DrainRegister {
public:
    // Queues the change; the operator is answered within operatorTimeout.
    void queueChange(const DrainRequested&, Step&);

    // Each returns true if the drains changed.
    bool handle(const TableReplied&, Step&);
    bool handle(const DrainPush&, Step&);
    // Pushes the drains again to a peer with a lower drain version: the peer missed the push, and may be
    // unable to reach the table.
    void handle(const PeerHeartbeat&, Step&);
    void handle(const Tick&, Step&);

    std::uint64_t version() const { return m_version; }
    bool isDrained(const EndpointId& endpoint) const { return m_drained.contains(endpoint); }

    static constexpr const char* rowKey = "drains/current";
    static constexpr Milliseconds operatorTimeout { 5'000 };

private:
    struct Change {
        CallerHandle caller = 0;
        EndpointId endpoint;
        bool isLeaving = true;
        TimePoint deadline {};
        bool mayHaveCommitted = false;
    };

    enum class Operation { None, Read, Write };

    bool adopt(const TableRow&, Step&);
    bool adopt(std::uint64_t version, std::set<EndpointId>, Step&);
    void read(Step&);
    void write(Step&);
    void scheduleRetry(Step&);
    void answerCompletedChanges(Step&);
    bool handleReadReply(const TableReply&, Step&);
    bool handleWriteReply(const TableReply&, Step&);
    void refuseExpiredChanges(Step&);
    OperationId nextOperation();
    DrainPush makePush() const;

    std::uint64_t m_version = 0;
    std::set<EndpointId> m_drained;
    std::vector<Change> m_changes; // in order of arrival
    std::size_t m_changesInWrite = 0; // the first changes of m_changes, which are in the write in flight
    std::set<EndpointId> m_drainedByWrite; // drained endpoints according to the write in flight
    Operation m_operation = Operation::None;
    std::uint64_t m_sequence = 0; // of the operation in flight
    TimePoint m_operationStart {};
    std::optional<TimePoint> m_retryAt;
    TimePoint m_nextPoll {};
};

} // namespace anvilmoor
