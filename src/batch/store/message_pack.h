#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

// MessagePack is the format of row values. Another program may have overwritten a row, so that readers must
// expect any bytes.

namespace anvilmoor::batch {

struct RowError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

std::string toMessagePack(const nlohmann::json& document);

// Throws RowError or nlohmann::json::exception if the bytes are malformed, are nested too deeply or contain
// text that is not UTF-8.
nlohmann::json fromMessagePack(std::string_view bytes);

// Throws RowError if the value is no whole number from `min` to `max`.
std::int64_t integerIn(const nlohmann::json& value, std::int64_t min, std::int64_t max);
// Throws RowError if the value is no number from `min` to `max`.
double numberIn(const nlohmann::json& value, double min, double max);

} // namespace anvilmoor::batch
