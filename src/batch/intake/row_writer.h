#pragma once

#include "anvilmoor/batch/effect.h"
#include "anvilmoor/batch/event.h"
#include "batch/reducer/step.h"
#include "batch/store/operation_bits.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilmoor::batch {

// Stores rows for callers. Each part of a table has one transaction under way; what comes meanwhile goes
// together in the next one. So a slow store takes few large transactions in place of a growing queue of small
// ones, and a store that refuses is asked at growing intervals.
class RowWriter {
public:
    using Ticket = std::uint64_t;

    // A row that must be new counts as stored if it is there already.
    void write(Ticket, Row, bool mustBeNew, Step&);
    // Nobody waits for the row any more. It may be stored nevertheless.
    void forget(Ticket);
    // Tickets whose rows are stored.
    std::vector<Ticket> answered(const CommitAnswered&, Step&);
    void tick(Step&);

private:
    struct Entry {
        Ticket ticket = 0;
        Row row;
        bool mustBeNew = false;
    };
    struct Part {
        std::deque<Entry> waiting;
        std::vector<Entry> underWay;
        OperationId operation = 0; // 0: none under way
        TimePoint sendAt {};
        int refusals = 0; // on end
    };

    void send(Part&, Step&);
    void sendIfDue(Part&, Step&);
    static void delay(Part&, Step&);

    std::map<std::string, Part> m_parts;
    std::map<OperationId, std::string> m_operations;
    OperationId m_lastOperation = 0;
};

} // namespace anvilmoor::batch
