#include "configuration/declaration.h"

#include <filesystem>
#include <fmt/format.h>
#include <sstream>
#include <toml.hpp>

namespace anvilmoor {

namespace {

using Json = nlohmann::json;

std::string joinPath(const std::string& parent, const std::string& key)
{
    return parent.empty() ? key : parent + "." + key;
}

// No field of a declaration is a date. Dates are converted to strings, which the later type check rejects in
// fields of any other type.
Json toJson(const toml::value& value)
{
    switch (value.type()) {
    case toml::value_t::boolean:
        return value.as_boolean();
    case toml::value_t::integer:
        return value.as_integer();
    case toml::value_t::floating:
        return value.as_floating();
    case toml::value_t::string:
        return value.as_string().str;
    case toml::value_t::array: {
        Json result = Json::array();
        for (const toml::value& item : value.as_array())
            result.push_back(toJson(item));
        return result;
    }
    case toml::value_t::table: {
        Json result = Json::object();
        for (const auto& [key, item] : value.as_table())
            result[key] = toJson(item);
        return result;
    }
    default:
        return toml::format(value);
    }
}

tl::expected<Json, ConfigurationProblem> parse(const DeclarationSource& source)
{
    try {
        std::istringstream stream(source.text);
        return toJson(toml::parse(stream, source.file));
    } catch (const toml::exception& error) {
        return tl::unexpected(
            ConfigurationProblem { source.file, {}, fmt::format("not valid TOML: {}", error.what()) });
    } catch (const std::exception& error) {
        return tl::unexpected(
            ConfigurationProblem { source.file, {}, fmt::format("cannot be read: {}", error.what()) });
    }
}

void recordOrigins(
    Declaration& declaration, const Json& value, const std::string& path, const std::string& file)
{
    declaration.origins[path] = file;
    if (!value.is_object())
        return;
    for (const auto& [key, item] : value.items())
        recordOrigins(declaration, item, joinPath(path, key), file);
}

void mergeInto(Declaration& declaration, Json& target, const Json& overlay, const std::string& path,
    const std::string& file)
{
    for (const auto& [key, value] : overlay.items()) {
        const std::string field = joinPath(path, key);
        const auto existing = target.find(key);
        if (existing != target.end() && existing->is_object() && value.is_object()) {
            mergeInto(declaration, *existing, value, field, file);
            continue;
        }
        if (existing != target.end() && *existing == value)
            declaration.warnings.push_back({ file, field, "repeats the value of the base file" });
        target[key] = value;
        recordOrigins(declaration, value, field, file);
    }
}

// An overlay of one availability zone must not change another zone, a client account or a service.
ConfigurationProblems fieldsOutsideZone(
    const Json& overlay, const std::string& overlayZone, const std::string& file)
{
    ConfigurationProblems problems;
    const std::string reason = fmt::format("an overlay may set fields below \"zones.{}\" only", overlayZone);
    for (const auto& [key, value] : overlay.items()) {
        if (key != "zones") {
            problems.push_back({ file, key, reason });
            continue;
        }
        if (!value.is_object()) {
            problems.push_back({ file, key, "must be a table" });
            continue;
        }
        for (const auto& [zone, fields] : value.items()) {
            if (zone != overlayZone)
                problems.push_back({ file, "zones." + zone, reason });
        }
    }
    return problems;
}

std::string shortText(const Json* value)
{
    if (!value)
        return "absent";
    constexpr std::size_t maxLength = 60;
    std::string text = value->dump();
    if (text.size() > maxLength)
        text = text.substr(0, maxLength) + "...";
    return text;
}

void collectDifferences(const Json* before, const Json* after, const std::string& path, std::size_t limit,
    std::vector<std::string>& result)
{
    if (result.size() >= limit || (before && after && *before == *after))
        return;
    if (!before || !after || !before->is_object() || !after->is_object()) {
        result.push_back(fmt::format("{}: {} -> {}", path, shortText(before), shortText(after)));
        return;
    }
    Json keys = *before;
    keys.update(*after);
    for (const auto& [key, unused] : keys.items()) {
        const auto old = before->find(key);
        const auto current = after->find(key);
        collectDifferences(old == before->end() ? nullptr : &*old,
            current == after->end() ? nullptr : &*current, joinPath(path, key), limit, result);
    }
}

} // namespace

std::string Declaration::originOf(const std::string& field) const
{
    std::string path = field;
    while (true) {
        const auto found = origins.find(path);
        if (found != origins.end())
            return found->second;
        const std::size_t separator = path.find_last_of(".[");
        if (separator == std::string::npos)
            break;
        path.resize(separator);
    }
    const auto root = origins.find("");
    return root == origins.end() ? std::string() : root->second;
}

tl::expected<Declaration, ConfigurationProblems> mergeDeclarations(
    const DeclarationSource& base, std::span<const DeclarationSource> overlays)
{
    ConfigurationProblems problems;
    Declaration declaration;

    auto parsedBase = parse(base);
    if (!parsedBase)
        return tl::unexpected(ConfigurationProblems { parsedBase.error() });
    declaration.document = std::move(*parsedBase);
    recordOrigins(declaration, declaration.document, "", base.file);

    for (const DeclarationSource& overlay : overlays) {
        const auto parsed = parse(overlay);
        if (!parsed) {
            problems.push_back(parsed.error());
            continue;
        }
        const std::string overlayZone = std::filesystem::path(overlay.file).stem().string();
        const ConfigurationProblems outside = fieldsOutsideZone(*parsed, overlayZone, overlay.file);
        problems.insert(problems.end(), outside.begin(), outside.end());
        const bool isKnown = declaration.document.contains("zones")
            && declaration.document["zones"].is_object()
            && declaration.document["zones"].contains(overlayZone);
        if (!isKnown)
            problems.push_back({ overlay.file, {},
                fmt::format(
                    "the base file has no zone \"{}\"; name the overlay file after its zone", overlayZone) });
        if (outside.empty() && isKnown)
            mergeInto(declaration, declaration.document, *parsed, "", overlay.file);
    }
    if (!problems.empty())
        return tl::unexpected(std::move(problems));
    return declaration;
}

std::vector<std::string> describeDifferences(
    const nlohmann::json& before, const nlohmann::json& after, std::size_t limit)
{
    std::vector<std::string> result;
    collectDifferences(&before, &after, "", limit, result);
    return result;
}

} // namespace anvilmoor
