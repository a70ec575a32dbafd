#include "jobs/job_scheduler.h"

#include <utility>

namespace anvilmoor {

namespace {

// Short enough that a guaranteed job whose notice was lost still starts within its bound of 1.6 s. The poll
// reads only the markers of new jobs and cancellations.
constexpr Milliseconds holderPollInterval { 500 };
// A standby reads the rows so that it knows the members of each gang if it becomes the caretaker. The holder
// announces new gangs by a notice; this poll finds those whose notice was lost.
constexpr Milliseconds standbyPollInterval { 60'000 };
constexpr Milliseconds cleanupInterval { 10'000 };
// A stopping process waits no longer than this; the next holder completes the remaining work from the rows.
constexpr Milliseconds shutdownTimeout { 10'000 };
constexpr int maxChangeRounds = 16;

} // namespace

JobScheduler::JobScheduler(const DaemonSettings& settings, const ConfigurationView& configuration,
    const RoleView& role, const PeerDirectory& peers, const EndpointDirectory& endpoints,
    const PlacementPolicy& placement, const NoisePolicy& noise)
    : m_settings(settings)
    , m_configuration(configuration)
    , m_role(role)
    , m_store(settings.zone, role.ownerKey(), m_counter)
    , m_syncer(m_observation)
    , m_admission(settings, configuration, peers, placement)
    , m_controller(settings, configuration, endpoints, placement, noise, m_store, m_observation, m_counter)
    , m_requests(settings, m_admission, m_store, m_counter,
          [this](const JobId& job) {
              // The wait reasons of a former holder are out of date.
              return m_mode == Mode::Holder ? m_controller.waitReason(job) : std::string();
          })
    , m_probe(settings.zone, m_counter)
    , m_caretaker(m_store, m_observation)
{
}

std::optional<HeldRole> JobScheduler::actingRole(TimePoint now) const
{
    const std::optional<HeldRole> held = m_role.held(now);
    if (!held || m_mode != Mode::Holder || !m_term || m_term->token != held->token)
        return std::nullopt;
    const bool isSuperseded
        = m_store.isFenced() || m_syncer.isTokenRefused() || m_controller.isTokenRefused();
    return isSuperseded ? std::nullopt : held;
}

void JobScheduler::updateMode(Step& step)
{
    const std::optional<HeldRole> held = m_role.held(step.now);
    if (held) {
        const bool isSameTerm
            = m_term && m_term->token == held->token && m_term->ownerVersion == held->ownerVersion;
        if (m_mode != Mode::Holder || !isSameTerm)
            becomeHolder(*held, step);
        return;
    }
    const bool isCaretaker = m_role.isCaretaker(step.now);
    if (isCaretaker && m_mode != Mode::Caretaker) {
        m_mode = Mode::Caretaker;
        m_syncer.start(0, step.now);
        step.record("lease.caretaker", { { "zone", m_settings.zone.value() } });
    } else if (!isCaretaker && m_mode != Mode::Standby) {
        m_mode = Mode::Standby;
        m_syncer.stop();
    }
}

void JobScheduler::becomeHolder(const HeldRole& held, Step& step)
{
    const bool isSameTerm
        = m_term && m_term->token == held.token && m_term->ownerVersion == held.ownerVersion;
    m_mode = Mode::Holder;
    m_syncer.start(held.token, step.now);
    if (isSameTerm) {
        m_controller.resume();
        // The next poll of a caretaker may be a minute away, and other daemons may have accepted jobs
        // meanwhile.
        m_nextPoll = step.now;
        return;
    }
    m_term = held;
    m_store.forgetOperations();
    m_controller.begin(held, step);
    m_store.poll(step);
    m_nextPoll = step.now + holderPollInterval;
}

void JobScheduler::applyChanges(Step& step)
{
    for (int round = 0; round < maxChangeRounds; ++round) {
        const std::optional<HeldRole> role = actingRole(step.now);
        if (!role)
            return;
        const std::set<JobId> changed = m_store.takeChanged();
        if (changed.empty())
            return;
        notifyPeersOfPlacement(changed, step);
        m_controller.entriesChanged(changed, *role, step);
    }
}

void JobScheduler::handle(const JobSubmitted& submitted, Step& step)
{
    const bool isHolder = actingRole(step.now).has_value();
    const ZoneSummary own = m_controller.summary();
    m_requests.handle(submitted, isHolder ? &own : nullptr, step);
}

void JobScheduler::handle(const JobQueried& queried, Step& step) { m_requests.handle(queried, step); }

void JobScheduler::handle(const JobsListed& listed, Step& step)
{
    m_requests.handle(listed, m_configuration.current(), step);
}

void JobScheduler::handle(const JobCancelRequested& requested, Step& step)
{
    m_requests.handle(requested, step);
}

void JobScheduler::handle(const TableReplied& replied, Step& step)
{
    if (replied.operation.module != ModuleId::Jobs)
        return;
    if (!m_store.handle(replied, actingRole(step.now), step))
        m_requests.handle(replied, step);
    applyChanges(step);
}

void JobScheduler::handle(const ObjectReplied& replied, Step&)
{
    if (replied.operation.module != ModuleId::Jobs)
        return;
    m_probe.handle(replied);
    m_controller.setObjectStoreDown(m_probe.isKnownDown());
}

void JobScheduler::handle(const RackSynced& synced, Step& step)
{
    const std::set<TaskKey> touched = m_syncer.handle(synced, step);
    if (const std::optional<HeldRole> role = actingRole(step.now))
        m_controller.reportsChanged(touched, *role, step);
    applyChanges(step);
}

void JobScheduler::handle(const RackSyncFailed& failed, Step& step) { m_syncer.handle(failed, step); }

void JobScheduler::handle(const WorkerReplied& replied, Step& step)
{
    if (replied.operation.module != ModuleId::Jobs)
        return;
    if (const std::optional<HeldRole> role = actingRole(step.now))
        m_controller.handle(replied, *role, step);
    applyChanges(step);
}

void JobScheduler::handle(const JobNotice& notice, Step& step)
{
    const bool isOwn = notice.zone == m_settings.zone && zoneOf(notice.job) == m_settings.zone;
    // A standby reads the members of a new gang, so that it can renew their leases if it becomes the
    // caretaker.
    if (isOwn && (actingRole(step.now) || m_mode == Mode::Standby))
        m_store.read(notice.job, step);
}

void JobScheduler::notifyPeersOfPlacement(const std::set<JobId>& changed, Step& step)
{
    for (const JobId& job : changed) {
        const JobEntry* entry = m_store.find(job);
        if (!entry || entry->record.status.state != JobState::Placed)
            continue;
        for (const PeerSetting& peer : m_settings.peers) {
            if (peer.zone == m_settings.zone)
                step.emit(SendToPeer { peer.host, JobNotice { m_settings.zone, job } });
        }
    }
}

void JobScheduler::handle(const PeerLost&, Step&) { }

void JobScheduler::handle(const Tick&, Step& step)
{
    updateMode(step);
    m_requests.tick(step);
    poll(step);
    const std::optional<HeldRole> role = actingRole(step.now);
    if (role) {
        m_probe.tick(step);
        m_controller.setObjectStoreDown(m_probe.isKnownDown());
        m_store.tick(*role, step);
        applyChanges(step);
        m_controller.tick(*role, step);
        applyChanges(step);
        m_syncer.tick([&](const TaskKey& task) { return m_controller.isRenewable(task, step.now); }, step);
    } else if (m_mode == Mode::Caretaker) {
        m_syncer.tick(
            [&](const TaskKey& task) {
                // The leases of a gang that this daemon itself is stopping must not be renewed.
                return m_caretaker.isRenewable(task, step.now)
                    && m_controller.mayRenewAsCaretaker(task, step.now);
            },
            step);
    }
    if (step.now >= m_nextCleanup) {
        m_nextCleanup = step.now + cleanupInterval;
        m_observation.pruneFinished([this](const TaskKey& task) {
            const JobEntry* entry = m_store.find(task.first);
            return entry && !isTerminal(entry->record.status.state);
        });
        if (role)
            m_store.removeExpired(*role, step);
    }
    if (m_mode != Mode::Holder)
        m_store.takeChanged();
    updateIdle(step);
}

void JobScheduler::poll(Step& step)
{
    if (step.now < m_nextPoll)
        return;
    m_nextPoll = step.now + (m_mode == Mode::Holder ? holderPollInterval : standbyPollInterval);
    if (m_mode == Mode::Holder)
        m_store.pollSubmissions(step);
    else
        m_store.poll(step);
}

void JobScheduler::onConfigurationAdopted(Step& step)
{
    const Configuration* configuration = m_configuration.current();
    const AvailabilityZoneConfiguration* zone
        = configuration ? configuration->findZone(m_settings.zone) : nullptr;
    if (!zone)
        return;
    m_observation.configure(*zone);
    m_controller.configure(*zone, step);
}

void JobScheduler::beginShutdown(Step& step)
{
    if (m_shutdownAt)
        return;
    m_shutdownAt = step.now;
    m_requests.beginShutdown();
    m_controller.beginShutdown();
    updateIdle(step);
}

void JobScheduler::updateIdle(Step& step)
{
    if (!m_shutdownAt)
        return;
    const bool isZoneIdle
        = !actingRole(step.now) || (m_controller.isIdleForHandover() && !m_store.writesPending());
    m_isIdle = (m_requests.isIdle() && isZoneIdle) || step.now - *m_shutdownAt >= shutdownTimeout;
}

} // namespace anvilmoor
