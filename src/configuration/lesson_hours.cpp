#include "configuration/lesson_hours.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <optional>

namespace anvilmoor {

namespace {

constexpr std::array<std::string_view, 7> dayNames { "mon", "tue", "wed", "thu", "fri", "sat", "sun" };

std::optional<int> parseDay(std::string_view text)
{
    const auto found = std::find(dayNames.begin(), dayNames.end(), text);
    if (found == dayNames.end())
        return {};
    return static_cast<int>(found - dayNames.begin());
}

bool isDigit(char character) { return character >= '0' && character <= '9'; }

// "HH:MM", up to "24:00".
std::optional<SecondOfWeek> parseTimeOfDay(std::string_view text)
{
    if (text.size() != 5 || text[2] != ':' || !isDigit(text[0]) || !isDigit(text[1]) || !isDigit(text[3])
        || !isDigit(text[4]))
        return {};
    const int hours = (text[0] - '0') * 10 + (text[1] - '0');
    const int minutes = (text[3] - '0') * 10 + (text[4] - '0');
    const SecondOfWeek seconds = (hours * 60 + minutes) * 60;
    if (minutes > 59 || seconds > secondsPerDay)
        return {};
    return seconds;
}

// Splits at the first separator. The second part is empty if there is no separator.
std::pair<std::string_view, std::string_view> split(std::string_view text, char separator)
{
    const std::size_t position = text.find(separator);
    if (position == std::string_view::npos)
        return { text, {} };
    return { text.substr(0, position), text.substr(position + 1) };
}

} // namespace

tl::expected<std::vector<LessonHours>, std::string> parseLessonHours(std::string_view text)
{
    const auto [days, hours] = split(text, ' ');
    const auto [firstName, lastName] = split(days, '-');
    const auto [beginText, endText] = split(hours, '-');

    const std::optional<int> firstDay = parseDay(firstName);
    const std::optional<int> lastDay = lastName.empty() ? firstDay : parseDay(lastName);
    const std::optional<SecondOfWeek> begin = parseTimeOfDay(beginText);
    const std::optional<SecondOfWeek> end = parseTimeOfDay(endText);
    if (!firstDay || !lastDay || !begin || !end)
        return tl::unexpected(fmt::format(R"(must look like "mon-fri 08:00-12:00", not "{}")", text));
    if (*lastDay < *firstDay)
        return tl::unexpected(fmt::format("the last day of \"{}\" is before its first day", text));
    if (*end <= *begin)
        return tl::unexpected(fmt::format("the end time of \"{}\" is not after its start time", text));

    std::vector<LessonHours> result;
    for (int day = *firstDay; day <= *lastDay; ++day)
        result.push_back({ day * secondsPerDay + *begin, day * secondsPerDay + *end });
    return result;
}

std::vector<LessonHours> normalizeLessonHours(std::vector<LessonHours> hours)
{
    std::sort(hours.begin(), hours.end(), [](const auto& a, const auto& b) { return a.begin < b.begin; });
    std::vector<LessonHours> result;
    for (const LessonHours& interval : hours) {
        if (!result.empty() && interval.begin <= result.back().end) {
            result.back().end = std::max(result.back().end, interval.end);
            continue;
        }
        result.push_back(interval);
    }
    return result;
}

} // namespace anvilmoor
