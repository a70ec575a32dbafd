#include "support/fake_worker.h"

#include <algorithm>
#include <utility>

namespace anvilmoor::testing {

namespace {

using namespace batch;

constexpr Milliseconds checkpointInterval { 500 };
constexpr std::size_t maxListedEnds = 500; // in one answer of a worker
constexpr Milliseconds restartTime { 1'000 };

} // namespace

FakeWorker::FakeWorker(WorkerRecord recordOfWorker, std::function<TimePoint()> clock)
    : record(std::move(recordOfWorker))
    , m_now(std::move(clock))
    , m_startedAt(m_now())
    , m_advancedAt(m_now())
{
}

WorkerClock FakeWorker::clock() const
{
    return 1'000 + (m_now() - m_startedAt).count() * behavior.clockPermille / 1'000;
}

void FakeWorker::extendLease(WorkerClock until)
{
    if (behavior.maxLease)
        until = std::min(until, clock() + behavior.maxLease->count());
    m_leaseUntil = std::max(m_leaseUntil, until);
}

StartAnswered FakeWorker::start(const StartRun& order)
{
    advance();
    StartAnswered answer { order.worker, order.token, order.run, OrderOutcome::Accepted, clock() };
    answer.outcome = outcomeFor(order.worker, order.token);
    if (answer.outcome == OrderOutcome::Accepted && order.leaseUntil <= clock())
        answer.outcome = OrderOutcome::Outdated;
    if (answer.outcome != OrderOutcome::Accepted)
        return answer;
    if (randomShare() < behavior.refusalShare) {
        answer.outcome = OrderOutcome::Rejected;
        answer.clock = 0;
        return answer;
    }
    m_highestToken = order.token;
    const auto present = m_runs.find(order.run.task);
    if (present != m_runs.end() && present->second.id == order.run)
        return answer;
    const auto highestEnded = m_highestEndedRuns.find(order.run.task);
    if (present != m_runs.end()
        || (highestEnded != m_highestEndedRuns.end() && highestEnded->second >= order.run.run)) {
        extendLease(order.leaseUntil);
        answer.outcome = OrderOutcome::Outdated;
        return answer;
    }
    Resources used = resourcesOf(order.run.task);
    for (const auto& [task, run] : m_runs)
        used += resourcesOf(task);
    if (!used.fitsIn(record.capacity)) {
        extendLease(order.leaseUntil);
        answer.outcome = OrderOutcome::InsufficientCapacity;
        return answer;
    }
    extendLease(order.leaseUntil);
    Run run { order.run, Milliseconds(0), durationOf(order.run.task), m_now(), order.checkpoint };
    if (!order.checkpoint.empty())
        run.worked = Milliseconds(std::stol(order.checkpoint));
    m_runs.emplace(order.run.task, std::move(run));
    onStart(order);
    return answer;
}

OrderOutcome FakeWorker::outcomeFor(const WorkerLifetime& target, std::uint64_t token) const
{
    if (behavior.refusesOtherLifetimes && target.startedAtMs != record.lifetime.startedAtMs)
        return OrderOutcome::OtherLifetime;
    return token < m_highestToken ? OrderOutcome::Outdated : OrderOutcome::Accepted;
}

StopAnswered FakeWorker::stop(const StopRun& order)
{
    advance();
    StopAnswered answer { order.worker, order.token, order.run, OrderOutcome::Accepted, clock() };
    answer.outcome = outcomeFor(order.worker, order.token);
    if (answer.outcome != OrderOutcome::Accepted)
        return answer;
    m_highestToken = order.token;
    int& highestEnded = m_highestEndedRuns[order.run.task];
    highestEnded = std::max(highestEnded, order.run.run);
    const auto found = m_runs.find(order.run.task);
    if (found == m_runs.end() || found->second.id != order.run || found->second.stopsAt)
        return answer;
    const auto stopTime
        = static_cast<std::int64_t>(randomShare() * static_cast<double>(behavior.maxStopTime.count()));
    found->second.stopsAt = m_now() + Milliseconds(stopTime);
    if (!stopTime)
        end(order.run.task, RunEnd::Stopped);
    return answer;
}

HoldAnswered FakeWorker::hold(const HoldWorker& order)
{
    advance();
    if (outcomeFor(order.worker, order.token) != OrderOutcome::Accepted)
        return status(order);
    m_highestToken = order.token;
    if (order.leaseUntil)
        extendLease(*order.leaseUntil);
    while (!m_ended.empty() && m_ended.front().sequence <= order.acknowledgedEnd) {
        acknowledgedUnread += order.worker.startedAtMs != record.lifetime.startedAtMs;
        onAcknowledged(m_ended.front(), m_ended.front().sequence <= m_lastEndBeforeExpiry);
        m_ended.pop_front();
    }
    return status(order);
}

HoldAnswered FakeWorker::status(const HoldWorker& order) const
{
    HoldAnswered answer { order.worker, order.token, outcomeFor(order.worker, order.token), {},
        order.number };
    if (answer.outcome != OrderOutcome::Accepted)
        return answer;
    answer.status.clock = clock();
    answer.status.startedAtMs = record.lifetime.startedAtMs;
    for (const auto& [task, run] : m_runs)
        answer.status.active.push_back({ run.id, run.checkpoint,
            static_cast<int>(100 * run.worked.count() / std::max<std::int64_t>(run.duration.count(), 1)) });
    for (const EndedRun& ended : m_ended) {
        if (answer.status.ended.size() == maxListedEnds)
            break;
        answer.status.ended.push_back(ended);
    }
    answer.status.mayHaveMoreEnds = answer.status.ended.size() == maxListedEnds;
    return answer;
}

void FakeWorker::end(const TaskId& task, RunEnd how)
{
    const Run run = m_runs.at(task);
    m_runs.erase(task);
    int& highestEnded = m_highestEndedRuns[task];
    highestEnded = std::max(highestEnded, run.id.run);
    m_ended.push_back({ ++m_lastEnd, run.id, how, run.checkpoint });
    onEnd(run.id, how);
}

void FakeWorker::advance()
{
    const Milliseconds passed = m_now() - m_advancedAt;
    m_advancedAt = m_now();
    if (clock() >= m_leaseUntil)
        m_lastEndBeforeExpiry = m_lastEnd;
    std::vector<std::pair<TaskId, RunEnd>> ends;
    for (auto& [task, run] : m_runs) {
        if (clock() >= m_leaseUntil) {
            ends.emplace_back(task, RunEnd::LeaseExpired);
            continue;
        }
        if (run.stopsAt && m_now() >= *run.stopsAt) {
            ends.emplace_back(task, RunEnd::Stopped);
            continue;
        }
        if (!isGangComplete(run.id)) {
            if (run.hasWorked)
                ends.emplace_back(task, RunEnd::GangBroken);
            else if (m_now() > run.startedAt + Milliseconds(3'000))
                ends.emplace_back(task, RunEnd::GangIncomplete);
            continue;
        }
        if (!run.hasWorked && slowdownOf)
            run.duration = std::chrono::duration_cast<Milliseconds>(run.duration * slowdownOf(run.id));
        run.hasWorked = true;
        run.worked += std::chrono::duration_cast<Milliseconds>(passed * speed);
        run.checkpoint = std::to_string(run.worked / checkpointInterval * checkpointInterval.count());
        if (isFailing)
            ends.emplace_back(task, RunEnd::Failed);
        else if (run.worked >= run.duration)
            ends.emplace_back(task, RunEnd::Done);
    }
    for (const auto& [task, how] : ends)
        end(task, how);
}

void FakeWorker::restart()
{
    m_runs.clear();
    m_highestEndedRuns.clear();
    m_ended.clear();
    m_lastEnd = 0;
    m_lastEndBeforeExpiry = 0;
    m_highestToken = 0;
    m_leaseUntil = 0;
    m_startedAt = m_now();
    record.lifetime.startedAtMs += restartTime.count();
}

void FakeWorker::drain(Milliseconds remaining)
{
    record.isDraining = true;
    record.remaining = remaining;
    record.writtenAt = clock();
}

void FakeWorker::leave()
{
    m_runs.clear();
    isReachable = false;
}

} // namespace anvilmoor::testing
