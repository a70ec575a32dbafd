#include "batch/workers/worker_pool.h"

#include <limits>
#include <utility>

namespace anvilmoor::batch {

namespace {

// Lower than every start of a lifetime.
constexpr std::int64_t noLifetime = std::numeric_limits<std::int64_t>::min();

} // namespace

Resources Worker::room() const
{
    Resources room = record.capacity;
    room -= used;
    return room;
}

Worker* WorkerPool::find(const WorkerLifetime& lifetime)
{
    const auto found = m_workers.find(lifetime);
    return found == m_workers.end() ? nullptr : &found->second;
}

std::vector<WorkerLifetime> WorkerPool::otherLifetimes(const WorkerLifetime& of) const
{
    std::vector<WorkerLifetime> others;
    for (auto each = m_workers.lower_bound({ of.id, noLifetime });
         each != m_workers.end() && each->first.id == of.id; ++each) {
        if (each->first != of)
            others.push_back(each->first);
    }
    return others;
}

bool WorkerPool::update(const WorkerRecord& record, TimePoint now, std::optional<TimePoint> changedAfter)
{
    for (const WorkerLifetime& other : otherLifetimes(record.lifetime))
        m_workers.at(other).isListed = false;
    const auto [position, isNew] = m_workers.try_emplace(record.lifetime);
    Worker& worker = position->second;
    const bool isRelevant = isNew || !worker.isListed || worker.record.isDraining != record.isDraining
        || worker.record.address != record.address || record.isDraining;
    worker.record = record;
    worker.isListed = true;
    worker.isWithdrawalPending = false;
    if (changedAfter)
        worker.changedAfter = changedAfter;
    if (isNew)
        worker.nextHoldAt = now;
    return isRelevant;
}

std::vector<WorkerLifetime> WorkerPool::unlist(const WorkerId& id)
{
    std::vector<WorkerLifetime> unlisted;
    for (const WorkerLifetime& lifetime : otherLifetimes({ id, noLifetime })) {
        Worker& worker = m_workers.at(lifetime);
        if (!worker.isListed)
            continue;
        worker.isListed = false;
        unlisted.push_back(lifetime);
    }
    return unlisted;
}

std::vector<WorkerId> WorkerPool::listedIds() const
{
    std::vector<WorkerId> ids;
    for (const auto& [lifetime, worker] : m_workers) {
        if (worker.isListed)
            ids.push_back(lifetime.id);
    }
    return ids;
}

Worker& WorkerPool::require(const WorkerLifetime& lifetime)
{
    Worker& worker = m_workers[lifetime];
    worker.record.lifetime = lifetime;
    return worker;
}

LiveRun& WorkerPool::attach(Worker& worker, LiveRun run)
{
    detach(worker, run.id.task);
    worker.used += run.resources;
    const TaskId task = run.id.task;
    return worker.runs.insert_or_assign(task, std::move(run)).first->second;
}

void WorkerPool::detach(Worker& worker, const TaskId& task)
{
    const auto found = worker.runs.find(task);
    if (found == worker.runs.end())
        return;
    worker.used -= found->second.resources;
    worker.runs.erase(found);
}

} // namespace anvilmoor::batch
