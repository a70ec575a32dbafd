#pragma once

namespace anvilmoor::ctl {

// Exit codes of anvilmoorctl. Listed in --help and docs/OPERATIONS.md.
enum class ExitCode : int {
    Ok = 0,
    Invalid = 1, // the declaration, job or request was refused; nothing was changed
    Usage = 2, // the command line is wrong; nothing was sent
    NotFound = 3,
    Conflict = 4, // another change was made first, or the idempotency key is already used
    Unavailable = 5, // nothing was changed; it is safe to try again
    Unknown = 6, // the call may have taken effect; check the state before trying again
    NotInForce = 7, // accepted, but not reported in force by every host in time
};

} // namespace anvilmoor::ctl
