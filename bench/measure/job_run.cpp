#include "measure/job_run.h"

#include "measure/statistics.h"
#include "placement/first_fit_placement.h"
#include "placement/guarantee_aware_placement.h"
#include "placement/job_limits.h"
#include "reclaim/least_lost_work_reclaim.h"
#include "support/zone_builder.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <map>
#include <set>

namespace anvilmoor::measure {

namespace {

constexpr Milliseconds startDelay { 20 }; // reserve, commit, confirm and run
constexpr Milliseconds maxDrainTime { std::chrono::hours(24) }; // after the end of the arrivals

struct Job {
    JobSpecification specification;
    Milliseconds runTime { 0 }; // the real one
    Milliseconds savedProgress { 0 }; // progress kept over evictions
    TimePoint submittedAt {};
    TimePoint startedAt {};
    TimePoint endsAt {};
    bool hasStarted = false;
    bool isGang = false;
};

class JobRun {
public:
    JobRun(
        const Configuration& configuration, std::size_t zone, const JobScenario& scenario, PolicySet policies)
        : m_configuration(configuration)
        , m_zone(m_configuration.zones[zone])
        , m_scenario(scenario)
        , m_guaranteeAware(m_reclaim)
        , m_policy(policies == PolicySet::Current ? static_cast<const PlacementPolicy&>(m_guaranteeAware)
                                                  : m_firstFit)
        , m_inventory(usableInventory(m_zone))
        , m_random(scenario.seed * 100 + zone)
    {
        for (const WorkerCapacity& worker : m_inventory.workers())
            m_capacity += worker.accelerators;
        m_largestShape = largestGuaranteedShape(m_configuration, m_zone.id);
        computeMinUnusable();
        makeSmallJobs();
        makeGangs();
        makeClaims();
    }

    JobResult run()
    {
        m_result.availableSeconds = double(m_capacity) * seconds(m_scenario.length);
        const TimePoint limit = TimePoint {} + m_scenario.length + maxDrainTime;
        while (!m_events.empty() && m_events.begin()->first < limit) {
            const TimePoint next = m_events.begin()->first;
            accumulateUsage(next);
            m_now = next;
            while (!m_events.empty() && m_events.begin()->first == m_now) {
                const auto [kind, job] = m_events.begin()->second;
                m_events.erase(m_events.begin());
                handleEvent(kind, job);
            }
            startClaims();
            plan();
        }
        for (const QueuedJob& queued : m_queue) {
            const Job& job = m_jobs[queued.specification.id];
            ++m_result.unfinishedJobs;
            if (!job.isGang || job.hasStarted)
                continue;
            ++m_result.unstartedGangs;
            m_result.gangWaitMs.push_back(double((m_now - job.submittedAt).count()));
        }
        return std::move(m_result);
    }

private:
    enum class EventKind { Arrive, End, Leave, Replan };

    static double seconds(Milliseconds time) { return double(time.count()) / 1'000; }
    static Milliseconds minutes(double value) { return Milliseconds(Milliseconds::rep(value * 60'000)); }

    void add(int accelerators, double runMinutes, JobClass jobClass, const ClientAccountId& account,
        TimePoint at, bool isGang)
    {
        Job job;
        job.specification.id = JobId(fmt::format("{}.{:06}", m_zone.id.value(), m_jobs.size()));
        job.specification.account = account;
        job.specification.zone = m_zone.id;
        job.specification.jobClass = jobClass;
        job.specification.accelerators = accelerators;
        job.runTime = minutes(runMinutes);
        const double error = std::pow(m_scenario.runTimeError, m_random.between(-1, 1));
        job.specification.declaredRunTime = minutes(runMinutes * error);
        job.isGang = isGang;
        m_events.emplace(at, std::pair(EventKind::Arrive, job.specification.id));
        m_jobs.emplace(job.specification.id, std::move(job));
    }

    int unusableOf(int free) const { return m_largestShape > 0 ? free % m_largestShape : 0; }

    // For each number of free accelerators, the least sum of unusable remainders over all ways to distribute
    // the free accelerators among the racks. This is a lower bound: it ignores whether the present jobs can
    // be packed in this way.
    void computeMinUnusable()
    {
        m_minUnusable = { 0 };
        for (const RackCapacity& rack : m_inventory.racks()) {
            std::vector<int> next(m_minUnusable.size() + std::size_t(rack.accelerators), m_capacity);
            for (std::size_t others = 0; others < m_minUnusable.size(); ++others) {
                for (int free = 0; free <= rack.accelerators; ++free) {
                    int& least = next[others + std::size_t(free)];
                    least = std::min(least, m_minUnusable[others] + unusableOf(free));
                }
            }
            m_minUnusable = std::move(next);
        }
    }

    // Draws accounts in proportion to their shares.
    const ClientAccountId& drawAccount()
    {
        double sum = 0;
        for (const ClientAccountConfiguration& account : m_configuration.accounts)
            sum += account.share;
        double drawn = m_random.uniform() * sum;
        for (const ClientAccountConfiguration& account : m_configuration.accounts) {
            drawn -= account.share;
            if (drawn < 0)
                return account.id;
        }
        return m_configuration.accounts.back().id;
    }

    // Adds jobs with arrivals from a Poisson process of this load.
    template <typename Draw> void makeJobs(double load, double meanAcceleratorMinutes, Draw draw)
    {
        if (load <= 0)
            return;
        const double gapMs = meanAcceleratorMinutes * 60'000 / (load * m_capacity);
        for (double at = m_random.exponential(gapMs); at < double(m_scenario.length.count());
             at += m_random.exponential(gapMs))
            draw(TimePoint {} + Milliseconds(Milliseconds::rep(at)));
    }

    void makeSmallJobs()
    {
        makeJobs(m_scenario.smallLoad, 4.5 * 22.5, [&](TimePoint at) {
            add(1 + int(m_random.below(8)), m_random.between(5, 40), JobClass::Borrowed, drawAccount(), at,
                false);
        });
    }

    void makeGangs()
    {
        const int half = m_inventory.rackSize() / 2;
        makeJobs(m_scenario.gangLoad, 1.25 * half * 20, [&](TimePoint at) {
            const int size = m_random.below(4) == 0 ? 2 * half : half;
            // The quota of a small account holds only one such gang, so the large accounts submit the gangs.
            const ClientAccountId& account = m_configuration.accounts[m_random.below(2)].id;
            add(size, m_random.between(10, 30), JobClass::Borrowed, account, at, true);
        });
    }

    void makeClaims()
    {
        const double length = double(m_scenario.length.count());
        for (const ClientAccountConfiguration& account : m_configuration.accounts) {
            for (const GuaranteeConfiguration& guarantee : account.guarantees) {
                if (guarantee.zone != m_zone.id)
                    continue;
                // Each claim has its own part of the shift, so that an account never claims more than it is
                // guaranteed.
                for (int claim = 0; claim < m_scenario.claimsPerGuarantee; ++claim) {
                    const double at
                        = (claim + m_random.between(0.1, 0.4)) * length / m_scenario.claimsPerGuarantee;
                    add(guarantee.accelerators, m_random.between(10, 20), JobClass::Guaranteed, account.id,
                        TimePoint {} + Milliseconds(Milliseconds::rep(at)), false);
                }
            }
        }
    }

    void accumulateUsage(TimePoint until)
    {
        const TimePoint horizon = TimePoint {} + m_scenario.length;
        const double passed = seconds(std::min(until, horizon) - std::min(m_now, horizon));
        if (passed <= 0)
            return;
        int free = 0;
        int unusable = 0;
        for (const RackCapacity& rack : m_inventory.racks()) {
            free += rack.free;
            unusable += unusableOf(rack.free);
        }
        m_result.freeSeconds += passed * free;
        m_result.unusableFreeSeconds += passed * unusable;
        m_result.minUnusableFreeSeconds += passed * m_minUnusable[std::size_t(free)];
        m_result.heldSeconds += passed * (m_capacity - free);
    }

    void handleEvent(EventKind kind, const JobId& id)
    {
        Job& job = m_jobs[id];
        const Holding* holding = m_inventory.find(id);
        if (kind == EventKind::Arrive) {
            job.submittedAt = m_now;
            m_queue.push_back({ .specification = job.specification, .queuedAt = m_now });
        } else if (kind == EventKind::End && holding && job.endsAt == m_now) {
            m_inventory.remove(id);
            m_result.completionMs.push_back(double((m_now - job.submittedAt).count()));
        } else if (kind == EventKind::Leave && holding && holding->isLeaving) {
            job.savedProgress += m_now - job.startedAt;
            m_inventory.remove(id);
            m_queue.push_back({ .specification = job.specification, .queuedAt = job.submittedAt });
            std::stable_sort(m_queue.begin(), m_queue.end(),
                [](const QueuedJob& left, const QueuedJob& right) { return left.queuedAt < right.queuedAt; });
        }
    }

    // As in ZoneController, a claim whose members are free starts before the next plan, so that no other job
    // takes the room for which jobs were evicted. A claim whose members can no longer become free is planned
    // again.
    void startClaims()
    {
        std::vector<PlacementStart> claims;
        for (QueuedJob& queued : m_queue) {
            if (!queued.claimedMembers.empty() && !isBusy(queued.claimedMembers))
                claims.push_back({ queued.specification.id, queued.claimedMembers, {} });
        }
        for (const PlacementStart& claim : claims)
            carryOut(claim);
        for (QueuedJob& queued : m_queue) {
            if (!canBecomeFree(queued.claimedMembers))
                queued.claimedMembers.clear();
        }
    }

    void plan()
    {
        for (const auto& [id, holding] : m_inventory.holdings()) {
            const Milliseconds progress = m_jobs[id].savedProgress + (m_now - holding.startedAt);
            m_progress.emplace_back(id, progress);
        }
        for (const auto& [id, progress] : m_progress)
            m_inventory.updateProgress(id, progress, m_jobs[id].savedProgress);
        m_progress.clear();
        const PlacementPlan plan = m_policy.plan(m_inventory, m_configuration, m_queue, m_now);
        for (const PlacementStart& start : plan.starts)
            carryOut(start);
        startMove();
        // Plans again every 10 s while jobs wait, because priorities age and waits reach the limits for
        // evictions without an event.
        if (!m_queue.empty() && m_nextReplan <= m_now) {
            m_nextReplan = m_now + Seconds(10);
            m_events.emplace(m_nextReplan, std::pair(EventKind::Replan, m_queue.front().specification.id));
        }
    }

    // Moves a job under the same conditions as ZoneController: no job waits and none is leaving.
    void startMove()
    {
        const bool isLeaving = std::any_of(m_inventory.holdings().begin(), m_inventory.holdings().end(),
            [](const auto& holding) { return holding.second.isLeaving; });
        if (m_now < m_nextMove || !m_queue.empty() || isLeaving)
            return;
        const std::optional<DefragmentationMove> move
            = m_policy.proposeMove(m_inventory, m_configuration, m_now);
        if (!move)
            return;
        m_nextMove = m_now + moveInterval;
        ++m_result.moves;
        m_inventory.setLeaving(move->job);
        m_events.emplace(m_now + checkpointGrace, std::pair(EventKind::Leave, move->job));
    }

    void carryOut(const PlacementStart& start)
    {
        const auto queued = std::find_if(m_queue.begin(), m_queue.end(),
            [&](const QueuedJob& job) { return job.specification.id == start.job; });
        if (queued == m_queue.end())
            return;
        for (const JobId& eviction : start.evictions) {
            const Holding* holding = m_inventory.find(eviction);
            if (!holding || holding->isLeaving)
                continue;
            ++m_result.evictions;
            m_inventory.setLeaving(eviction);
            m_events.emplace(m_now + checkpointGrace, std::pair(EventKind::Leave, eviction));
        }
        if (!start.evictions.empty() || isBusy(start.members)) {
            queued->claimedMembers = start.members;
            return;
        }
        Job& job = m_jobs[start.job];
        if (!m_inventory.add({ .job = start.job,
                .account = job.specification.account,
                .jobClass = job.specification.jobClass,
                .priority = job.specification.priority,
                .members = start.members,
                .startedAt = m_now + startDelay }))
            return;
        m_queue.erase(queued);
        job.startedAt = m_now + startDelay;
        const double waited = double((job.startedAt - job.submittedAt).count());
        if (job.isGang && !job.hasStarted)
            m_result.gangWaitMs.push_back(waited);
        if (job.specification.jobClass == JobClass::Guaranteed)
            m_result.claimWaitMs.push_back(waited);
        job.hasStarted = true;
        job.endsAt = job.startedAt + (job.runTime - job.savedProgress);
        m_events.emplace(job.endsAt, std::pair(EventKind::End, start.job));
    }

    bool isBusy(const std::vector<GangMember>& members) const
    {
        return std::any_of(members.begin(), members.end(), [&](const GangMember& member) {
            return m_inventory.find(member.worker)->free() < member.accelerators;
        });
    }

    bool canBecomeFree(const std::vector<GangMember>& members) const
    {
        return std::all_of(members.begin(), members.end(), [&](const GangMember& member) {
            const WorkerCapacity* worker = m_inventory.find(member.worker);
            return worker->free() + worker->heldByLeaving >= member.accelerators;
        });
    }

    const Configuration& m_configuration;
    const AvailabilityZoneConfiguration& m_zone;
    const JobScenario& m_scenario;
    LeastLostWorkReclaim m_reclaim;
    GuaranteeAwarePlacement m_guaranteeAware;
    FirstFitPlacement m_firstFit;
    const PlacementPolicy& m_policy;
    ZoneInventory m_inventory;
    Random m_random;
    int m_capacity = 0;
    int m_largestShape = 0;
    std::vector<int> m_minUnusable; // by the number of free accelerators of the zone
    std::map<JobId, Job> m_jobs;
    std::vector<QueuedJob> m_queue;
    std::multimap<TimePoint, std::pair<EventKind, JobId>> m_events;
    std::vector<std::pair<JobId, Milliseconds>> m_progress;
    TimePoint m_now {};
    TimePoint m_nextReplan {};
    TimePoint m_nextMove {};
    JobResult m_result;
};

} // namespace

JobResult runJobs(
    const Configuration& configuration, std::size_t zone, const JobScenario& scenario, PolicySet policies)
{
    return JobRun(configuration, zone, scenario, policies).run();
}

} // namespace anvilmoor::measure
