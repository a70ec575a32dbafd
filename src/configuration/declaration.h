#pragma once

#include "configuration/configuration_problem.h"

#include <map>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <tl/expected.hpp>

namespace anvilmoor {

// A TOML text and the file name that problems report for it.
struct DeclarationSource {
    std::string file;
    std::string text;
};

// The base file and its overlays, merged into one document.
struct Declaration {
    nlohmann::json document; // object with sorted keys, so equal declarations have equal texts
    std::map<std::string, std::string> origins; // field path -> file that set the field last
    ConfigurationProblems warnings; // fields for which an overlay repeats the value of the base

    // The file that set the field or its nearest parent; empty if unknown.
    std::string originOf(const std::string& field) const;
};

// Applies overlays to the base: tables are merged, other values are replaced. An overlay file is named after
// its availability zone ("steyr-north.toml") and may set only fields below "zones.<zone>".
tl::expected<Declaration, ConfigurationProblems> mergeDeclarations(
    const DeclarationSource& base, std::span<const DeclarationSource> overlays);

// The fields whose values differ, at most `limit` of them, each as "field: old -> new".
std::vector<std::string> describeDifferences(
    const nlohmann::json& before, const nlohmann::json& after, std::size_t limit);

} // namespace anvilmoor
