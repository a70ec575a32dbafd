#pragma once

#include "measure/figures.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace anvilmoor::measure {

// The table, the JSON file and the chart of one run, compared with the figures of an earlier version.
class Report {
public:
    // A missing file means that there is no earlier version.
    explicit Report(const std::string& previousFile);

    void add(const std::string& user, Figures baseline, Figures current);
    // Adds decision times. They are real times on this machine, so they differ from run to run.
    void addCosts(const std::string& placementFile, const std::string& requestFile);

    std::string table() const;
    // Writes measure.json and measure.svg. False if one cannot be written.
    bool write(const std::string& directory) const;

private:
    struct UserFigures {
        std::string name;
        Figures baseline;
        Figures previous;
        Figures current;
    };

    nlohmann::json json() const;
    std::string svg() const;

    nlohmann::json m_previous;
    std::vector<UserFigures> m_users;
    std::vector<Target> m_costs;
};

} // namespace anvilmoor::measure
