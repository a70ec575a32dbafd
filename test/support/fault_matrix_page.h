#pragma once

#include "support/fault_matrix.h"

#include <map>
#include <set>
#include <string>

namespace anvilmoor::test {

// Results of the cells that ran in this process, by the names of step and fault.
struct MatrixRecord {
    std::map<std::pair<std::string, std::string>, bool> cells; // true: proved
    std::size_t pairsRun = 0;
    std::size_t pairsFailed = 0;
};

// Reads lines "step|fault": the cells that are proved with real processes. Returns an empty set if the file
// cannot be read.
std::set<std::pair<std::string, std::string>> readLevelTwoCells(const std::string& path);

// Returns the page in Markdown.
std::string matrixPage(const MatrixRecord&, const std::set<std::pair<std::string, std::string>>& levelTwo);

} // namespace anvilmoor::test
