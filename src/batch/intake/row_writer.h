#pragma once

#include "anvilmoor/batch/effect.h"
#include "anvilmoor/batch/event.h"
#include "batch/reducer/step.h"
#include "batch/store/operation_bits.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvilmoor::batch {

// The store performs a transaction without an answer within this time, if at all.
constexpr Milliseconds storageUncertainty { 15'000 };

// Stores rows for callers. Each part of a table has at most one transaction in flight; rows that arrive
// meanwhile are batched in the next one. A slow store thus receives a few large transactions instead of a
// growing queue of small ones, and a store that refuses transactions is retried at increasing intervals. If
// the store will never apply a transaction, its rows are sent one by one, and those at fault are given up.
class RowWriter {
public:
    using Ticket = std::uint64_t;

    struct Result {
        std::vector<Ticket> stored;
        std::vector<Ticket> rejected; // certainly not stored, and never will be
    };

    explicit RowWriter(const StoreLimits& = {});

    // If `mustBeNew`, a row that already exists is not overwritten and counts as stored. The row is not sent
    // at or after `sendBefore`.
    void write(Ticket, Row, bool mustBeNew, TimePoint sendBefore, Step&);
    // No caller waits for the row any more, so it is not sent again. It may still be stored by a transaction
    // that was sent before.
    void forget(Ticket);
    // Whether a row with this key was sent and is stored, or may be stored at any time, as far as this writer
    // knows. Covers the last `storageUncertainty`.
    bool mayBeStored(const RowKey&, TimePoint now) const;
    // Handles the answer to a commit.
    Result answered(const CommitAnswered&, Step&);
    void tick(Step&);

private:
    struct Entry {
        Ticket ticket = 0;
        Row row;
        bool mustBeNew = false;
        TimePoint sendBefore {};
        bool isForgotten = false; // while in flight
        bool isSuspect = false; // was in a transaction that the store will never apply
    };
    struct Part {
        std::deque<Entry> waiting;
        std::vector<Entry> inFlight;
        OperationId operation = 0; // 0: none in flight
        TimePoint sendAt {};
        int refusals = 0; // consecutive
    };

    void send(Part&, Step&);
    void sendIfDue(Part&, Step&);
    static void delay(Part&, Step&);
    void reject(Part&, std::vector<Entry>, TimePoint now, Result&);
    void noteMayBeStored(const RowKey&, TimePoint now);
    void forgetOldRows(TimePoint now);

    const std::size_t m_maxTransactionBytes;
    std::map<std::string, Part> m_parts;
    std::map<OperationId, std::string> m_operations;
    // Rows that are stored, or were in a transaction without an answer, with the time of the last such
    // answer.
    std::map<RowKey, TimePoint> m_mayBeStored;
    std::deque<std::pair<TimePoint, RowKey>> m_mayBeStoredByTime; // oldest first
    OperationId m_lastOperation = 0;
};

} // namespace anvilmoor::batch
