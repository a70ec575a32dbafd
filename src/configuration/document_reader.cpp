#include "configuration/document_reader.h"

#include "configuration/duration.h"

#include <fmt/format.h>

namespace anvilmoor {

namespace {

const nlohmann::json emptyTable = nlohmann::json::object();
const nlohmann::json emptyArray = nlohmann::json::array();

} // namespace

DocumentReader::DocumentReader(const nlohmann::json& table, std::string path, ConfigurationProblems& problems)
    : m_table(table.is_object() ? table : emptyTable)
    , m_path(std::move(path))
    , m_problems(problems)
{
    if (!table.is_object())
        m_problems.push_back({ {}, m_path, "must be a table" });
}

std::string DocumentReader::pathOf(const std::string& key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

void DocumentReader::addProblem(const std::string& key, std::string reason)
{
    m_problems.push_back({ {}, pathOf(key), std::move(reason) });
}

const nlohmann::json* DocumentReader::find(const std::string& key)
{
    m_readKeys.insert(key);
    const auto found = m_table.find(key);
    return found == m_table.end() ? nullptr : &*found;
}

const nlohmann::json* DocumentReader::find(const std::string& key, bool isOptional)
{
    const nlohmann::json* value = find(key);
    if (!value && !isOptional)
        addProblem(key, "is required");
    return value;
}

bool DocumentReader::has(const std::string& key) { return find(key); }

std::string DocumentReader::text(const std::string& key, const std::optional<std::string>& defaultValue)
{
    const nlohmann::json* value = find(key, defaultValue.has_value());
    if (value && value->is_string())
        return value->get<std::string>();
    if (value)
        addProblem(key, "must be a string");
    return defaultValue.value_or(std::string());
}

int DocumentReader::integer(const std::string& key, int minimum, int maximum, std::optional<int> defaultValue)
{
    const nlohmann::json* value = find(key, defaultValue.has_value());
    if (!value)
        return defaultValue.value_or(minimum);
    const bool isInRange = value->is_number_integer() && value->get<std::int64_t>() >= minimum
        && value->get<std::int64_t>() <= maximum;
    if (isInRange)
        return value->get<int>();
    addProblem(
        key, fmt::format("must be a whole number from {} to {}, not {}", minimum, maximum, value->dump()));
    return defaultValue.value_or(minimum);
}

double DocumentReader::number(
    const std::string& key, double minimum, double maximum, std::optional<double> defaultValue)
{
    const nlohmann::json* value = find(key, defaultValue.has_value());
    if (!value)
        return defaultValue.value_or(minimum);
    // TOML can express NaN, for which the comparison is false.
    if (value->is_number() && value->get<double>() >= minimum && value->get<double>() <= maximum)
        return value->get<double>();
    addProblem(key, fmt::format("must be a number from {} to {}, not {}", minimum, maximum, value->dump()));
    return defaultValue.value_or(minimum);
}

bool DocumentReader::boolean(const std::string& key, std::optional<bool> defaultValue)
{
    const nlohmann::json* value = find(key, defaultValue.has_value());
    if (value && value->is_boolean())
        return value->get<bool>();
    if (value)
        addProblem(key, "must be true or false");
    return defaultValue.value_or(false);
}

Milliseconds DocumentReader::duration(const std::string& key, Milliseconds minimum, Milliseconds maximum,
    std::optional<Milliseconds> defaultValue)
{
    const nlohmann::json* value = find(key, defaultValue.has_value());
    if (!value)
        return defaultValue.value_or(minimum);
    const std::optional<Milliseconds> parsed
        = value->is_string() ? parseDuration(value->get_ref<const std::string&>()) : std::nullopt;
    if (!parsed) {
        addProblem(key, R"(must be a string with a unit, such as "800ms", "2s", "5m" or "1h")");
        return defaultValue.value_or(minimum);
    }
    if (*parsed < minimum || *parsed > maximum)
        addProblem(key, fmt::format("must be from {} ms to {} ms", minimum.count(), maximum.count()));
    return *parsed;
}

const nlohmann::json& DocumentReader::table(const std::string& key)
{
    const nlohmann::json* value = find(key);
    if (!value)
        return emptyTable;
    if (value->is_object())
        return *value;
    addProblem(key, "must be a table");
    return emptyTable;
}

const nlohmann::json& DocumentReader::array(const std::string& key)
{
    const nlohmann::json* value = find(key);
    if (!value)
        return emptyArray;
    if (value->is_array())
        return *value;
    addProblem(key, "must be an array");
    return emptyArray;
}

void DocumentReader::finish()
{
    for (const auto& [key, value] : m_table.items()) {
        if (!m_readKeys.contains(key))
            addProblem(key, "is not a known field");
    }
}

} // namespace anvilmoor
