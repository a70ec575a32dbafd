#pragma once

#include <map>
#include <string>
#include <vector>

namespace anvilmoor::measure {

// Figures of one policy set, by key ("<scenario>.<measure>"); units and meaning are in docs/measures.md.
using Figures = std::map<std::string, double>;

// How a figure is displayed.
struct FigureKind {
    std::string key;
    std::string unit;
    bool isSmallerBetter = true;
};

// In the order of the table.
const std::vector<FigureKind>& figureKinds();

struct Target {
    std::string text;
    double value = 0; // the worst of the figures that the target covers
    double bound = 0;
    bool isUpperBound = true;

    bool isMet() const { return isUpperBound ? value <= bound : value >= bound; }
};

std::vector<Target> targets(const Figures& baseline, const Figures& current);

// 100 * sum of weight * baseline / (baseline + current) for figures that should be small, and of weight *
// current / (baseline + current) for the others: 50 if current equals baseline, closer to 100 the better
// current is.
double score(const std::string& user, const Figures& baseline, const Figures& current);

} // namespace anvilmoor::measure
