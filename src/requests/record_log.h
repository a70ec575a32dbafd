#pragma once

#include "admission/admission_policy.h"
#include "core/step.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace anvilmoor {

enum class RecordResultKind {
    Written, // `row` is the row with its new version
    Conflict, // the write condition failed; `row` is the current row, with version 0 if it is absent
    Found, // result of a read; `row` is the current row, with version 0 if it is absent
    Unavailable, // the operation certainly had no effect
    Unknown, // a write without a valid reply; it may have taken effect
};

struct RecordResult {
    RequestNumber request = 0;
    RecordResultKind kind = RecordResultKind::Unknown;
    TableRow row;
};

// Writes and reads request records in groups. A write is sent at once if no write transaction is in flight.
// Otherwise it waits for the next group, which is sent when no write transaction is in flight any more, when
// it has 64 rows, or when its oldest write has waited 5 ms. After a conflict, the conflicting rows are
// reported and the other rows of the group are sent again.
class RecordLog {
public:
    // The caller must not have more than one operation per key queued or in flight.
    void write(RequestNumber, std::string key, RowVersion condition, std::string value, TimePoint now);
    void read(RequestNumber, std::string key, TimePoint now);

    // Sends the operations that are due. Must be called at the end of each event.
    void flush(Step&);

    // Returns the results of a reply. Empty if no operation in flight matches the reply, for example because
    // the reply was delivered twice.
    std::vector<RecordResult> handle(const TableReplied&, Step&);

    // Ends operations without a reply within the reply timeout: reads as Unavailable, writes as Unknown.
    std::vector<RecordResult> expire(TimePoint now);

    bool isIdle() const { return m_writes.empty() && m_reads.empty() && m_inFlight.empty(); }

private:
    struct Entry {
        RequestNumber request = 0;
        std::string key;
        RowVersion condition = 0;
        std::string value;
        TimePoint queuedAt {};
    };

    struct Group {
        bool isRead = false;
        TimePoint sentAt {};
        std::vector<Entry> entries;
    };

    bool isWriteDue(TimePoint now) const;
    std::vector<Entry> takeGroup(std::deque<Entry>&);
    void sendWrites(Step&);
    void sendReads(Step&);
    std::vector<RecordResult> finishWrites(Group&, const TableReply&);
    static std::vector<RecordResult> finishReads(Group&, const TableReply&);

    std::deque<Entry> m_writes;
    std::deque<Entry> m_reads;
    std::map<std::uint64_t, Group> m_inFlight; // by operation sequence
    std::size_t m_writeGroupsInFlight = 0;
    std::size_t m_readGroupsInFlight = 0;
    std::uint64_t m_sequence = 0;
};

} // namespace anvilmoor
