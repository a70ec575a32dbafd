#include "noise/sound_power_noise.h"

#include "noise/lesson_limit.h"
#include "noise/sound_power.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace anvilmoor {

namespace {

// Converts levels to powers and caches the last result, because consecutive workers mostly have equal levels.
class CachedPowerConversion {
public:
    double operator()(double levelDb)
    {
        if (levelDb != m_levelDb || !m_isSet) {
            m_levelDb = levelDb;
            m_power = powerOfDb(levelDb);
            m_isSet = true;
        }
        return m_power;
    }

private:
    double m_levelDb = 0;
    double m_power = 0;
    bool m_isSet = false;
};

double totalPower(const ZoneInventory& inventory)
{
    CachedPowerConversion idle;
    CachedPowerConversion active;
    CachedPowerConversion throttled;
    double power = 0;
    for (const WorkerCapacity& worker : inventory.workers()) {
        power += idle(worker.noise.idleDb);
        if (worker.held > worker.heldByThrottled)
            power += (worker.held - worker.heldByThrottled) * active(worker.noise.acceleratorDb);
        if (worker.heldByThrottled > 0)
            power += worker.heldByThrottled * throttled(worker.noise.throttledAcceleratorDb);
    }
    return power;
}

double powerOf(const ZoneInventory& inventory, std::span<const GangMember> members, bool isThrottled)
{
    double power = 0;
    for (const GangMember& member : members) {
        if (const WorkerCapacity* worker = inventory.find(member.worker)) {
            const NoiseProfile& noise = worker->noise;
            power += member.accelerators
                * powerOfDb(isThrottled ? noise.throttledAcceleratorDb : noise.acceleratorDb);
        }
    }
    return power;
}

// A borrowed job that is not leaving, and its sound power at full and at throttled rate.
struct NoiseSource {
    const Holding* holding = nullptr;
    double full = 0;
    double throttled = 0;

    double current() const { return holding->isThrottled ? throttled : full; }
    // Jobs of lower priority are evicted first; at equal priority, those that lose the least work.
    auto evictionRank() const
    {
        const Milliseconds lost = std::max(Milliseconds(0), holding->progress - holding->checkpointed);
        return std::tuple(holding->priority, lost * acceleratorsOf(holding->members));
    }
};

// Collects the actions that reduce the power to a limit, or that unthrottle work within it.
class NoisePlan {
public:
    NoisePlan(const ZoneInventory& inventory, double extraPower)
        : m_power(totalPower(inventory) + extraPower)
    {
        for (const auto& [job, holding] : inventory.holdings()) {
            const NoiseSource source { &holding, powerOf(inventory, holding.members, false),
                powerOf(inventory, holding.members, true) };
            if (holding.jobClass == JobClass::Guaranteed) {
                if (holding.isThrottled) {
                    m_power += source.full - source.throttled;
                    m_actions.push_back({ NoiseActionKind::Unthrottle, job });
                }
                continue;
            }
            if (holding.isLeaving)
                m_power -= source.current(); // already leaving: no other job has to be evicted for its power
            else
                m_sources.push_back(source);
        }
    }

    void reduceTo(double limit)
    {
        throttleTo(limit);
        evictTo(limit);
    }

    void unthrottleUpTo(double limit)
    {
        std::stable_sort(
            m_sources.begin(), m_sources.end(), [](const NoiseSource& left, const NoiseSource& right) {
                return left.holding->priority > right.holding->priority;
            });
        for (const NoiseSource& source : m_sources) {
            const double increase = source.full - source.throttled;
            if (!source.holding->isThrottled || m_power + increase > limit)
                continue;
            m_power += increase;
            m_actions.push_back({ NoiseActionKind::Unthrottle, source.holding->job });
        }
    }

    double power() const { return m_power; }
    std::vector<NoiseAction> finish() { return std::move(m_actions); }

private:
    void throttleTo(double limit)
    {
        std::stable_sort(
            m_sources.begin(), m_sources.end(), [](const NoiseSource& left, const NoiseSource& right) {
                return std::tuple(left.holding->priority, right.full - right.throttled)
                    < std::tuple(right.holding->priority, left.full - left.throttled);
            });
        for (NoiseSource& source : m_sources) {
            if (m_power <= limit)
                return;
            if (source.holding->isThrottled || source.throttled >= source.full)
                continue;
            m_power -= source.full - source.throttled;
            source.full = source.throttled; // evictTo() counts the job as throttled
            m_actions.push_back({ NoiseActionKind::Throttle, source.holding->job });
        }
    }

    void evictTo(double limit)
    {
        std::stable_sort(
            m_sources.begin(), m_sources.end(), [](const NoiseSource& left, const NoiseSource& right) {
                return left.evictionRank() < right.evictionRank();
            });
        for (const NoiseSource& source : m_sources) {
            if (m_power <= limit)
                return;
            m_power -= source.current();
            m_actions.push_back({ NoiseActionKind::Evict, source.holding->job });
        }
    }

    double m_power;
    std::vector<NoiseSource> m_sources;
    std::vector<NoiseAction> m_actions;
};

} // namespace

double SoundPowerNoise::estimateDb(const ZoneInventory& inventory) const
{
    return dbOfPower(totalPower(inventory));
}

bool SoundPowerNoise::allowsStart(const ZoneInventory& inventory, const RoomConfiguration& room,
    std::span<const GangMember> members, SecondOfWeek localTime) const
{
    if (!isLessonWithin(room, localTime, noiseLead))
        return true;
    return totalPower(inventory) + powerOf(inventory, members, false) <= powerOfDb(room.limitDb);
}

std::vector<NoiseAction> SoundPowerNoise::plan(
    const ZoneInventory& inventory, const RoomConfiguration& room, SecondOfWeek localTime) const
{
    return planForStart(inventory, room, {}, localTime);
}

std::vector<NoiseAction> SoundPowerNoise::planForStart(const ZoneInventory& inventory,
    const RoomConfiguration& room, std::span<const GangMember> members, SecondOfWeek localTime) const
{
    NoisePlan plan(inventory, powerOf(inventory, members, false));
    const double limit = powerOfDb(room.limitDb);
    if (isLessonWithin(room, localTime, noiseLead) && plan.power() > limit)
        plan.reduceTo(limit);
    else if (isLessonWithin(room, localTime, unthrottleLeadTime))
        plan.unthrottleUpTo(powerOfDb(room.limitDb - unthrottleMarginDb));
    else
        plan.unthrottleUpTo(std::numeric_limits<double>::infinity());
    return plan.finish();
}

} // namespace anvilmoor
