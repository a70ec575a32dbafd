#pragma once

namespace anvilmoor::ctl {

// What anvilmoorctl returns to the shell; listed in --help and docs/OPERATIONS.md.
enum class ExitCode : int {
    Ok = 0,
    Invalid = 1, // the declaration, job or request was refused; nothing was changed
    Usage = 2, // the command line is wrong; nothing was sent
    NotFound = 3,
    Conflict = 4, // someone else changed it first, or the key is taken
    Unavailable = 5, // nothing was changed; trying again is safe
    Unknown = 6, // it may have taken effect; look before trying again
    NotInForce = 7, // accepted, but some host has not reported it in force in time
};

} // namespace anvilmoor::ctl
