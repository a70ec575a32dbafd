#include "batch/placement/placement_round.h"

#include "batch/placement/service_use.h"

#include <algorithm>
#include <utility>

namespace anvilmoor::batch {

namespace {

// Number of idle workers per rack that are kept free from work of priority 1; twice as many are kept free
// from work of lower priority.
constexpr int headroomPerPriority = 2;
// Headroom is kept only if at least this share of the accelerators is in use.
constexpr double headroomMinUtilization = 0.6;
// Headroom is kept only if there has been unfinished urgent work within this time.
constexpr Milliseconds urgentWorkWindow { 3'000 };

// While the service is mostly free, a unit is kept from free room no longer than this; on a busier one, from
// the room of its hold.
constexpr Milliseconds maxWaitBesideRoom { 2'000 };
// A job is kept from workers on which it has failed for longer: a faulty one would use up its attempts.
constexpr Milliseconds maxWaitBesideFailedWorkers { 8'000 };
// The service is mostly free if at most this share of its capacity is in use.
constexpr double mostlyFreeUtilization = 0.6;

std::int64_t acceleratorsOf(const AcceptedJob& job)
{
    std::int64_t most = 0;
    for (const StepSpecification& step : job.specification.steps)
        most = std::max(most, step.perTask.accelerators * step.taskCount);
    return most;
}

} // namespace

PlacementRound::PlacementRound(const PlacementPolicy& placement, const QueueOrder& order,
    Milliseconds stopTimeout, const StoreLimits& storeLimits)
    : m_placement(placement)
    , m_order(order)
    , m_stopTimeout(stopTimeout)
    , m_storeLimits(storeLimits)
{
}

PlacementRound::UnitKey PlacementRound::keyOf(const PlacementUnit& unit)
{
    return { unit.job, unit.occurrence, unit.step, unit.tasks.front() };
}

StepId PlacementRound::stepOf(const PlacementUnit& unit) { return { unit.job, unit.occurrence, unit.step }; }

void PlacementRound::beginRound(JobBook& jobs, const WorkerPool& workers)
{
    m_workers = &workers;
    m_jobs = &jobs;
    m_budgets.clear();
    m_longestWorkerId.reset();
    m_unplaceable.clear();
    m_unplaceableAnywhere.clear();
    m_mostTasksWithinLocality.clear();
    m_candidates.clear();
    m_stepTasksByWorker.clear();
    m_sharesInUse.clear();
    m_lessUrgentShare.beginRound(workers);
}

PlacementOutcome PlacementRound::run(JobBook& jobs, const WorkerPool& workers,
    const Configuration& configuration, TimePoint now, WallTime wallTime)
{
    beginRound(jobs, workers);
    std::erase_if(m_evictionCounts, [&jobs](const auto& entry) { return !jobs.find(entry.first); });
    PlacementOutcome outcome;
    m_earlierRoomSince = std::exchange(m_roomSince, {});
    std::vector<WaitingStep> waiting = collect(jobs, configuration, now, wallTime);
    if (waiting.empty()) {
        m_holds.clear();
        return outcome;
    }
    CapacityViews views = capacityOf(workers, now);
    applyReservations(views, now);
    m_order.sort(waiting, wallTime);
    m_holds.beginRound(waiting, views);
    m_backfill.beginRound(workers, m_holds);
    m_forecast.reset();
    m_beyondShare.clear();
    for (const WaitingStep& step : waiting) {
        const int rank = urgencyRank(step.isGuaranteed, step.job->job().terms.priority);
        m_holds.applyUpTo(rank, views);
        makeForecast(rank, now);
        placeStep(step, views, outcome, now, wallTime);
    }
    return outcome;
}

// Steps of different ranks may stop different runs. Their forecast is the same if there is no backfill.
void PlacementRound::makeForecast(int rank, TimePoint now)
{
    if (m_forecast && (rank == m_forecastRank || m_backfill.isEmpty()))
        return;
    m_forecast.emplace(*m_jobs, m_backfill.stoppableBy(rank, now), m_stopTimeout, now);
    m_forecastRank = rank;
}

void PlacementRound::placeStep(const WaitingStep& waiting, CapacityViews& views, PlacementOutcome& outcome,
    TimePoint now, WallTime wallTime)
{
    // If the first unit does not fit, the others do not fit either, since they need the same resources. For
    // urgent steps all units are tried, because each of them may evict other work.
    const auto tryUnit = [&](PlacementUnit unit) {
        const WaitingUnit each { std::move(unit), waiting.job, waiting.failedOn, waiting.isGuaranteed };
        return placeUnit(each, views, outcome, now, wallTime) || !waiting.job->job().terms.priority;
    };
    if (!tryUnit(waiting.job->firstUnitOf(waiting.position)))
        return;
    std::vector<PlacementUnit> units = waiting.job->unitsOf(waiting.position);
    for (std::size_t i = 1; i < units.size(); ++i) {
        if (!tryUnit(std::move(units[i])))
            return;
    }
}

std::vector<WaitingStep> PlacementRound::collect(
    JobBook& jobs, const Configuration& configuration, TimePoint now, WallTime wallTime)
{
    std::map<ClientAccountId, std::int64_t> unused;
    for (const ClientAccountConfiguration& account : configuration.accounts)
        unused[account.name] = account.guaranteedAccelerators;
    std::vector<JobBook::Entry*> entries = jobs.openEntries();
    std::sort(entries.begin(), entries.end(), [](const JobBook::Entry* a, const JobBook::Entry* b) {
        return a->progress.job().acceptedAt < b->progress.job().acceptedAt;
    });
    std::vector<WaitingStep> waiting;
    for (JobBook::Entry* entry : entries) {
        const AcceptedJob& job = entry->progress.job();
        if (isTerminal(entry->progress.state()))
            continue;
        entry->progress.openDueOccurrences(wallTime);
        bool isGuaranteed = false;
        if (!job.terms.priority) {
            m_urgentSeenAt = now;
            std::int64_t& left = unused[job.terms.account];
            const std::int64_t need = acceleratorsOf(job);
            isGuaranteed = need <= left;
            if (isGuaranteed)
                left -= need;
        }
        const double servedShare = jobs.sizeCounts().relativeServedShare(job.terms.queue, entry->sizeClass);
        for (const StepPosition& position : entry->progress.readySteps())
            waiting.push_back({ position, &entry->progress, &entry->failedOn, isGuaranteed, servedShare });
    }
    return waiting;
}

void PlacementRound::reserve(CapacityView& view, const Reservation& reservation, bool isTaken)
{
    for (const WorkerLifetime& lifetime : reservation.workers) {
        WorkerCapacity* worker = view.find(lifetime);
        if (!worker)
            continue;
        if (isTaken)
            worker->room -= reservation.perTask;
        else
            worker->room += reservation.perTask;
    }
}

void PlacementRound::applyReservations(CapacityViews& views, TimePoint now)
{
    std::erase_if(m_reservations, [now](const auto& entry) { return now >= entry.second.until; });
    for (const auto& [key, reservation] : m_reservations)
        reserve(views[reservation.service], reservation, true);
}

std::size_t PlacementRound::longestWorkerId()
{
    if (m_longestWorkerId)
        return *m_longestWorkerId;
    std::size_t longest = 0;
    for (const auto& [lifetime, worker] : m_workers->all())
        longest = std::max(longest, lifetime.id.value().size());
    m_longestWorkerId = longest;
    return longest;
}

ProgressBudget* PlacementRound::budgetOf(const JobProgress& job)
{
    const auto [position, isNew] = m_budgets.try_emplace(job.job().specification.id);
    std::optional<ProgressBudget>& budget = position->second;
    if (isNew && ProgressBudget::isNeeded(job, m_storeLimits.rowBytes, longestWorkerId()))
        budget.emplace(job, m_storeLimits.rowBytes, longestWorkerId());
    return budget ? &*budget : nullptr;
}

bool PlacementRound::placeUnit(const WaitingUnit& waiting, CapacityViews& views, PlacementOutcome& outcome,
    TimePoint now, WallTime wallTime)
{
    const ServiceId& service = waiting.job->job().terms.service;
    CapacityView& view = views[service];
    if (view.workers().empty())
        return false;
    const PlacementRequest request = requestFor(waiting, view, wallTime);
    const auto reservation = m_reservations.find(keyOf(waiting.unit));
    const bool isReserved = reservation != m_reservations.end();
    const WorkerHold* const hold = m_holds.find(stepOf(waiting.unit));
    const bool isUnplaceable
        = !isReserved && !hold && isKnownUnplaceable(m_unplaceable, shapeOf(waiting, request), request.tasks);
    ProgressBudget* const budget = budgetOf(*waiting.job);
    if (budget && !budget->admits(waiting.unit))
        return false;
    if (!isWithinLessUrgentShare(waiting, request)) {
        m_beyondShare.insert(stepOf(waiting.unit));
        return false;
    }
    if (isReserved)
        reserve(view, reservation->second, false);
    auto workers = findWorkers(waiting, request, hold, view, now, isUnplaceable);
    if (workers) {
        notePlaced(waiting, std::move(*workers), view, outcome);
        return true;
    }
    if (isReserved)
        reserve(view, reservation->second, true);
    else if (isUnplaceable)
        holdFor(waiting, request, view, now);
    else
        makeRoomFor(waiting, request, view, outcome, now, wallTime);
    return false;
}

std::optional<std::vector<WorkerLifetime>> PlacementRound::findWorkers(const WaitingUnit& waiting,
    const PlacementRequest& request, const WorkerHold* hold, CapacityView& view, TimePoint now,
    bool isUnplaceable)
{
    if (hold)
        WorkerHolds::putBack(*hold, view);
    std::optional<std::vector<WorkerLifetime>> workers;
    if (!isUnplaceable)
        workers = placeWithHeadroom(waiting, request, view, now);
    const bool mayFill = hold && now >= hold->since + maxWaitBesideRoom;
    if (!workers && mayFill && WorkerHolds::fill(*hold, request, view))
        workers = hold->workers;
    if (!workers)
        workers = placeAnywhere(waiting, request, view, now);
    if (!workers && hold) {
        WorkerHolds::take(*hold, view);
        m_holds.reconsider(stepOf(waiting.unit), request, view, *m_forecast, now);
    }
    return workers;
}

void PlacementRound::notePlaced(const WaitingUnit& waiting, std::vector<WorkerLifetime> workers,
    CapacityView& view, PlacementOutcome& outcome)
{
    m_reservations.erase(keyOf(waiting.unit));
    m_holds.erase(stepOf(waiting.unit));
    noteBackfill(waiting, workers, view);
    if (waiting.job->specificationOf(waiting.unit.step).maxTasksPerWorker) {
        for (const WorkerLifetime& worker : workers)
            ++m_stepTasksByWorker[stepOf(waiting.unit)][worker];
    }
    if (ProgressBudget* const budget = budgetOf(*waiting.job))
        budget->take(waiting.unit);
    const QueueTerms& terms = waiting.job->job().terms;
    m_lessUrgentShare.notePlaced(terms.service, terms.priority, resourcesOf(waiting));
    outcome.placed.push_back({ waiting.unit, std::move(workers) });
}

// Places a unit that has been kept from free room for long, regardless of its locality and of headroom.
std::optional<std::vector<WorkerLifetime>> PlacementRound::placeAnywhere(
    const WaitingUnit& waiting, const PlacementRequest& request, CapacityView& view, TimePoint now)
{
    if (!isMostlyFree(waiting.job->job().terms.service))
        return std::nullopt;
    const StepId step = stepOf(waiting.unit);
    const auto earlier = m_earlierRoomSince.find(step);
    const bool isNew = earlier == m_earlierRoomSince.end();
    const TimePoint since = isNew ? now : earlier->second;
    const Milliseconds waited = now - since;
    // The search is made only when the wait begins and when it may be over.
    if (!isNew && waited < maxWaitBesideRoom) {
        m_roomSince.emplace(step, since);
        return std::nullopt;
    }
    PlacementRequest anywhere = request;
    anywhere.mayRelaxLocality = true;
    const std::vector<Resources> rooms = view.rooms();
    Milliseconds maxWait = maxWaitBesideRoom;
    auto workers = placeOnOpenWorkers(waiting, anywhere, view, now);
    if (!workers && !waiting.failedOn->empty()) {
        anywhere.excludedWorkers = nullptr;
        maxWait = maxWaitBesideFailedWorkers;
        workers = placeOnOpenWorkers(waiting, anywhere, view, now);
    }
    if (workers && waited >= maxWait)
        return workers;
    // The wait goes on while another step may be about to take the room.
    if (workers || m_holds.hasExclusive(waiting.job->job().terms.service, now))
        m_roomSince.emplace(step, since);
    view.setRooms(rooms);
    return std::nullopt;
}

std::optional<std::vector<WorkerLifetime>> PlacementRound::placeOnOpenWorkers(
    const WaitingUnit& waiting, const PlacementRequest& request, CapacityView& view, TimePoint now)
{
    const Shape shape = shapeOf(waiting, request);
    const QueueTerms& terms = waiting.job->job().terms;
    const StepId own = stepOf(waiting.unit);
    if (!m_holds.find(own) && isKnownUnplaceable(m_unplaceableAnywhere, shape, request.tasks))
        return std::nullopt;
    const WorkerHolds::Selection open = m_holds.open(terms.service, own, now);
    WorkerHolds::putBack(open, view);
    auto workers = m_placement.place(request, view);
    WorkerHolds::take(open, view);
    if (!workers && isDecidedByShape(waiting))
        noteUnplaceable(m_unplaceableAnywhere, shape, request.tasks);
    return workers;
}

// Steps that last until they are cancelled are exempt: the wait would have no end.
bool PlacementRound::isWithinLessUrgentShare(const WaitingUnit& waiting, const PlacementRequest& request)
{
    const QueueTerms& terms = waiting.job->job().terms;
    if (request.step.runsUntilCancelled || isMostlyFree(terms.service))
        return true;
    return m_lessUrgentShare.admits(terms.service, terms.priority);
}

// Counts workers that get no new runs at present as well: a few of them in use do not make a service full.
bool PlacementRound::isMostlyFree(const ServiceId& service)
{
    const auto [share, isNew] = m_sharesInUse.try_emplace(service);
    if (isNew)
        share->second = shareInUse(*m_workers, service);
    return share->second <= mostlyFreeUtilization;
}

// Keeps less urgent work off some idle workers in each rack, so that urgent gangs can start without
// evictions. Applies only while most of the service is in use.
std::optional<std::vector<WorkerLifetime>> PlacementRound::placeWithHeadroom(
    const WaitingUnit& waiting, const PlacementRequest& request, CapacityView& view, TimePoint now) const
{
    const int priority = waiting.job->job().terms.priority;
    const auto keep = static_cast<std::size_t>(std::min(priority, 2) * headroomPerPriority);
    const bool isUrgentWorkDue = m_urgentSeenAt && now < *m_urgentSeenAt + urgentWorkWindow;
    const bool isRoomKept
        = keep && isUrgentWorkDue && view.acceleratorUtilization() >= headroomMinUtilization;
    CapacityView::Hidden hidden;
    if (isRoomKept)
        hidden = view.hideIdleWorkers(keep);
    auto workers = m_placement.place(request, view);
    view.restore(hidden);
    return workers;
}

std::optional<TimePoint> PlacementRound::heldSince(const JobId& job, const StepPosition& position) const
{
    const WorkerHold* const hold = m_holds.find({ job, position.occurrence, position.step });
    return hold ? std::optional(hold->since) : std::nullopt;
}

} // namespace anvilmoor::batch
