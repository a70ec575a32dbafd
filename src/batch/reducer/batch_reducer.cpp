#include "batch/reducer/batch_reducer.h"

#include "batch/store/tables.h"

#include <utility>
#include <variant>

namespace anvilmoor::batch {

namespace {

// Time after SIGTERM during which requests are still served. The load balancer needs two failed probes, one
// second apart, before it sends connections to other daemons.
constexpr Milliseconds shutdownDrainTime { 2'600 };
// The daemon stops at the latest this long before SIGKILL, so that the last answers leave the host.
constexpr Milliseconds shutdownMargin { 700 };
// Maximum age of the last confirmation of the configuration for the daemon to be ready. The store confirms
// the configuration every 0.6 s, or every second if it is slow. A daemon without a confirmation for longer
// has most likely lost contact with the store, and another daemon can serve new connections better.
constexpr Milliseconds readinessTimeout { 1'300 };
// The platform allows the number of waiting jobs to be this old.
constexpr Milliseconds maxAgeOfCount { 2'000 };

} // namespace

BatchReducer::BatchReducer(BatchSettings settings)
    : m_settings(std::move(settings))
    , m_configuration(m_settings.maxConfigurationAge)
    , m_lease(m_settings.daemonName, m_settings.claimDelay, longestLeaseInRealTime(m_settings.workerLeases))
    , m_scheduler(m_lease, m_configuration.current(), m_placement, m_order, m_settings.workerLeases,
          m_settings.storeLimits)
    , m_intake(m_configuration, *this, m_settings.storeLimits)
{
}

std::vector<Effect> BatchReducer::handle(const Event& event)
{
    std::vector<Effect> effects;
    Step step(event, effects);
    std::visit([&](const auto& payload) { on(payload, step); }, event.payload);
    m_scheduler.finishEvent(step);
    return effects;
}

bool BatchReducer::isReady(TimePoint now) const
{
    return !m_shutdownAt && m_configuration.isFresh(now, readinessTimeout);
}

std::optional<JobState> BatchReducer::stateOf(const JobId& job, TimePoint now) const
{
    return m_scheduler.stateOf(job, now);
}

std::optional<std::uint64_t> BatchReducer::waitingJobs(const std::string& queue, TimePoint now) const
{
    const WaitingJobs& waiting = m_lease.record().waitingJobs;
    if (!waiting.countedAt || m_lease.storeClock(now) > waiting.countedAt + maxAgeOfCount.count())
        return std::nullopt;
    const auto found = waiting.byQueue.find(queue);
    return found == waiting.byQueue.end() ? 0 : found->second;
}

void BatchReducer::on(const Tick&, Step& step)
{
    m_intake.tick(step);
    m_scheduler.tick(step);
    if (!m_shutdownAt || m_hasStopped)
        return;
    const bool hasDrained = step.now >= *m_shutdownAt + shutdownDrainTime;
    const bool isDone = hasDrained && m_scheduler.hasSteppedDown() && !m_intake.openRequests();
    if (!isDone && step.now < *m_shutdownAt + m_settings.shutdownGrace - shutdownMargin)
        return;
    m_hasStopped = true;
    m_intake.stop(step);
    step.emit(StopDaemon {});
}

void BatchReducer::on(const PlacementTurn& turn, Step& step) { m_scheduler.placementTurn(turn, step); }

void BatchReducer::on(const ShutdownRequested&, Step& step)
{
    if (m_shutdownAt)
        return;
    step.record("daemon.shutdown", { { "leads", m_lease.isLeader() ? "yes" : "no" } });
    m_shutdownAt = step.now;
    m_scheduler.stepDown();
}

void BatchReducer::on(const CallerRequest& request, Step& step) { m_intake.requested(request, step); }

void BatchReducer::on(const CallerGone& gone, Step&) { m_intake.callerGone(gone); }

void BatchReducer::on(const ConfigurationUpdated& update, Step& step)
{
    // Any answer counts as contact with the store. After an outage, the pending read of the lease row may be
    // answered later than this one.
    m_lease.noteAnswer(step.now);
    if (m_configuration.applyUpdate(update))
        step.record("configuration.in_force",
            { { "version", std::to_string(m_configuration.current().version) },
                { "queues", std::to_string(m_configuration.current().queues.size()) } });
}

void BatchReducer::on(const WorkersUpdated& update, Step& step) { m_scheduler.workersUpdated(update, step); }

void BatchReducer::on(const RowsUpdated& update, Step& step)
{
    if (update.table != SchedulerTable::Lease) {
        m_scheduler.rowsUpdated(update, step);
        return;
    }
    m_lease.noteAnswer(step.now);
    if (update.isComplete && update.rows.empty())
        m_lease.observe(std::nullopt, step.now, update.answeredAt);
    for (const Row& row : update.rows) {
        if (row.key == leaseKey() && !m_lease.isLeader())
            m_lease.observe(row, step.now, update.answeredAt);
    }
}

void BatchReducer::on(const CommitAnswered& answer, Step& step)
{
    if (answer.operation & writerOperationBit)
        m_intake.commitAnswered(answer, step);
    else
        m_scheduler.commitAnswered(answer, step);
}

void BatchReducer::on(const ReadAnswered& answer, Step& step)
{
    if (answer.operation & intakeOperationBit)
        m_intake.readAnswered(answer, step);
    else
        m_scheduler.readAnswered(answer, step);
}

void BatchReducer::on(const StartAnswered& answer, Step& step) { m_scheduler.startAnswered(answer, step); }

void BatchReducer::on(const StopAnswered& answer, Step& step) { m_scheduler.stopAnswered(answer, step); }

void BatchReducer::on(const HoldAnswered& answer, Step& step) { m_scheduler.holdAnswered(answer, step); }

} // namespace anvilmoor::batch
