#include "workers/rack.h"

#include <algorithm>

namespace anvilmoor::standin {

namespace {

// Limit for one worker. Above it, the oldest reports become visible before their lag has passed.
constexpr std::size_t maxPendingReports = 1'000;

// A rack detects that a worker does not answer, but cannot see which tasks run on it.
WorkerReport reportOf(const WorkerModel& model)
{
    WorkerReport report = model.report();
    if (model.isDead)
        report.tasks.clear();
    return report;
}

} // namespace

Rack::Rack(const RackLayout& layout, std::uint64_t firstSequence)
    : m_id(layout.id)
    , m_firstSequence(firstSequence)
    , m_sequence(firstSequence)
{
    for (const WorkerLayout& worker : layout.workers)
        m_workers.emplace_back(WorkerModel(WorkerId(worker.id), worker.accelerators));
}

void Rack::recordChange(std::size_t index, TimePoint now)
{
    Worker& worker = m_workers[index];
    worker.pending.emplace_back(now, reportOf(worker.model));
    publishDueReports(worker, now);
}

void Rack::setCondition(std::size_t index, WorkerCondition condition, TimePoint now)
{
    Worker& worker = m_workers[index];
    if (condition == WorkerCondition::Dead)
        worker.model.restart();
    worker.model.isDead = condition != WorkerCondition::Alive;
    worker.condition = condition;
    recordChange(index, now);
}

void Rack::restart(std::size_t index, TimePoint now)
{
    m_workers[index].model.restart();
    setCondition(index, WorkerCondition::Alive, now);
}

void Rack::publishDueReports(Worker& worker, TimePoint now)
{
    const auto isDue = [&] {
        return worker.pending.front().first + m_reportLag <= now || worker.pending.size() > maxPendingReports;
    };
    while (!worker.pending.empty() && isDue()) {
        worker.visible = std::move(worker.pending.front().second);
        worker.pending.pop_front();
        worker.changeSequence = ++m_sequence;
    }
}

WorkerCommandResult Rack::command(std::size_t index, const WorkerCommand& command, TimePoint now)
{
    const WorkerCommandResult result = m_workers[index].model.command(command, now);
    if (result != WorkerCommandResult::StaleToken)
        m_highestToken = std::max(m_highestToken, command.token);
    recordChange(index, now);
    return result;
}

void Rack::advance(TimePoint now)
{
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (m_workers[i].model.advance(now))
            recordChange(i, now);
        publishDueReports(m_workers[i], now);
    }
}

bool Rack::beginSync(const SyncRack& sync, TimePoint now)
{
    if (sync.token && sync.token < m_highestToken)
        return false;
    m_highestToken = std::max(m_highestToken, sync.token);
    for (Worker& worker : m_workers) {
        if (!worker.model.isDead && worker.model.acceptToken(sync.token))
            worker.model.renew(sync.renewals, now);
    }
    return true;
}

bool Rack::isCompleteFor(std::uint64_t since) const
{
    return since == 0 || since < m_firstSequence || since > m_sequence;
}

bool Rack::hasUpdateSince(std::uint64_t since) const { return isCompleteFor(since) || m_sequence > since; }

RackSynced Rack::report(std::uint64_t since) const
{
    RackSynced report { m_id, 0, m_sequence, isCompleteFor(since), {} };
    for (const Worker& worker : m_workers) {
        if (!report.isComplete && worker.changeSequence <= since)
            continue;
        // Without lag, the report also contains the progress since the last change.
        report.workers.push_back(m_reportLag.count() ? worker.visible : reportOf(worker.model));
    }
    return report;
}

} // namespace anvilmoor::standin
