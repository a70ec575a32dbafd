#pragma once

#include <string_view>

namespace anvilmoor::batch {

// Why a unit whose turn has come is not placed. Each cause assumes that those before it do not apply.
enum class WaitCause {
    NoRoom, // it does not fit, whatever is kept free for other work
    ClosedWorkers, // it would fit on workers that get no new runs at present: silent, suspended or stalled
    JobRow, // the row with the job's progress has no room for another assignment
    Locality, // it fits only on other racks than it asks for
    ReservedRoom, // it fits only where room is reserved after an eviction
    HeldForOthers, // it fits only where room is kept for another waiting step
    Headroom, // it fits only on idle workers that are kept for urgent work
    LessUrgentShare, // it fits, but less urgent work may not use more while more urgent work waits
    Turn, // it fits, unless work before it in the queue takes the room first
};

std::string_view nameOf(WaitCause);

} // namespace anvilmoor::batch
