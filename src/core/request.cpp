#include "anvilmoor/request.h"

namespace anvilmoor {

std::string_view nameOf(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Done:
        return "done";
    case RequestOutcome::NotRun:
        return "not_run";
    case RequestOutcome::Unknown:
        return "unknown";
    case RequestOutcome::Refused:
        return "refused";
    }
    return "unknown";
}

} // namespace anvilmoor
