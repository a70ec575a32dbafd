#include "configuration/configuration_problem.h"

namespace anvilmoor {

std::string ConfigurationProblem::text() const
{
    std::string result;
    for (const std::string* part : { &file, &field }) {
        if (part->empty())
            continue;
        result += *part + ": ";
    }
    return result + reason;
}

} // namespace anvilmoor
