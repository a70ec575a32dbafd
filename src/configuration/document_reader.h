#pragma once

#include "anvilmoor/time.h"
#include "configuration/configuration_problem.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

namespace anvilmoor {

// Reads the fields of one table of a document and collects all problems with the paths of their fields.
// finish() reports fields that were not read as unknown.
class DocumentReader {
public:
    DocumentReader(const nlohmann::json& table, std::string path, ConfigurationProblems&);

    bool has(const std::string& key);

    // Each returns the defaultValue if the field is absent, and reports a problem if there is no
    // defaultValue. A field of another type or out of range is reported as a problem too.
    std::string text(const std::string& key, const std::optional<std::string>& defaultValue = {});
    int integer(const std::string& key, int minimum, int maximum, std::optional<int> defaultValue = {});
    double number(
        const std::string& key, double minimum, double maximum, std::optional<double> defaultValue = {});
    bool boolean(const std::string& key, std::optional<bool> defaultValue = {});
    // A string with a unit: "800ms", "2s", "5m", "1h".
    Milliseconds duration(const std::string& key, Milliseconds minimum, Milliseconds maximum,
        std::optional<Milliseconds> defaultValue = {});

    // Each returns an empty table or array if the field is absent or of another type. Another type is
    // reported as a problem.
    const nlohmann::json& table(const std::string& key);
    const nlohmann::json& array(const std::string& key);

    std::string pathOf(const std::string& key) const;
    void addProblem(const std::string& key, std::string reason);

    // Reports every field that was not read as unknown.
    void finish();

private:
    const nlohmann::json* find(const std::string& key);
    // Reports the field if it is absent and not optional.
    const nlohmann::json* find(const std::string& key, bool isOptional);

    const nlohmann::json& m_table;
    std::string m_path;
    ConfigurationProblems& m_problems;
    std::set<std::string> m_readKeys;
};

} // namespace anvilmoor
