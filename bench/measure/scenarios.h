#pragma once

#include "measure/figures.h"
#include "measure/request_run.h"

#include <string>

namespace anvilmoor::measure {

// A user's configuration.
struct User {
    std::string name;
    std::string document; // merged, as committed to the table
    Configuration configuration;
};

enum class Part { All, Requests, Jobs, Claims };

// Runs the scenarios of a part for the user. Appends to `log` one line for each run with a claim that never
// started, about the first such claim.
Figures measureUser(const User&, PolicySet, Part, std::string& log);

} // namespace anvilmoor::measure
