// Runs one cell: starts the work of its path, injects the faults at their steps, and checks the final state.

#include "jobs/job_codec.h"
#include "support/fault_matrix.h"
#include "support/test_document.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <random>

namespace anvilmoor::test {

namespace {

constexpr Milliseconds settleTime { 5'000 };
constexpr Milliseconds firstCheckTime { 60'000 }; // from the start of the work to the first final check
constexpr Milliseconds maxRunTime { 160'000 }; // limit: 120 s after the last fault is healed
constexpr Milliseconds resendTime { 35'000 }; // when callers without a clear answer resend
// Time to recover from a fault: the lease of an unreachable member expires after 38.5 s, a role after 4 s.
constexpr Milliseconds recoveryTime { 45'000 };

const std::string zone = "north";

class MatrixRun {
public:
    explicit MatrixRun(const MatrixCell&);

    MatrixResult run();

private:
    struct Pending {
        MatrixInjection injection;
        bool isInjected = false;
    };

    struct Submission {
        JobSpecification specification;
        CallerHandle handle = 0;
    };

    ChannelAction handleChannelMessage(const ChannelMessage&);
    ChannelAction inject(MatrixFault, const ChannelMessage&);
    void injectDaemonFault(MatrixFault, const ChannelMessage&);
    void injectWorkerFault(MatrixFault, const ChannelMessage&);
    void injectServiceFault(MatrixFault);
    void injectZoneFault(MatrixFault);
    void silenceConnection(const ChannelMessage&);
    void sendCompetingRequest();
    void cancelAll();
    void healAfter(Milliseconds, std::function<void()>);

    void startWork();
    void workOnJobs();
    void workOnClaim();
    void workOnRequests(const std::string& operation);
    void workOnConfiguration();
    void workOnDrain();
    void workOnRole();
    void resend();

    void submit(
        const std::string& account, const std::string& key, JobClass, int accelerators, Milliseconds runTime);
    void request(std::size_t host, const std::string& key, const std::string& operation, bool isAlone);
    void resendWhenAnswered(std::size_t index);
    void apply(const std::string& limit, ConfigurationVersion expected);
    const HostId& host(std::size_t index) const
    {
        return m_cluster.hosts()[index % m_cluster.hosts().size()];
    }
    HostId liveHost(std::size_t preferred) const;
    WorkerId targetWorker(const ChannelMessage&) const;
    EndpointId drainedEndpoint() const;
    bool hasFault(MatrixFault) const;

    std::vector<std::string> finalErrors();
    void checkJobs(std::vector<std::string>& errors);
    void checkTasks(std::vector<std::string>& errors);
    void checkDaemons(std::vector<std::string>& errors);
    void checkPartialRuns(std::vector<std::string>& errors);
    void checkRequests(std::vector<std::string>& errors);
    void checkStop(std::vector<std::string>& errors);

    std::vector<Pending> m_pending;
    MatrixPath m_path;
    std::mt19937_64 m_random;
    TestCluster m_cluster;
    bool m_isInjectionEnabled = false;
    std::vector<Submission> m_submissions;
    std::vector<CallerHandle> m_requests;
    std::vector<CallerHandle> m_lateCopies; // sent when every fault is healed
    std::set<JobId> m_cancelled;
    std::vector<std::string> m_stopErrors;
    bool m_hasStopped = false;
    int m_races = 0;
};

TestClusterOptions optionsOf(const MatrixCell& cell)
{
    TestClusterOptions options;
    options.seed = cell.seed + 1;
    return options;
}

MatrixRun::MatrixRun(const MatrixCell& cell)
    : m_path(cell.injections.empty() ? MatrixPath::Job : cell.injections.front().step.path)
    , m_random(cell.seed)
    , m_cluster(optionsOf(cell))
{
    for (const MatrixInjection& injection : cell.injections)
        m_pending.push_back({ injection, false });
    m_cluster.onChannelMessage
        = [this](const ChannelMessage& channelMessage) { return handleChannelMessage(channelMessage); };
}

MatrixResult MatrixRun::run()
{
    m_cluster.runUntil(
        [this] { return m_cluster.holderOf("north") && m_cluster.holderOf("south"); }, Milliseconds(30'000));
    m_cluster.runFor(settleTime);
    m_isInjectionEnabled = true;
    startWork();
    m_cluster.schedule(resendTime, [this] { resend(); });
    m_cluster.runFor(firstCheckTime);
    std::vector<std::string> errors = finalErrors();
    // Most cells have recovered by now.
    constexpr Milliseconds interval { 10'000 };
    for (Milliseconds time = firstCheckTime; !errors.empty() && time < maxRunTime; time += interval) {
        m_cluster.runFor(interval);
        errors = finalErrors();
    }
    MatrixResult result;
    result.isInjected = std::all_of(
        m_pending.begin(), m_pending.end(), [](const Pending& pending) { return pending.isInjected; });
    result.violations = m_cluster.violations();
    result.violations.insert(result.violations.end(), errors.begin(), errors.end());
    constexpr std::size_t eventsShown = 60;
    result.events = m_cluster.recentEvents(eventsShown);
    return result;
}

bool MatrixRun::hasFault(MatrixFault fault) const
{
    return std::any_of(m_pending.begin(), m_pending.end(),
        [fault](const Pending& pending) { return pending.injection.fault == fault; });
}

// --- faults

ChannelAction MatrixRun::handleChannelMessage(const ChannelMessage& channelMessage)
{
    if (!m_isInjectionEnabled)
        return ChannelAction::Deliver;
    const std::string name = messageName(*channelMessage.effect);
    ChannelAction action = ChannelAction::Deliver;
    for (Pending& pending : m_pending) {
        const MatrixStep& step = pending.injection.step;
        if (pending.isInjected || step.leg != channelMessage.leg || step.message != name)
            continue;
        pending.isInjected = true;
        const ChannelAction own = inject(pending.injection.fault, channelMessage);
        action = own == ChannelAction::Deliver ? action : own;
    }
    return action;
}

// Heals the fault after the duration. The bound on claims counts only from the end of the recovery, because
// the fault delays them.
void MatrixRun::healAfter(Milliseconds duration, std::function<void()> heal)
{
    const TimePoint healed = m_cluster.now() + duration;
    m_cluster.claimsExcusedUntil = std::max(m_cluster.claimsExcusedUntil, healed + recoveryTime);
    m_cluster.schedule(duration, std::move(heal));
}

ChannelAction MatrixRun::inject(MatrixFault fault, const ChannelMessage& channelMessage)
{
    if (fault == MatrixFault::None)
        return ChannelAction::Deliver;
    healAfter(Milliseconds(0), [] {});
    switch (fault) {
    case MatrixFault::EntryKilled:
    case MatrixFault::HostReplaced:
    case MatrixFault::AllReplaced:
    case MatrixFault::HolderPaused:
    case MatrixFault::Stopped:
        injectDaemonFault(fault, channelMessage);
        return ChannelAction::Deliver;
    case MatrixFault::WorkerDead:
    case MatrixFault::WorkerRestarted:
    case MatrixFault::WorkerFailsAll:
    case MatrixFault::HostListFrozen:
    case MatrixFault::RunTimeTooShort:
    case MatrixFault::RunTimeTooLong:
        injectWorkerFault(fault, channelMessage);
        return ChannelAction::Deliver;
    case MatrixFault::TableDown:
    case MatrixFault::TableSlow:
    case MatrixFault::ObjectsDown:
        injectServiceFault(fault);
        return ChannelAction::Deliver;
    case MatrixFault::CutFromZones:
    case MatrixFault::CutFromPlatform:
    case MatrixFault::CutFromBoth:
        injectZoneFault(fault);
        return ChannelAction::Deliver;
    case MatrixFault::ReplyLost:
    case MatrixFault::RequestLost:
        return ChannelAction::Drop;
    case MatrixFault::ConnectionSilent:
        silenceConnection(channelMessage);
        return ChannelAction::Deliver;
    case MatrixFault::MessageRepeated:
        return ChannelAction::Duplicate;
    case MatrixFault::MessageDelayed:
        return ChannelAction::Delay;
    case MatrixFault::OperatorsRace:
        sendCompetingRequest();
        return ChannelAction::Deliver;
    case MatrixFault::CancellationWave:
        cancelAll();
        return ChannelAction::Deliver;
    case MatrixFault::JobNeverRuns:
        submit("press", "too-large", JobClass::Borrowed, 128, Milliseconds(1'000));
        return ChannelAction::Deliver;
    case MatrixFault::None:
        return ChannelAction::Deliver;
    }
    return ChannelAction::Deliver;
}

void MatrixRun::injectDaemonFault(MatrixFault fault, const ChannelMessage& channelMessage)
{
    const HostId affected = channelMessage.host;
    if (fault == MatrixFault::EntryKilled) {
        m_cluster.kill(affected);
        healAfter(Milliseconds(5'000), [this, affected] {
            if (!m_cluster.isAlive(affected))
                m_cluster.start(affected);
        });
    } else if (fault == MatrixFault::Stopped) {
        constexpr Milliseconds stopBound { 20'000 };
        m_cluster.schedule(Milliseconds(0), [this, affected] { m_cluster.shutDown(affected); });
        // Polled, because the role path restarts daemons by itself.
        constexpr Milliseconds interval { 500 };
        for (Milliseconds time = interval; time < stopBound; time += interval)
            m_cluster.schedule(time, [this, affected] { m_hasStopped |= m_cluster.hasStopped(affected); });
        healAfter(stopBound, [this, affected] {
            if (m_pending.size() == 1 && !m_hasStopped)
                m_stopErrors.push_back(fmt::format("end: host {} did not stop in time", affected.value()));
            m_cluster.start(affected);
        });
    } else if (fault == MatrixFault::HostReplaced) {
        m_cluster.start(affected);
    } else if (fault == MatrixFault::AllReplaced) {
        for (const HostId& id : m_cluster.hosts())
            m_cluster.start(id);
    } else {
        // In paths without jobs, the daemon that handles the operation is paused instead of the role's
        // holder.
        const bool hasRole
            = m_path == MatrixPath::Job || m_path == MatrixPath::Claim || m_path == MatrixPath::Role;
        const HostId paused = hasRole ? m_cluster.holderOf(zone).value_or(affected) : affected;
        m_cluster.pause(paused);
        constexpr Milliseconds pauseTime { 10'000 };
        // On resume, the daemon handles the events that arrived before the pause before it receives a change
        // that was made meanwhile.
        m_cluster.changesExcusedUntil = std::max(m_cluster.changesExcusedUntil, m_cluster.now() + pauseTime);
        healAfter(pauseTime, [this, paused] { m_cluster.resume(paused); });
    }
}

WorkerId MatrixRun::targetWorker(const ChannelMessage& channelMessage) const
{
    if (const auto* command = std::get_if<SendWorkerCommand>(channelMessage.effect))
        return command->worker;
    if (const auto* call = std::get_if<CallEndpoint>(channelMessage.effect)) {
        const std::string& name = call->endpoint.value();
        return WorkerId(name.substr(name.find('@') + 1));
    }
    for (const auto& [worker, task] : m_cluster.heldTasks()) {
        if (task.job.value().starts_with(zone))
            return worker;
    }
    return m_cluster.workersOf(zone).front();
}

void MatrixRun::injectWorkerFault(MatrixFault fault, const ChannelMessage& channelMessage)
{
    const WorkerId id = targetWorker(channelMessage);
    constexpr Milliseconds hostListLag { 5'000 };
    constexpr Milliseconds deadTime { 30'000 };
    constexpr Milliseconds frozenTime { 15'000 };
    constexpr Milliseconds failingTime { 20'000 };
    constexpr double factor = 10.0;
    if (fault == MatrixFault::WorkerDead) {
        m_cluster.worker(id).isDead = true;
        m_cluster.schedule(hostListLag, [this, id] { m_cluster.setHostState(id, {}); });
        healAfter(deadTime, [this, id] {
            m_cluster.restartWorker(id);
            m_cluster.worker(id).isDead = false;
            m_cluster.setHostState(id, HostState::Live);
        });
    } else if (fault == MatrixFault::WorkerRestarted) {
        m_cluster.restartWorker(id);
    } else if (fault == MatrixFault::WorkerFailsAll) {
        const EndpointId endpoint("plan@" + id.value());
        m_cluster.worker(id).failsEverything = true;
        m_cluster.endpoint(endpoint).failsEverything = true;
        healAfter(failingTime, [this, id, endpoint] {
            m_cluster.worker(id).failsEverything = false;
            m_cluster.endpoint(endpoint).failsEverything = false;
        });
    } else if (fault == MatrixFault::HostListFrozen) {
        m_cluster.isHostListFrozen = true;
        m_cluster.setHostState(id, HostState::Leaving);
        healAfter(frozenTime, [this] { m_cluster.isHostListFrozen = false; });
        m_cluster.schedule(
            frozenTime + hostListLag, [this, id] { m_cluster.setHostState(id, HostState::Live); });
    } else {
        for (const WorkerId& worker : m_cluster.workersOf(zone))
            m_cluster.worker(worker).speed = fault == MatrixFault::RunTimeTooShort ? 1.0 / factor : factor;
    }
}

void MatrixRun::injectServiceFault(MatrixFault fault)
{
    constexpr Milliseconds tableTime { 10'000 };
    constexpr Milliseconds objectTime { 20'000 };
    if (fault != MatrixFault::ObjectsDown) {
        m_cluster.tableMode = fault == MatrixFault::TableDown ? ServiceMode::Down : ServiceMode::Slow;
        healAfter(tableTime, [this] { m_cluster.tableMode = ServiceMode::Up; });
        return;
    }
    const auto set = [this](bool isDown) {
        m_cluster.objectMode = isDown ? ServiceMode::Down : ServiceMode::Up;
        for (const WorkerId& id : m_cluster.workersOf(zone))
            m_cluster.worker(id).losesCheckpoints = isDown;
    };
    set(true);
    healAfter(objectTime, [set] { set(false); });
}

void MatrixRun::injectZoneFault(MatrixFault fault)
{
    constexpr Milliseconds cutTime { 15'000 };
    if (fault != MatrixFault::CutFromPlatform)
        m_cluster.zonesCutFromPeers.insert(zone);
    if (fault != MatrixFault::CutFromZones)
        m_cluster.zonesCutFromPlatform.insert(zone);
    // A zone that is cut from peers and platform cannot receive a change; with a second fault, the remaining
    // connection may fail as well.
    if (fault == MatrixFault::CutFromBoth || m_pending.size() > 1)
        m_cluster.changesExcusedUntil = std::max(m_cluster.changesExcusedUntil, m_cluster.now() + cutTime);
    healAfter(cutTime, [this] {
        m_cluster.zonesCutFromPeers.clear();
        m_cluster.zonesCutFromPlatform.clear();
    });
}

void MatrixRun::silenceConnection(const ChannelMessage& channelMessage)
{
    constexpr Milliseconds silentTime { 20'000 };
    if (const auto* peer = std::get_if<SendToPeer>(channelMessage.effect)) {
        const std::pair link { channelMessage.host, peer->peer };
        m_cluster.silentPeers.insert(link);
        healAfter(silentTime, [this, link] { m_cluster.silentPeers.erase(link); });
        return;
    }
    const WorkerId id = targetWorker(channelMessage);
    m_cluster.silentWorkers.insert(id);
    healAfter(silentTime, [this, id] { m_cluster.silentWorkers.erase(id); });
}

void MatrixRun::sendCompetingRequest()
{
    ++m_races;
    if (m_path == MatrixPath::Job || m_path == MatrixPath::Claim) {
        if (!m_submissions.empty())
            m_cluster.submitJob(liveHost(m_random()), m_submissions.back().specification);
    } else if (m_path == MatrixPath::Configuration) {
        apply("57.0", 1);
    } else if (m_path == MatrixPath::Drain) {
        m_cluster.drain(
            liveHost(m_random()), EndpointId("plan@" + m_cluster.workersOf("south").front().value()));
    } else {
        request(m_random(), "k0", m_path == MatrixPath::Booking ? "book" : "quote", false);
    }
}

void MatrixRun::cancelAll()
{
    for (const Submission& submission : m_submissions) {
        const JobSpecification& specification = submission.specification;
        const JobId job = jobIdFor(specification.zone, specification.account, specification.key);
        m_cancelled.insert(job);
        m_cluster.cancelJob(liveHost(m_random()), job);
    }
}

// --- work

HostId MatrixRun::liveHost(std::size_t preferred) const
{
    for (std::size_t offset = 0; offset < m_cluster.hosts().size(); ++offset) {
        if (m_cluster.isAlive(host(preferred + offset)))
            return host(preferred + offset);
    }
    return host(preferred);
}

void MatrixRun::submit(const std::string& account, const std::string& key, JobClass jobClass,
    int accelerators, Milliseconds runTime)
{
    JobSpecification job;
    job.account = ClientAccountId(account);
    job.key = key;
    job.zone = AvailabilityZoneId(zone);
    job.jobClass = jobClass;
    job.accelerators = accelerators;
    job.declaredRunTime = runTime;
    m_submissions.push_back({ job, m_cluster.submitJob(liveHost(m_random()), job) });
}

void MatrixRun::request(
    std::size_t preferred, const std::string& key, const std::string& operation, bool isAlone)
{
    constexpr Milliseconds deadline { 5'000 };
    m_requests.push_back(
        m_cluster.request(liveHost(preferred), "mill", key, operation, "input", deadline, isAlone));
}

void MatrixRun::apply(const std::string& limit, ConfigurationVersion expected)
{
    std::string document = testDocument();
    document.replace(document.find("58.0"), limit.size(), limit);
    m_cluster.submitConfiguration(liveHost(m_random()), document, expected);
}

EndpointId MatrixRun::drainedEndpoint() const
{
    return EndpointId("plan@" + m_cluster.workersOf(zone).front().value());
}

void MatrixRun::startWork()
{
    switch (m_path) {
    case MatrixPath::Job:
        return workOnJobs();
    case MatrixPath::Booking:
        return workOnRequests("book");
    case MatrixPath::Quote:
        return workOnRequests("quote");
    case MatrixPath::Claim:
        return workOnClaim();
    case MatrixPath::Configuration:
        return workOnConfiguration();
    case MatrixPath::Drain:
        return workOnDrain();
    case MatrixPath::Role:
        return workOnRole();
    }
}

void MatrixRun::workOnJobs()
{
    submit("press", "long", JobClass::Borrowed, 16, Milliseconds(15'000));
    m_cluster.schedule(
        Milliseconds(100), [this] { submit("mill", "gang", JobClass::Borrowed, 24, Milliseconds(4'000)); });
    m_cluster.schedule(Milliseconds(200),
        [this] { submit("mill", "unwanted", JobClass::Borrowed, 8, Milliseconds(20'000)); });
    m_cluster.schedule(Milliseconds(3'000), [this] {
        const JobId job = jobIdFor(AvailabilityZoneId(zone), ClientAccountId("mill"), "unwanted");
        m_cancelled.insert(job);
        m_cluster.cancelJob(liveHost(m_random()), job);
    });
}

void MatrixRun::workOnClaim()
{
    m_isInjectionEnabled = false;
    // Together these fill the zone, so that the claim has to evict.
    submit("press", "borrowed-1", JobClass::Borrowed, 32, Milliseconds(40'000));
    submit("press", "borrowed-2", JobClass::Borrowed, 32, Milliseconds(40'000));
    m_cluster.runFor(Milliseconds(3'000));
    m_isInjectionEnabled = true;
    submit("mill", "claim", JobClass::Guaranteed, 16, Milliseconds(10'000));
}

void MatrixRun::workOnRequests(const std::string& operation)
{
    constexpr int requests = 6;
    constexpr Milliseconds interval { 150 };
    constexpr std::array<Milliseconds, 2> copies { Milliseconds(30), Milliseconds(1'000) };
    for (int index = 0; index < requests; ++index) {
        const std::string key = fmt::format("k{}", index);
        const auto preferred = static_cast<std::size_t>(index);
        const bool isPatient = index % 2;
        m_cluster.schedule(interval * index, [=, this] { request(preferred, key, operation, isPatient); });
        if (isPatient) {
            m_cluster.schedule(interval * index, [=, this] { resendWhenAnswered(m_requests.size() - 1); });
            continue;
        }
        for (const Milliseconds after : copies)
            m_cluster.schedule(interval * index + after, [=, this] {
                request(preferred + static_cast<std::size_t>(after.count()), key, operation, false);
            });
    }
}

// Sends the next copy of a patient caller once the previous one is answered or lost.
void MatrixRun::resendWhenAnswered(std::size_t index)
{
    const CallerRecord record = m_cluster.caller(m_requests[index]);
    if (!record.answers.empty() || record.isLost) {
        request(m_random(), record.identity.key, record.operation, true);
        return;
    }
    constexpr Milliseconds interval { 20 };
    m_cluster.schedule(interval, [=, this] { resendWhenAnswered(index); });
}

void MatrixRun::workOnConfiguration()
{
    apply("59.0", 1);
    m_cluster.schedule(Milliseconds(1'500), [this] { apply("60.0", 2); });
}

void MatrixRun::workOnDrain()
{
    constexpr int requests = 300;
    constexpr Milliseconds interval { 60 };
    for (int index = 0; index < requests; ++index)
        m_cluster.schedule(interval * index, [=, this] {
            request(static_cast<std::size_t>(index), fmt::format("q{}", index), "quote", true);
        });
    m_cluster.schedule(
        Milliseconds(500), [this] { m_cluster.drain(liveHost(m_random()), drainedEndpoint()); });
}

void MatrixRun::workOnRole()
{
    submit("press", "long", JobClass::Borrowed, 32, Milliseconds(25'000));
    const auto restart = [this](const HostId& id, Milliseconds delay) {
        m_cluster.schedule(delay, [this, id] {
            if (!m_cluster.isAlive(id))
                m_cluster.start(id);
        });
    };
    m_cluster.schedule(Milliseconds(1'000), [this, restart] {
        const HostId holder = m_cluster.holderOf(zone).value_or(host(0));
        m_cluster.shutDown(holder);
        restart(holder, Milliseconds(20'000));
    });
    m_cluster.schedule(Milliseconds(8'000), [this, restart] {
        const HostId holder = m_cluster.holderOf(zone).value_or(host(1));
        m_cluster.kill(holder);
        restart(holder, Milliseconds(3'000));
    });
    m_cluster.schedule(
        Milliseconds(9'000), [this] { submit("mill", "late", JobClass::Borrowed, 8, Milliseconds(4'000)); });
}

// Resends as callers do: submissions that were lost or refused, and copies of the requests.
void MatrixRun::resend()
{
    for (Submission& submission : m_submissions) {
        if (!m_cluster.jobOf(submission.handle))
            submission.handle = m_cluster.submitJob(liveHost(m_random()), submission.specification);
    }
    constexpr std::size_t maxCopies = 20;
    const std::size_t count = std::min(m_requests.size(), maxCopies);
    for (std::size_t index = 0; index < count; ++index) {
        const CallerRecord record = m_cluster.caller(m_requests[index]);
        m_lateCopies.push_back(m_cluster.request(liveHost(m_random()), record.identity.account.value(),
            record.identity.key, record.operation, record.body));
    }
}

// --- final checks

std::vector<std::string> MatrixRun::finalErrors()
{
    std::vector<std::string> errors = m_stopErrors;
    for (const CallerHandle handle : m_cluster.unansweredCallers())
        errors.push_back(fmt::format("end: caller {} was not answered", handle));
    checkJobs(errors);
    checkTasks(errors);
    checkDaemons(errors);
    checkPartialRuns(errors);
    checkRequests(errors);
    checkStop(errors);
    return errors;
}

void MatrixRun::checkJobs(std::vector<std::string>& errors)
{
    const bool isSlow = hasFault(MatrixFault::RunTimeTooShort);
    for (const Submission& submission : m_submissions) {
        const std::optional<JobStatus> accepted = m_cluster.jobOf(submission.handle);
        if (accepted && !m_cluster.jobRow(accepted->specification.id))
            errors.push_back(fmt::format("end: accepted job {} is lost", accepted->specification.id.value()));
        if (accepted && submission.specification.key == "too-large")
            errors.push_back("end: a job that can never run was accepted");
    }
    for (const auto& [key, row] : m_cluster.table().rows()) {
        if (!key.starts_with("job/"))
            continue;
        const std::optional<JobRecord> record = decodeJob(row.value);
        if (!record) {
            errors.push_back("end: malformed row " + key);
            continue;
        }
        const JobStatus& status = record->status;
        const JobId& job = status.specification.id;
        const bool isWaiting = status.state == JobState::Queued || status.state == JobState::Placed;
        if (isWaiting && !(isSlow && m_cluster.hasRun(job)))
            errors.push_back(fmt::format("end: job {} does not run: {}", job.value(), row.value));
        if (status.state == JobState::Failed
            && (status.reason.empty() || !hasFault(MatrixFault::WorkerFailsAll)))
            errors.push_back(fmt::format("end: job {} failed: {}", job.value(), status.reason));
        if (status.state == JobState::Cancelled && !m_cancelled.contains(job))
            errors.push_back(fmt::format("end: job {} was cancelled without a request", job.value()));
        const auto cancellation = m_cluster.table().rows().find(jobCancelRowKey(job));
        if (!isTerminal(status.state) && cancellation != m_cluster.table().rows().end())
            errors.push_back(fmt::format("end: the cancellation of job {} was not carried out", job.value()));
    }
}

// A planned stop loses no request and no submission. The role path is exempt, because it also kills a daemon.
void MatrixRun::checkStop(std::vector<std::string>& errors)
{
    if (m_pending.size() != 1 || !hasFault(MatrixFault::Stopped) || m_path == MatrixPath::Role)
        return;
    for (const CallerHandle handle : m_requests) {
        if (m_cluster.caller(handle).isLost)
            errors.push_back(
                "end: request " + m_cluster.caller(handle).identity.key + " was lost in a planned stop");
    }
    for (const Submission& submission : m_submissions) {
        if (m_cluster.operatorCall(submission.handle).isLost)
            errors.push_back(
                "end: the submission of " + submission.specification.key + " was lost in a planned stop");
    }
}

// No worker holds a task of a job that has ended, is unknown, or has moved to another attempt.
void MatrixRun::checkTasks(std::vector<std::string>& errors)
{
    for (const auto& [worker, task] : m_cluster.heldTasks()) {
        const std::optional<std::string> row = m_cluster.jobRow(task.job);
        const std::optional<JobRecord> record = row ? decodeJob(*row) : std::nullopt;
        if (!record || isTerminal(record->status.state) || record->status.attempt != task.attempt)
            errors.push_back(fmt::format("end: worker {} still holds job {} attempt {}", worker.value(),
                task.job.value(), task.attempt));
    }
}

// A healthy holder that receives the report of a lost member stops the other members at once, without waiting
// for their leases to expire.
void MatrixRun::checkPartialRuns(std::vector<std::string>& errors)
{
    // Reports requested within 2 s of the start are not trusted, a sync takes up to 1 s, and gangs are
    // checked once a second.
    constexpr Milliseconds stopBound { 4'500 };
    const bool isLossReported = m_pending.size() == 1
        && (hasFault(MatrixFault::WorkerRestarted) || hasFault(MatrixFault::WorkerFailsAll));
    if (isLossReported && m_cluster.maxPartialRun() > stopBound)
        errors.push_back(
            fmt::format("end: a gang ran without a member for {} ms", m_cluster.maxPartialRun().count()));
}

// Idempotent requests depend on neither table, object store nor host list, so faults of these must not affect
// them. Once all faults are healed, every request must be done; a booking may be answered Unknown, because
// its outcome can be lost for good.
void MatrixRun::checkRequests(std::vector<std::string>& errors)
{
    const bool isUnaffected = m_pending.size() == 1
        && (hasFault(MatrixFault::None) || hasFault(MatrixFault::TableDown)
            || hasFault(MatrixFault::TableSlow) || hasFault(MatrixFault::ObjectsDown)
            || hasFault(MatrixFault::CutFromPlatform));
    const auto check = [&](CallerHandle handle, bool isUnknownAllowed) {
        const CallerRecord& record = m_cluster.caller(handle);
        for (const RequestAnswer& answer : record.answers) {
            const bool isGood = answer.outcome == RequestOutcome::Done
                || (isUnknownAllowed && answer.outcome == RequestOutcome::Unknown);
            if (!isGood)
                errors.push_back(
                    fmt::format("end: request {} was not done: {}", record.identity.key, answer.reason));
        }
    };
    for (const CallerHandle handle : m_requests) {
        if (isUnaffected && (m_cluster.caller(handle).operation == "quote" || hasFault(MatrixFault::None)))
            check(handle, false);
    }
    for (const CallerHandle handle : m_lateCopies)
        check(handle, m_cluster.caller(handle).operation == "book" && !hasFault(MatrixFault::None));
}

void MatrixRun::checkDaemons(std::vector<std::string>& errors)
{
    for (const std::string name : { "north", "south" }) {
        if (!m_cluster.holderOf(name))
            errors.push_back("end: no daemon holds the role of zone " + name);
    }
    const std::string committed = m_cluster.table().rows().at("config/version").value;
    for (const HostId& id : m_cluster.hosts()) {
        const Configuration* configuration
            = m_cluster.isAlive(id) ? m_cluster.reducer(id).configuration() : nullptr;
        if (!configuration)
            errors.push_back(fmt::format("end: host {} has no configuration", id.value()));
        else if (std::to_string(configuration->version) != committed)
            errors.push_back(fmt::format("end: host {} is at configuration {}, not {}", id.value(),
                configuration->version, committed));
    }
}

} // namespace

MatrixResult runCell(const MatrixCell& cell) { return MatrixRun(cell).run(); }

} // namespace anvilmoor::test
