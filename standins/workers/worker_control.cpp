#include "workers/worker_service.h"

#include "clients/json_reader.h"
#include "common/answers.h"
#include "common/log_line.h"

#include <utility>

namespace anvilmoor::standin {

using nlohmann::json;

namespace {

// More executions would not fit into one answer. The totals are always included.
constexpr std::size_t maxExecutionsShown = 20'000;

constexpr const char* conditionName(WorkerCondition condition)
{
    switch (condition) {
    case WorkerCondition::Alive:
        return "alive";
    case WorkerCondition::Dead:
        return "dead";
    case WorkerCondition::Unreachable:
        return "unreachable";
    }
    return "";
}

json executionsOf(const std::map<std::string, std::unique_ptr<EndpointHost>>& endpoints)
{
    std::map<RequestIdentity, int> counts;
    std::uint64_t total = 0;
    for (const auto& [id, host] : endpoints) {
        for (const auto& [identity, count] : host->model().executions()) {
            counts[identity] += count;
            total += static_cast<std::uint64_t>(count);
        }
    }
    json shown = json::array();
    json repeated = json::array();
    for (const auto& [identity, count] : counts) {
        json item { { "account", identity.account.value() }, { "key", identity.key }, { "count", count } };
        if (count > 1 && repeated.size() < maxExecutionsShown)
            repeated.push_back(item);
        if (shown.size() < maxExecutionsShown)
            shown.push_back(std::move(item));
    }
    return { { "total", total }, { "identities", counts.size() },
        { "is_truncated", shown.size() < counts.size() }, { "by_identity", std::move(shown) },
        { "repeated", std::move(repeated) } };
}

json workerState(const Rack& rack, std::size_t index)
{
    const WorkerModel& worker = rack.worker(index);
    return { { "id", worker.id().value() }, { "rack", rack.id().value() },
        { "state", conditionName(rack.condition(index)) }, { "accelerators", worker.accelerators() },
        { "reserved", worker.accelerators(TaskPhase::Reserved) },
        { "confirmed", worker.accelerators(TaskPhase::Confirmed) },
        { "running", worker.accelerators(TaskPhase::Running) },
        { "checkpointing", worker.accelerators(TaskPhase::Checkpointing) },
        { "highest_token", worker.highestToken() }, { "fails_everything", worker.failsEverything },
        { "loses_checkpoints", worker.losesCheckpoints }, { "speed", worker.speed } };
}

struct JobOnWorkers {
    int members = 0;
    int accelerators = 0;
    int runningMembers = 0;
    int runningAccelerators = 0;
};

json jobsOn(const std::vector<Rack>& racks)
{
    std::map<std::pair<JobId, AttemptNumber>, JobOnWorkers> jobs;
    for (const Rack& rack : racks) {
        for (std::size_t i = 0; i < rack.size(); ++i) {
            for (const auto& [key, task] : rack.worker(i).tasks()) {
                JobOnWorkers& job = jobs[key];
                ++job.members;
                job.accelerators += task.accelerators;
                if (task.phase != TaskPhase::Running)
                    continue;
                ++job.runningMembers;
                job.runningAccelerators += task.accelerators;
            }
        }
    }
    json list = json::array();
    for (const auto& [key, job] : jobs)
        list.push_back({ { "job", key.first.value() }, { "attempt", key.second }, { "members", job.members },
            { "accelerators", job.accelerators }, { "running_members", job.runningMembers },
            { "running_accelerators", job.runningAccelerators } });
    return list;
}

} // namespace

void WorkerService::handleControl(const Exchange& exchange)
{
    clients::JsonReader reader(exchange->request().body);
    reader.allowOnly(
        { "workers", "endpoints", "racks", "service_ms", "hold", "checkpoints_lost", "usage_report_lag_ms" });
    std::vector<Change> changes;
    readZoneChanges(reader, changes);
    if (reader.has("workers"))
        readWorkerChanges(reader, changes);
    if (reader.has("endpoints"))
        readEndpointChanges(reader, changes);
    if (reader.has("racks"))
        readRackChanges(reader, changes);
    if (const auto checked = reader.result(true); !checked) {
        answerError(*exchange, 400, checked.error().detail);
        return;
    }
    for (const Change& change : changes)
        change();
    logLine("control", { { "change", exchange->request().body } });
    answerJson(*exchange, state());
    answerWaitingSyncs();
}

void WorkerService::readZoneChanges(clients::JsonReader& reader, std::vector<Change>& changes)
{
    if (reader.has("service_ms")) {
        const Milliseconds time = reader.milliseconds("service_ms");
        changes.push_back([this, time] {
            for (const auto& [id, host] : m_endpoints)
                host->serviceTime = time;
        });
    }
    if (reader.has("hold")) {
        const bool isHolding = reader.flag("hold");
        changes.push_back([this, isHolding] {
            for (const auto& [id, host] : m_endpoints)
                host->setHolding(isHolding);
        });
    }
    if (reader.has("checkpoints_lost")) {
        const bool isLost = reader.flag("checkpoints_lost");
        changes.push_back([this, isLost] {
            for (const auto& [id, place] : m_workerPositions)
                m_racks[place.rack].worker(place.worker).losesCheckpoints = isLost;
        });
    }
    if (reader.has("usage_report_lag_ms")) {
        const Milliseconds lag = reader.milliseconds("usage_report_lag_ms");
        changes.push_back([this, lag] {
            for (Rack& rack : m_racks)
                rack.setReportLag(lag);
        });
    }
}

void WorkerService::readWorkerChanges(clients::JsonReader& reader, std::vector<Change>& changes)
{
    for (clients::JsonReader& item : reader.items("workers")) {
        item.allowOnly({ "id", "state", "fails_everything", "loses_checkpoints", "speed" });
        const std::string id = item.text("id");
        const auto found = m_workerPositions.find(id);
        if (found == m_workerPositions.end()) {
            item.fail("id", "names an unknown worker");
            return;
        }
        WorkerModel& worker = m_racks[found->second.rack].worker(found->second.worker);
        if (item.has("fails_everything"))
            changes.push_back(
                [&worker, fails = item.flag("fails_everything")] { worker.failsEverything = fails; });
        if (item.has("loses_checkpoints"))
            changes.push_back(
                [&worker, loses = item.flag("loses_checkpoints")] { worker.losesCheckpoints = loses; });
        if (item.has("speed"))
            changes.push_back([&worker, speed = item.nonNegativeDouble("speed")] { worker.speed = speed; });
        if (!item.has("state"))
            continue;
        const std::string state = item.text("state");
        if (state != "dead" && state != "unreachable" && state != "alive" && state != "restart")
            item.fail("state", "is none of \"dead\", \"unreachable\", \"alive\" and \"restart\"");
        changes.push_back([this, id, state] { setWorkerState(id, state); });
    }
}

void WorkerService::readEndpointChanges(clients::JsonReader& reader, std::vector<Change>& changes)
{
    for (clients::JsonReader& item : reader.items("endpoints")) {
        item.allowOnly({ "worker", "fails_everything", "service_ms", "hold" });
        const std::string worker = item.text("worker");
        if (!m_workerPositions.contains(worker))
            item.fail("worker", "is unknown");
        for (EndpointHost* host : endpointsOn(worker)) {
            if (item.has("fails_everything"))
                changes.push_back(
                    [host, fails = item.flag("fails_everything")] { host->model().failsEverything = fails; });
            if (item.has("service_ms"))
                changes.push_back(
                    [host, time = item.milliseconds("service_ms")] { host->serviceTime = time; });
            if (item.has("hold"))
                changes.push_back([host, isHolding = item.flag("hold")] { host->setHolding(isHolding); });
        }
    }
}

void WorkerService::readRackChanges(clients::JsonReader& reader, std::vector<Change>& changes)
{
    for (clients::JsonReader& item : reader.items("racks")) {
        item.allowOnly({ "id", "silent" });
        const auto found = m_rackIndex.find(item.text("id"));
        const bool isSilent = item.flag("silent");
        if (found == m_rackIndex.end()) {
            item.fail("id", "names an unknown rack");
            return;
        }
        changes.push_back([this, rack = found->second, isSilent] { setRackSilent(rack, isSilent); });
    }
}

void WorkerService::setWorkerState(const std::string& worker, const std::string& state)
{
    const WorkerPosition place = m_workerPositions.at(worker);
    Rack& rack = m_racks[place.rack];
    const TimePoint now = m_loop.now();
    rack.advance(now);
    if (state == "restart")
        rack.restart(place.worker, now);
    else if (state == "dead")
        rack.setCondition(place.worker, WorkerCondition::Dead, now);
    else if (state == "unreachable")
        rack.setCondition(place.worker, WorkerCondition::Unreachable, now);
    else
        rack.setCondition(place.worker, WorkerCondition::Alive, now);
    if (state == "dead" || state == "restart") {
        for (EndpointHost* host : endpointsOn(worker))
            host->abandonCalls();
    }
    updateEndpoints(worker);
}

void WorkerService::setRackSilent(std::size_t rack, bool isSilent)
{
    m_racks[rack].isSilent = isSilent;
    for (const auto& [worker, place] : m_workerPositions) {
        if (place.rack == rack)
            updateEndpoints(worker);
    }
}

void WorkerService::updateEndpoints(const std::string& worker)
{
    const WorkerPosition place = m_workerPositions.at(worker);
    const Rack& rack = m_racks[place.rack];
    for (EndpointHost* host : endpointsOn(worker))
        host->losesAnswers = rack.isSilent || rack.condition(place.worker) == WorkerCondition::Unreachable;
}

std::string WorkerService::state() const
{
    json workers = json::array();
    for (const Rack& rack : m_racks) {
        for (std::size_t i = 0; i < rack.size(); ++i)
            workers.push_back(workerState(rack, i));
    }
    json racks = json::array();
    for (const Rack& rack : m_racks)
        racks.push_back({ { "id", rack.id().value() }, { "silent", rack.isSilent },
            { "highest_token", rack.highestToken() } });
    json endpoints = json::array();
    for (const auto& [id, host] : m_endpoints)
        endpoints.push_back(
            { { "id", id }, { "open_calls", host->callsOpen() }, { "calls_begun", host->callsBegun() },
                { "refusals", host->refusals() }, { "fails_everything", host->model().failsEverything },
                { "hold", host->isHolding() }, { "service_ms", host->serviceTime.count() } });
    const json state { { "workers", std::move(workers) }, { "racks", std::move(racks) },
        { "endpoints", std::move(endpoints) }, { "jobs", jobsOn(m_racks) },
        { "executions", executionsOf(m_endpoints) }, { "violations", m_violations },
        { "waiting_syncs", m_waiting.size() }, { "syncs", m_syncs }, { "commands", m_commands } };
    return state.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace anvilmoor::standin
