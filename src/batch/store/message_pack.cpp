#include "batch/store/message_pack.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace anvilmoor::batch {

namespace {

using Json = nlohmann::json;

// Rows that this program writes have five levels. The decoder calls itself for each level, so that a row of
// 64 KB could exceed the stack.
constexpr int maxNestingLevels = 32;

// Text that is not UTF-8 cannot be sent to a worker: encoding it as JSON throws, here as there.
bool isUtf8(const std::string& text)
{
    const auto isAscii = [](char byte) { return static_cast<unsigned char>(byte) < 0x80; };
    if (std::all_of(text.begin(), text.end(), isAscii))
        return true;
    try {
        (void)Json(text).dump();
        return true;
    } catch (const Json::type_error&) {
        return false;
    }
}

// Stops the decoder at the first value that is nested too deeply or is text other than UTF-8, and keeps
// nothing.
class RowCheck : public nlohmann::json_sax<Json> {
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t& text) override
    {
        m_isText = m_isText && isUtf8(text);
        return m_isText;
    }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override { return ++m_level <= maxNestingLevels; }
    bool key(string_t& text) override { return string(text); }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return ++m_level <= maxNestingLevels; }
    bool end_array() override { return leave(); }
    // The decoder that follows reports all other faults.
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override
    {
        return false;
    }

    bool isTooDeep() const { return m_level > maxNestingLevels; }
    bool isText() const { return m_isText; }

private:
    bool leave()
    {
        --m_level;
        return true;
    }

    int m_level = 0;
    bool m_isText = true;
};

} // namespace

std::string toMessagePack(const Json& document)
{
    std::string bytes;
    Json::to_msgpack(document, bytes);
    return bytes;
}

Json fromMessagePack(std::string_view bytes)
{
    RowCheck check;
    Json::sax_parse(bytes.begin(), bytes.end(), &check, Json::input_format_t::msgpack);
    if (check.isTooDeep())
        throw RowError(fmt::format("nested deeper than {} levels", maxNestingLevels));
    if (!check.isText())
        throw RowError("contains text that is not UTF-8");
    return Json::from_msgpack(bytes.begin(), bytes.end());
}

std::int64_t integerIn(const Json& value, std::int64_t min, std::int64_t max)
{
    constexpr std::uint64_t largest = std::numeric_limits<std::int64_t>::max();
    const bool isInteger
        = value.is_number_integer() && !(value.is_number_unsigned() && value.get<std::uint64_t>() > largest);
    const std::int64_t number = isInteger ? value.get<std::int64_t>() : 0;
    if (!isInteger || number < min || number > max)
        throw RowError(fmt::format("a number is not a whole one from {} to {}", min, max));
    return number;
}

double numberIn(const Json& value, double min, double max)
{
    const double number = value.get<double>();
    const bool isInRange = number >= min && number <= max; // false if it is not a number
    if (!isInRange)
        throw RowError(fmt::format("a number is not from {} to {}", min, max));
    return number;
}

} // namespace anvilmoor::batch
