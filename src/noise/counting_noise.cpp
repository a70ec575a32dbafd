#include "noise/counting_noise.h"

#include "noise/lesson_limit.h"
#include "noise/sound_power.h"

#include <algorithm>

namespace anvilmoor {

namespace {

int activeAccelerators(const ZoneInventory& inventory)
{
    int active = 0;
    for (const WorkerCapacity& worker : inventory.workers())
        active += worker.held;
    return active;
}

} // namespace

CountingNoise::CountingNoise(int cap)
    : m_cap(cap)
{
}

// Assumes that every active accelerator is as loud as those of the first worker, as the derivation of a
// constant cap does.
double CountingNoise::estimateDb(const ZoneInventory& inventory) const
{
    if (inventory.workers().empty())
        return dbOfPower(0);
    return dbOfPower(
        activeAccelerators(inventory) * powerOfDb(inventory.workers().front().noise.acceleratorDb));
}

bool CountingNoise::allowsStart(const ZoneInventory& inventory, const RoomConfiguration& room,
    std::span<const GangMember> members, SecondOfWeek localTime) const
{
    return !isLessonWithin(room, localTime, noiseLead)
        || activeAccelerators(inventory) + acceleratorsOf(members) <= m_cap;
}

std::vector<NoiseAction> CountingNoise::plan(
    const ZoneInventory& inventory, const RoomConfiguration& room, SecondOfWeek localTime) const
{
    std::vector<NoiseAction> actions;
    if (!isLessonWithin(room, localTime, noiseLead))
        return actions;
    int active = activeAccelerators(inventory);
    for (const auto& [job, holding] : inventory.holdings()) {
        if (holding.jobClass == JobClass::Guaranteed || active <= m_cap)
            continue;
        active -= acceleratorsOf(holding.members);
        if (!holding.isLeaving)
            actions.push_back({ NoiseActionKind::Evict, job });
    }
    return actions;
}

} // namespace anvilmoor
