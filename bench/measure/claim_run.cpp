#include "measure/claim_run.h"

#include "admission/fifo_admission.h"
#include "measure/statistics.h"
#include "noise/counting_noise.h"
#include "placement/first_fit_placement.h"
#include "reclaim/newest_first_reclaim.h"
#include "reclaim/reclaim_policy.h"
#include "routing/random_routing.h"
#include "support/test_cluster.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace anvilmoor::measure {

namespace {

constexpr int zoneAccelerators = 128; // cap of the baseline in lesson hours: all of a zone
constexpr Milliseconds stepLength { 10 };
constexpr Milliseconds maxWait { 20'000 }; // recorded for a claim that does not run by then

ReducerPolicies baselinePolicies()
{
    ReducerPolicies policies;
    policies.reclaim = std::make_unique<NewestFirstReclaim>();
    policies.placement = std::make_unique<FirstFitPlacement>();
    policies.noise = std::make_unique<CountingNoise>(zoneAccelerators);
    policies.admission = std::make_unique<FifoAdmission>();
    policies.makeRouting = [](const DaemonSettings&, const ConfigurationView& configuration,
                               const EndpointDirectory& endpoints) {
        return std::make_unique<RandomRouting>(configuration, endpoints);
    };
    return policies;
}

struct Claim {
    CallerHandle handle = 0;
    int accelerators = 0;
    std::string zone;
    TimePoint acceptedAt {};
    bool isAccepted = false;
    bool isRunning = false;
};

class ClaimRun {
public:
    ClaimRun(const std::string& document, const Configuration& configuration, ClaimFault fault,
        PolicySet policies, std::uint64_t seed)
        : m_configuration(configuration)
        , m_fault(fault)
        , m_random(seed)
        , m_cluster({ .seed = seed,
              .hostsPerZone = 2,
              .document = document,
              .policies = policies == PolicySet::Current ? defaultPolicies : baselinePolicies,
              .localTimeAtStart = 22 * 60 * 60 })
    {
    }

    ClaimResult run()
    {
        m_cluster.runFor(Seconds(15));
        if (m_fault == ClaimFault::FailingWorkers)
            failWorkers();
        submitBorrowedJobs();
        m_cluster.runFor(Seconds(40));
        beginFault();
        submitClaims();
        const TimePoint end = m_cluster.now() + maxWait;
        while (m_cluster.now() < end && !isDone()) {
            m_cluster.runFor(stepLength);
            observe();
        }
        for (Claim& claim : m_claims)
            recordResult(claim);
        return m_result;
    }

private:
    void failWorkers()
    {
        // One worker of each zone, 3 of 48.
        for (const AvailabilityZoneConfiguration& zone : m_configuration.zones)
            m_cluster.worker(zone.racks.front().workers[3].id).failsEverything = true;
    }

    // Submits more borrowed jobs of mixed sizes than a zone holds; jobs that do not fit stay queued.
    void submitBorrowedJobs()
    {
        for (const AvailabilityZoneConfiguration& zone : m_configuration.zones) {
            for (int left = 150; left > 0;) {
                const int size = m_random.below(6) == 0 ? 32 : 1 + int(m_random.below(8));
                JobSpecification job;
                job.account = m_configuration.accounts[m_random.below(2)].id;
                job.key = fmt::format("fill-{}-{}", zone.id.value(), left);
                job.zone = zone.id;
                job.accelerators = size;
                job.declaredRunTime = std::chrono::hours(4);
                m_cluster.submitJob(m_cluster.hostsOf(zone.id.value()).front(), job);
                left -= size;
            }
        }
    }

    void beginFault()
    {
        if (m_fault == ClaimFault::ObjectStoreDown)
            m_cluster.objectMode = test::ServiceMode::Down;
        if (m_fault == ClaimFault::ZoneCut) {
            const std::string zone = m_configuration.zones.back().id.value();
            m_cluster.zonesCutFromPlatform.insert(zone);
            m_cluster.zonesCutFromPeers.insert(zone);
        }
        if (m_fault == ClaimFault::TableOutage) {
            m_cluster.tableMode = test::ServiceMode::Down;
            m_cluster.runFor(std::chrono::minutes(10));
            m_cluster.tableMode = test::ServiceMode::Up;
            // Zone roles are acquired again within the takeover time.
            m_cluster.runFor(Seconds(10));
        }
        if (m_fault == ClaimFault::ObjectStoreDown || m_fault == ClaimFault::ZoneCut)
            m_cluster.runFor(Seconds(30));
    }

    void submitClaims()
    {
        for (const ClientAccountConfiguration& account : m_configuration.accounts) {
            for (const GuaranteeConfiguration& guarantee : account.guarantees) {
                for (int index = 0; index < guarantee.count; ++index) {
                    JobSpecification job;
                    job.account = account.id;
                    job.key = fmt::format("claim-{}-{}", guarantee.name, index);
                    job.zone = guarantee.zone;
                    job.jobClass = JobClass::Guaranteed;
                    job.accelerators = guarantee.accelerators;
                    job.declaredRunTime = std::chrono::hours(1);
                    const std::string zone = guarantee.zone.value();
                    m_claims.push_back({ m_cluster.submitJob(m_cluster.hostsOf(zone).front(), job),
                        guarantee.accelerators, zone });
                }
            }
        }
    }

    bool isDone() const
    {
        return std::all_of(m_claims.begin(), m_claims.end(), [&](const Claim& claim) {
            return claim.isRunning
                || (!claim.isAccepted && !m_cluster.operatorCall(claim.handle).answers.empty());
        });
    }

    void observe()
    {
        for (Claim& claim : m_claims) {
            if (claim.isRunning)
                continue;
            const std::optional<JobStatus> job = m_cluster.jobOf(claim.handle);
            if (!job)
                continue;
            if (!claim.isAccepted) {
                claim.isAccepted = true;
                claim.acceptedAt = m_cluster.now() - stepLength;
            }
            if (runningAccelerators(job->specification.id, claim.zone) < claim.accelerators)
                continue;
            claim.isRunning = true;
            m_result.waitMs.push_back(double((m_cluster.now() - claim.acceptedAt).count()));
        }
    }

    int runningAccelerators(const JobId& job, const std::string& zone)
    {
        int running = 0;
        for (const WorkerId& id : m_cluster.workersOf(zone)) {
            for (const auto& [key, task] : m_cluster.worker(id).tasks())
                running += key.first == job && task.phase == TaskPhase::Running ? task.accelerators : 0;
        }
        return running;
    }

    void recordResult(const Claim& claim)
    {
        m_result.refused += claim.isAccepted ? 0 : 1;
        m_result.claims += claim.isAccepted ? 1 : 0;
        if (!claim.isAccepted)
            return;
        if (!claim.isRunning)
            m_result.waitMs.push_back(double(maxWait.count()));
        if (claim.isRunning)
            return;
        const std::optional<JobStatus> job = m_cluster.jobOf(claim.handle);
        if (m_result.firstUnstartedClaim.empty() && job)
            m_result.firstUnstartedClaim = m_cluster.jobRow(job->specification.id).value_or("no row");
    }

    const Configuration& m_configuration;
    ClaimFault m_fault;
    Random m_random;
    test::TestCluster m_cluster;
    std::vector<Claim> m_claims;
    ClaimResult m_result;
};

} // namespace

ClaimResult runClaims(const std::string& document, const Configuration& configuration, ClaimFault fault,
    PolicySet policies, std::uint64_t seed)
{
    ClaimResult result = ClaimRun(document, configuration, fault, policies, seed).run();
    result.late = std::size_t(std::count_if(result.waitMs.begin(), result.waitMs.end(),
        [](double wait) { return wait > double(reclaimBound.count()); }));
    return result;
}

} // namespace anvilmoor::measure
