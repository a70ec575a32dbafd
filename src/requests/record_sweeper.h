#pragma once

#include "core/step.h"
#include "core/views.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace anvilmoor {

// Set in the sequence numbers of the RecordSweeper's operations. They share ModuleId::Requests with the
// operations of the RequestBroker, which do not have this bit.
constexpr std::uint64_t recordSweeperSequenceBit = std::uint64_t(1) << 63U;

// Deletes request records that are older than their lifetime, while this daemon holds its zone's role. The
// object of a large response is deleted before its row, because an object without a row would never be found
// again. Deletions are conditional on the row versions read: sweepers of other zones work on the same rows,
// and a copy of a request may claim an expired row again.
class RecordSweeper {
public:
    explicit RecordSweeper(const RoleView&);

    void handle(const Tick&, Step&);
    // These ignore replies to operations of other modules and of the RequestBroker.
    void handle(const TableReplied&, Step&);
    void handle(const ObjectReplied&, Step&);

    std::uint64_t deleted() const { return m_deleted; }

    static constexpr std::chrono::minutes sweepInterval { 10 };

private:
    void collect(const TableReply&, Step&);
    void deleteObject(const TableCondition&, std::string key, Step&);
    void deleteNext(Step&);

    const RoleView& m_role;
    TimePoint m_nextSweep {};
    TimePoint m_sentAt {};
    std::uint64_t m_sequence = recordSweeperSequenceBit;
    bool m_isReading = false;
    bool m_isDeleting = false;
    std::uint64_t m_objectSequence = recordSweeperSequenceBit;
    std::map<std::uint64_t, TableCondition> m_objectDeletions; // rows whose objects are being deleted
    std::deque<TableCondition> m_expired;
    std::vector<TableCondition> m_batch; // in flight
    std::uint64_t m_deleted = 0;
};

} // namespace anvilmoor
