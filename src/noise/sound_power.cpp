#include "noise/sound_power.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <vector>

namespace anvilmoor {

double powerOfDb(double levelDb) { return std::pow(10.0, levelDb / 10.0); }

double dbOfPower(double power) { return 10.0 * std::log10(power); }

int lessonHoursCapacity(const AvailabilityZoneConfiguration& zone)
{
    double idle = 0;
    std::vector<double> accelerators;
    for (const RackConfiguration& rack : zone.racks) {
        for (const WorkerConfiguration& worker : rack.workers) {
            idle += powerOfDb(worker.noise.idleDb);
            accelerators.insert(accelerators.end(),
                static_cast<std::size_t>(std::max(0, worker.accelerators)),
                powerOfDb(worker.noise.acceleratorDb));
        }
    }
    if (zone.room.lessonHours.empty())
        return static_cast<int>(accelerators.size());
    std::sort(accelerators.begin(), accelerators.end(), std::greater<>());
    double left = powerOfDb(zone.room.limitDb) - idle;
    int capacity = 0;
    for (const double power : accelerators) {
        left -= power;
        if (left < 0)
            break;
        ++capacity;
    }
    return capacity;
}

} // namespace anvilmoor
