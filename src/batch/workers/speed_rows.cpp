#include "batch/workers/speed_rows.h"

#include "batch/store/message_pack.h"
#include "batch/store/tables.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <iterator>
#include <nlohmann/json.hpp>

namespace anvilmoor::batch {

namespace {

using Json = nlohmann::json;

// An entry takes up to 230 bytes, as an id has up to 200, so that a row stays below 64 KB.
constexpr std::size_t workersPerRow = 250;
// Speeds and weights are stored in hundredths.
constexpr double scale = 100;
constexpr double maxStored = 1'000'000;

} // namespace

std::size_t speedRowCount(const WorkerPool& pool)
{
    return std::max<std::size_t>((pool.all().size() + workersPerRow - 1) / workersPerRow, 1);
}

Row encodeSpeeds(const WorkerPool& pool, std::size_t index)
{
    Json speeds = Json::array();
    const std::size_t begin = std::min(index * workersPerRow, pool.all().size());
    const std::size_t end = std::min(begin + workersPerRow, pool.all().size());
    auto entry = std::next(pool.all().begin(), static_cast<std::ptrdiff_t>(begin));
    for (std::size_t i = begin; i < end; ++i, ++entry) {
        const auto& [lifetime, worker] = *entry;
        const auto weight = std::lround(worker.speed.weight() * scale);
        if (weight)
            speeds.push_back(Json::array({ lifetime.id.value(), lifetime.startedAtMs,
                std::lround(worker.speed.value() * scale), weight }));
    }
    return { speedKey(index), toMessagePack(speeds) };
}

std::optional<std::string> restoreSpeeds(std::string_view bytes, WorkerPool& pool)
{
    try {
        const Json speeds = fromMessagePack(bytes);
        for (const Json& each : speeds) {
            const WorkerLifetime lifetime { WorkerId(each.at(0).get<std::string>()),
                each.at(1).get<std::int64_t>() };
            const WorkerSpeed stored(
                numberIn(each.at(2), 0, maxStored) / scale, numberIn(each.at(3), 0, maxStored) / scale);
            Worker* worker = pool.find(lifetime);
            if (worker && stored.value() > 0 && worker->speed.weight() < stored.weight())
                worker->speed = stored;
        }
    } catch (const std::exception& error) {
        return fmt::format("malformed row of worker speeds: {}", error.what());
    }
    return std::nullopt;
}

} // namespace anvilmoor::batch
