#pragma once

#include <string>
#include <vector>

namespace anvilmoor {

// A problem found in a declaration or in a configuration document.
struct ConfigurationProblem {
    std::string file; // empty if the file is unknown
    std::string field; // path with dots, for example "zones.steyr-north.room.limit_db"
    std::string reason; // what is wrong and what is allowed

    // "file: field: reason"; empty parts are omitted.
    std::string text() const;
};

using ConfigurationProblems = std::vector<ConfigurationProblem>;

} // namespace anvilmoor
