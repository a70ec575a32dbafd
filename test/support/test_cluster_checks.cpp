// Checks of the invariants, on events and at intervals.

#include "jobs/job_codec.h"
#include "support/test_cluster_parts.h"

#include <cmath>
#include <fmt/format.h>

namespace anvilmoor::test {

namespace {

// The sum of: 10 s for which the leases of a gang are renewed after a member was last seen, the lease of
// 30 s, and a sync of 1 s that may be in flight.
constexpr Milliseconds maxPartialRunTime { 41'000 };

// When a gang is stopped, the stop may reach one member before an earlier run command reaches another member;
// the stop for that other member arrives within the spread of the latencies.
constexpr Milliseconds maxCommandSkew { 5 };

// The checks of gangs and noise read all workers, which is too expensive after every event.
constexpr Milliseconds workerCheckInterval { 10 };

constexpr std::size_t maxViolations = 20;

} // namespace

void TestCluster::violation(std::string text)
{
    if (m_violations.size() < maxViolations)
        m_violations.push_back(fmt::format("{} ms: {}", m_now.time_since_epoch().count(), std::move(text)));
}

void TestCluster::check()
{
    if (m_now < m_nextCheck)
        return;
    m_nextCheck = m_now + workerCheckInterval;
    for (auto& [id, rack] : m_racks) {
        // advance() may change tasks; a new sequence number makes waiting syncs return these changes.
        for (const WorkerId& worker : rack->workers)
            rack->sequence += m_workers.at(worker)->advance(m_now) ? 1 : 0;
    }
    checkGangs();
    checkNoise();
    checkClaims();
    checkChanges();
}

void TestCluster::checkGangs()
{
    struct GangState {
        int running = 0;
        bool isEnding = false; // a member has finished or is checkpointing
    };
    std::map<std::pair<JobId, AttemptNumber>, GangState> gangs;
    for (const auto& [id, worker] : m_workers) {
        for (const TaskReport& task : worker->report().tasks) {
            GangState& gang = gangs[{ task.job, task.attempt }];
            // A dead worker executes nothing.
            if (worker->isDead)
                continue;
            gang.running += task.phase == TaskPhase::Running ? task.accelerators : 0;
            gang.isEnding |= task.phase == TaskPhase::Finished || task.phase == TaskPhase::Checkpointing;
        }
    }
    std::map<JobId, AttemptNumber> runningAttempts;
    for (const auto& [key, gang] : gangs) {
        const auto size = m_jobSizes.find(key.first);
        if (!gang.running || size == m_jobSizes.end())
            continue;
        const auto [other, isOnlyRunning] = runningAttempts.emplace(key.first, key.second);
        if (!isOnlyRunning)
            violation(fmt::format(
                "job {} runs as attempts {} and {}", key.first.value(), other->second, key.second));
        const bool isWhole = gang.running == size->second;
        if (isWhole)
            m_pendingClaims.erase(key.first);
        if (isWhole || gang.isEnding) {
            m_partialSince.erase(key);
            continue;
        }
        const TimePoint since = m_partialSince.emplace(key, m_now).first->second;
        m_maxPartialRun = std::max(m_maxPartialRun, m_now - since);
        if (m_now - since > maxPartialRunTime)
            violation(fmt::format("job {} attempt {} runs with {} of {} accelerators", key.first.value(),
                key.second, gang.running, size->second));
    }
    std::erase_if(m_partialSince, [&](const auto& item) {
        const auto found = gangs.find(item.first);
        return found == gangs.end() || !found->second.running;
    });
}

// Accelerators of confirmed members that a worker has lost since then through a fault of its own. No order of
// messages can prevent the other members from starting in this case.
int TestCluster::lostByWorkers(const std::pair<JobId, AttemptNumber>& key) const
{
    const auto confirmed = m_confirmedMembers.find(key);
    if (confirmed == m_confirmedMembers.end())
        return 0;
    int sum = 0;
    for (const auto& [id, confirmation] : confirmed->second) {
        const standin::WorkerModel& worker = *m_workers.at(id);
        const auto restarts = m_restarts.find(id);
        const bool hasRestarted = restarts != m_restarts.end() && restarts->second != confirmation.restarts;
        const bool isFaulty = worker.isDead || worker.failsEverything || hasRestarted;
        if (isFaulty && (worker.isDead || !worker.tasks().contains(key)))
            sum += confirmation.accelerators;
    }
    return sum;
}

void TestCluster::onCommand(const SendWorkerCommand& effect, WorkerCommandResult result)
{
    const std::pair key { effect.command.job, effect.command.attempt };
    if (result != WorkerCommandResult::Ok)
        return;
    if (effect.command.kind == WorkerCommandKind::Confirm) {
        const auto task = m_workers.at(effect.worker)->tasks().find(key);
        if (task != m_workers.at(effect.worker)->tasks().end())
            m_confirmedMembers[key][effect.worker] = { task->second.accelerators, m_restarts[effect.worker] };
    } else if (effect.command.kind == WorkerCommandKind::Stop
        || effect.command.kind == WorkerCommandKind::Release) {
        m_stoppedMembers[key].emplace(effect.worker, m_now);
    } else if (effect.command.kind == WorkerCommandKind::Run && m_started.insert(key).second) {
        checkStart(key);
    }
}

// Called when the first member of an attempt starts: all other members must be confirmed by then.
void TestCluster::checkStart(const std::pair<JobId, AttemptNumber>& key)
{
    const std::optional<std::string> row = jobRow(key.first);
    const std::optional<JobRecord> record = row ? decodeJob(*row) : std::nullopt;
    if (!record) {
        violation(fmt::format("job {} started without a valid row in the table", key.first.value()));
        return;
    }
    int present = lostByWorkers(key);
    for (const auto& [id, worker] : m_workers) {
        const auto task = worker->tasks().find(key);
        if (task != worker->tasks().end() && !worker->isDead && task->second.phase != TaskPhase::Reserved)
            present += task->second.accelerators;
    }
    for (const auto& [id, stoppedAt] : m_stoppedMembers[key]) {
        if (m_now - stoppedAt <= maxCommandSkew)
            present += m_confirmedMembers[key][id].accelerators;
    }
    const int size = record->status.specification.accelerators;
    if (present < size)
        violation(fmt::format("job {} attempt {} started with {} of {} accelerators", key.first.value(),
            key.second, present, size));
}

void TestCluster::checkNoise()
{
    const SecondOfWeek time = localTime();
    for (const AvailabilityZoneConfiguration& zone : m_configuration.zones) {
        bool isLesson = false;
        for (const LessonHours& hours : zone.room.lessonHours)
            isLesson |= time >= hours.begin && time < hours.end;
        if (!isLesson)
            continue;
        const auto power = [](double level) { return std::pow(10.0, level / 10.0); };
        double sum = 0;
        for (const RackConfiguration& rack : zone.racks) {
            for (const WorkerConfiguration& worker : rack.workers) {
                const standin::WorkerModel& model = *m_workers.at(worker.id);
                sum += power(worker.noise.idleDb);
                for (const auto& [key, task] : model.tasks()) {
                    const bool isActive
                        = task.phase == TaskPhase::Running || task.phase == TaskPhase::Checkpointing;
                    const double level
                        = task.isThrottled ? worker.noise.throttledAcceleratorDb : worker.noise.acceleratorDb;
                    sum += isActive && !model.isDead ? task.accelerators * power(level) : 0;
                }
            }
        }
        constexpr double roundingDb = 0.001;
        const double level = 10.0 * std::log10(sum);
        if (level > zone.room.limitDb + roundingDb)
            violation(fmt::format("zone {} is at {:.2f} dB in lesson hours, limit {:.2f} dB", zone.id.value(),
                level, zone.room.limitDb));
    }
}

void TestCluster::checkConfiguration(Host& host)
{
    const Configuration* configuration = host.reducer->configuration();
    if (!configuration || !host.isReady)
        return;
    ConfigurationVersion& highest = m_highestConfiguration[host.settings.host];
    if (configuration->version < highest)
        violation(fmt::format("host {} went back from configuration {} to {}", host.settings.host.value(),
            highest, configuration->version));
    highest = std::max(highest, configuration->version);
    const auto committed = m_table.rows().find("config/version");
    if (committed != m_table.rows().end() && configuration->version > std::stoull(committed->second.value))
        violation(fmt::format("host {} is at configuration {}, which was never committed",
            host.settings.host.value(), configuration->version));
}

void TestCluster::onOperatorAnswer(const AnswerOperator& effect)
{
    OperatorRecord& record = m_operatorCalls.at(effect.caller);
    record.answers.push_back(effect.answer);
    if (record.answers.size() > 1)
        violation("an operator's call was answered twice");
    const auto* jobs = std::get_if<JobsAnswer>(&effect.answer);
    if (jobs && jobs->isSingle && !jobs->jobs.empty()) {
        const JobStatus& job = jobs->jobs.front();
        const JobSpecification& specification = job.specification;
        const bool isNew = m_jobSizes.emplace(specification.id, specification.accelerators).second;
        if (isNew && specification.jobClass == JobClass::Guaranteed && job.state == JobState::Queued)
            m_pendingClaims.emplace(specification.id, m_now);
    }
    const auto* configuration = std::get_if<ConfigurationAnswer>(&effect.answer);
    if (configuration && configuration->document.empty())
        m_acceptedConfigurations.emplace(configuration->version, m_now);
    const auto drain = m_drainCalls.find(effect.caller);
    if (drain != m_drainCalls.end() && std::holds_alternative<DrainAnswer>(effect.answer))
        m_drainTimes.emplace(drain->second, m_now);
}

void TestCluster::checkClaims()
{
    std::erase_if(m_pendingClaims, [this](const auto& item) {
        const auto& [job, acceptedAt] = item;
        if (m_now <= std::max(acceptedAt, claimsExcusedUntil) + maxClaimTime)
            return false;
        // A cancelled claim does not run; a short job may have started and finished between two checks.
        const std::optional<std::string> row = jobRow(job);
        const bool isOver = row && row->find("\"state\":\"queued\"") == std::string::npos
            && row->find("\"state\":\"placed\"") == std::string::npos;
        if (!isOver)
            violation(fmt::format("job {} claims a guarantee but has not run {} ms after its acceptance",
                job.value(), (m_now - acceptedAt).count()));
        return true;
    });
}

void TestCluster::checkChanges()
{
    std::erase_if(m_acceptedConfigurations, [this](const auto& item) {
        const auto& [version, acceptedAt] = item;
        if (m_now <= std::max(acceptedAt, changesExcusedUntil) + maxChangeTime)
            return false;
        for (const auto& [id, host] : m_hosts) {
            const Configuration* configuration = host->reducer ? host->reducer->configuration() : nullptr;
            if (host->isReady && configuration && configuration->version < version)
                violation(fmt::format(
                    "host {} is still at configuration {}; configuration {} was accepted {} ms ago",
                    id.value(), configuration->version, version, (m_now - acceptedAt).count()));
        }
        return true;
    });
}

void TestCluster::checkCall(const EndpointId& endpoint)
{
    const auto drained = m_drainTimes.find(endpoint);
    if (drained != m_drainTimes.end()
        && m_now > std::max(drained->second, changesExcusedUntil) + maxChangeTime)
        violation(fmt::format("endpoint {} was called {} ms after its drain was answered", endpoint.value(),
            (m_now - drained->second).count()));
}

void TestCluster::onExecution(const RequestIdentity& identity)
{
    if (++m_executions[identity] > 1)
        violation(fmt::format("request {} was executed {} times", identity.key, m_executions[identity]));
    // An execution after the last copy was answered "not run" would make that answer false.
    bool hasOpenCopy = false;
    bool wasAnsweredNotRun = false;
    for (const auto& [handle, record] : m_callers) {
        if (record.identity != identity)
            continue;
        hasOpenCopy |= record.answers.empty();
        for (const RequestAnswer& answer : record.answers)
            wasAnsweredNotRun |= answer.outcome == RequestOutcome::NotRun;
    }
    if (!hasOpenCopy && wasAnsweredNotRun)
        violation(
            fmt::format("request {} was executed after its caller was answered \"not run\"", identity.key));
}

void TestCluster::onAnswer(CallerHandle handle, const RequestAnswer& answer)
{
    CallerRecord& record = m_callers.at(handle);
    record.answers.push_back(answer);
    if (record.answers.size() > 1)
        violation(fmt::format("caller {} was answered twice", handle));
    if (answer.outcome == RequestOutcome::NotRun && m_executions[record.identity] > 0)
        violation(
            fmt::format("request {} was answered \"not run\" after it was executed", record.identity.key));
    // Each copy of an idempotent request may run and fail by itself, so only answers to copies of a
    // non-idempotent request must be equal.
    const bool isOnce = !findOperation(m_configuration.services.front(), record.operation)->idempotent;
    if (answer.outcome == RequestOutcome::Done && isOnce
        && m_doneAnswers.emplace(record.identity, answer.body).first->second != answer.body)
        violation(fmt::format("copies of request {} got different answers", record.identity.key));
    const std::string expected
        = standin::EndpointModel::answerTo(record.identity, record.operation, record.body);
    // If the execution failed, the error text of the endpoint is a correct answer.
    const auto failure = m_reportedFailures.find(record.identity);
    const bool isReportedFailure = failure != m_reportedFailures.end() && answer.body == failure->second;
    if (answer.outcome == RequestOutcome::Done && answer.body != expected && !isReportedFailure)
        violation(fmt::format("request {} got the answer {}", record.identity.key, answer.body));
}

} // namespace anvilmoor::test
