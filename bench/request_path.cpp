#include "admission/fair_share_admission.h"
#include "membership/membership.h"
#include "routing/random_routing.h"
#include "routing/zone_aware_routing.h"

#include <fmt/format.h>

#include <chrono>
#include <deque>

// Measures one admission plus one routing decision at the size of section 1.4 of the design page:
// 19,000 endpoints in 11 availability zones. Prints microseconds per decision.
namespace anvilmoor {
namespace {

class FixedConfiguration : public ConfigurationView {
public:
    FixedConfiguration()
    {
        configuration.version = 1;
        for (int zone = 0; zone < 11; ++zone) {
            configuration.zones.emplace_back();
            configuration.zones.back().id = AvailabilityZoneId(fmt::format("zone-{}", zone));
            RackConfiguration rack;
            rack.id = RackId(fmt::format("rack-{}", zone));
            for (int worker = 0; worker < 1'727; ++worker) {
                rack.workers.emplace_back();
                rack.workers.back().id = WorkerId(fmt::format("worker-{}-{}", zone, worker));
            }
            configuration.zones.back().racks.push_back(std::move(rack));
        }
        configuration.services.emplace_back();
        configuration.services.back().id = ServiceId("intake");
        for (int account = 0; account < 66; ++account) {
            configuration.accounts.emplace_back();
            configuration.accounts.back().id = ClientAccountId(fmt::format("account-{}", account));
        }
    }
    const Configuration* current() const override { return &configuration; }
    Configuration configuration;
};

void measure(const char* name, RoutingPolicy& routing, FairShareAdmission& admission,
    const FixedConfiguration& configuration, int decisions)
{
    const ServiceId service("intake");
    std::deque<EndpointId> inFlight;
    const TimePoint now { Seconds(1) };
    AdmissionItem item { 0, service, {}, {}, 0, now + Seconds(1'000), Milliseconds(20) };
    std::uint64_t random = 1;
    std::chrono::nanoseconds maxTime { 0 };
    const auto begin = std::chrono::steady_clock::now();
    for (int decision = 0; decision < decisions; ++decision) {
        const auto start = std::chrono::steady_clock::now();
        random = random * 6'364'136'223'846'793'005ULL + 1'442'695'040'888'963'407ULL;
        item.request = RequestNumber(decision) + 1;
        item.account = configuration.configuration.accounts[(random >> 33U) % 66].id;
        item.caller = "scale-1";
        admission.enqueue(item, 100, now);
        if (admission.peek(service)) {
            const auto endpoint
                = routing.choose({ service, true, Milliseconds(20), 0, {} }, now, random >> 20U);
            admission.pop(service);
            if (endpoint)
                inFlight.push_back(*endpoint);
        }
        // Keeps half of the slots of the daemon's own zone in use.
        if (inFlight.size() > 6'900) {
            routing.finish(service, inFlight.front(), CallResult::Succeeded, now);
            inFlight.pop_front();
        }
        maxTime = std::max<std::chrono::nanoseconds>(maxTime, std::chrono::steady_clock::now() - start);
    }
    const std::chrono::duration<double, std::micro> totalTime = std::chrono::steady_clock::now() - begin;
    fmt::print("{}: {} decisions, mean {:.2f} us, longest {:.1f} us\n", name, decisions,
        totalTime.count() / decisions, double(maxTime.count()) / 1'000);
}

} // namespace
} // namespace anvilmoor

int main()
{
    using namespace anvilmoor;
    const FixedConfiguration configuration;
    const DaemonSettings settings { HostId("entry-0"), AvailabilityZoneId("zone-3"), {}, 1 };
    Membership membership(settings, configuration);
    std::vector<Effect> effects;
    const Event event {};
    Step step(event, effects);
    membership.onConfigurationAdopted(step);
    FairShareAdmission admission;
    admission.configure(configuration.configuration);
    ZoneAwareRouting zoneAware(settings, configuration, membership);
    measure("fair share, zone aware", zoneAware, admission, configuration, 200'000);
    // A daemon with 65 peers, after an endpoint has refused a call.
    DaemonSettings contendedSettings = settings;
    for (int host = 1; host < 66; ++host)
        contendedSettings.peers.push_back({ HostId(fmt::format("entry-{}", host)),
            configuration.configuration.zones[std::size_t(host % 11)].id });
    FairShareAdmission contendedAdmission;
    contendedAdmission.configure(configuration.configuration);
    ZoneAwareRouting contended(contendedSettings, configuration, membership);
    const ServiceId service("intake");
    const TimePoint now { Seconds(1) };
    const auto refusing = contended.choose({ service, true, Milliseconds(20), 0, {} }, now, 0);
    contended.finish(service, refusing.value(), CallResult::Busy, now);
    measure("contended", contended, contendedAdmission, configuration, 200'000);
    FairShareAdmission otherAdmission;
    RandomRouting random(configuration, membership);
    measure("fair share, random (baseline)", random, otherAdmission, configuration, 300);
    return 0;
}
