#include "support/batch_cluster.h"
#include "support/batch_cluster_parts.h"

#include <algorithm>
#include <cppunit/TestAssert.h>
#include <fmt/format.h>
#include <utility>

// Sets up the fake workers, finds them, and has them drain and leave.

namespace anvilmoor::testing {

using namespace batch;

namespace {

constexpr Milliseconds announcementRetryInterval { 50 };

} // namespace

void BatchCluster::addWorkers(int racks, int perRack)
{
    for (int rack = 0; rack < racks; ++rack) {
        for (int index = 0; index < perRack; ++index) {
            WorkerRecord record;
            record.lifetime = { WorkerId(fmt::format("w{}-{}", rack, index)), 1 };
            record.address = fmt::format("10.0.{}.{}:80", rack, index);
            record.service = ServiceId("planner");
            record.zone = AvailabilityZoneId("north");
            record.capacity = { 128'000, 256'000, 8 };
            record.kind = "a";
            record.rack = RackId(fmt::format("r{}", rack));
            auto worker = std::make_unique<FakeWorker>(std::move(record), [this] { return m_now; });
            worker->durationOf = [this](const TaskId& task) {
                const auto set = m_durations.find(task.job);
                const StepSpecification& step
                    = m_jobs.at(task.job).steps[static_cast<std::size_t>(task.step)];
                return set == m_durations.end() ? step.estimatedDuration : set->second;
            };
            worker->resourcesOf = [this](const TaskId& task) {
                return m_jobs.at(task.job).steps[static_cast<std::size_t>(task.step)].perTask;
            };
            worker->isGangComplete = [this](const RunId& run) {
                const StepSpecification& step
                    = m_jobs.at(run.task.job).steps[static_cast<std::size_t>(run.task.step)];
                if (!step.isGang)
                    return true;
                int present = 0;
                for (const auto& other : m_workers) {
                    for (const auto& [task, each] : other->runs())
                        present += task.job == run.task.job && task.step == run.task.step
                                && each.id.run == run.run
                            ? 1
                            : 0;
                }
                const auto done = m_done.find({ run.task.job, run.task.occurrence, run.task.step, -1 });
                return present == step.taskCount || (done != m_done.end() && done->second == run.run);
            };
            worker->onStart = [this](const StartRun& order) { recordStart(order); };
            worker->onAcknowledged = [this](const EndedRun& ended, bool hasLeaseExpired) {
                recordAcknowledgement(ended, hasLeaseExpired);
            };
            worker->randomShare = [this] { return randomShare(); };
            worker->onEnd = [this, id = worker->record.lifetime.id](
                                const RunId& run, RunEnd how) { recordEnd(id, run, how); };
            m_workers.push_back(std::move(worker));
        }
    }
}

void BatchCluster::slowDownFarRuns(double factor)
{
    for (const auto& worker : m_workers)
        worker->slowdownOf = [this, factor](const RunId& run) { return isFar(run) ? factor : 1; };
}

bool BatchCluster::isFar(const RunId& run) const
{
    const StepSpecification& step = m_jobs.at(run.task.job).steps[static_cast<std::size_t>(run.task.step)];
    std::set<std::string> racks;
    for (const auto& worker : m_workers) {
        for (const auto& [task, each] : worker->runs()) {
            const bool isSameGang
                = task.job == run.task.job && task.step == run.task.step && each.id.run == run.run;
            if (each.id == run || (step.needsOneRack && isSameGang))
                racks.insert(worker->record.rack.value());
        }
    }
    return racks.size() > 1 || (!step.dataRack.empty() && !racks.contains(step.dataRack));
}

FakeWorker* BatchCluster::findAnyLifetime(const WorkerId& id)
{
    for (const auto& worker : m_workers) {
        if (worker->record.lifetime.id == id)
            return worker.get();
    }
    return nullptr;
}

std::vector<std::size_t> BatchCluster::workersOf(const JobId& job) const
{
    const auto isOfJob = [&job](const auto& entry) { return entry.first.job == job; };
    std::vector<std::size_t> workers;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        const auto& runs = m_workers[i]->runs();
        if (std::any_of(runs.begin(), runs.end(), isOfJob))
            workers.push_back(i);
    }
    if (workers.empty())
        CPPUNIT_FAIL(fmt::format("no worker runs job {}", job.value()));
    return workers;
}

void BatchCluster::drainAndLeave(std::size_t index, Milliseconds remaining)
{
    // The time that is announced begins when the store has accepted the announcement.
    if (isStoreDown) {
        at(m_now + announcementRetryInterval, [this, index, remaining] { drainAndLeave(index, remaining); });
        return;
    }
    const WorkerId id = m_workers[index]->record.lifetime.id;
    m_workers[index]->drain(remaining);
    if (!m_registry.empty())
        m_registry[index] = { m_workers[index]->record, ++m_registryVersion, m_now };
    m_leaving.insert(id);
    at(m_now + remaining, [this, index, id] {
        for (const auto& [task, run] : m_workers[index]->runs())
            addViolation(nameOf(run.id) + " is cut off as its worker leaves at the announced time");
        m_workers[index]->leave();
        unlist(id);
        if (!m_registry.empty())
            removeWorker(index);
    });
}

} // namespace anvilmoor::testing
