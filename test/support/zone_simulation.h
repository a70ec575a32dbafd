#pragma once

#include "jobs/job_scheduler.h"
#include "model/table_store.h"
#include "model/worker_model.h"
#include "role/zone_role.h"
#include "support/zone_fakes.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace anvilmoor::test {

enum class Fault { None, LoseRequest, LoseReply, Repeat };

// One daemon: zone role and job scheduler, which receive the same events.
struct SimulatedDaemon {
    DaemonSettings settings;
    FakePeers peers;
    std::unique_ptr<ZoneRole> role;
    std::unique_ptr<JobScheduler> scheduler;
    bool isPaused = false;
    std::deque<EventPayload> waiting; // arrived while paused
    std::uint64_t generation = 0; // incremented at each start and kill; replies to an earlier one are dropped
};

// Simulates one zone in virtual time: daemons, the table, and two racks of workers. Injects faults into table
// writes, worker commands and rack syncs.
class ZoneSimulation {
public:
    explicit ZoneSimulation(std::size_t daemonCount, std::uint64_t seed = 1);

    void run(Milliseconds);
    // Runs until the condition holds; returns false if it does not hold within the limit.
    bool runUntil(const std::function<bool()>&, Milliseconds limit);
    // Delivers the messages that are due by the next tick, then runs this tick on workers and daemons.
    void tick();

    void deliver(std::size_t daemon, EventPayload);
    void pause(std::size_t daemon) { daemons[daemon]->isPaused = true; }
    void resume(std::size_t daemon);
    void restart(std::size_t daemon);
    void kill(std::size_t daemon);

    CallerHandle submit(std::size_t daemon, const JobSpecification&);
    CallerHandle cancel(std::size_t daemon, const JobId&);
    // Null until the request is answered.
    const AnswerOperator* answer(CallerHandle) const;
    // The job in the answer; fails the test unless the answer consists of exactly one job.
    JobStatus job(CallerHandle) const;
    std::optional<JobStatus> row(const JobId&) const;
    bool isInState(const JobId&, JobState) const;
    std::optional<std::size_t> holder() const;
    standin::WorkerModel& worker(std::size_t index);
    void restartWorker(std::size_t index);
    void setDead(std::size_t index, bool isDead);
    int runningAccelerators(const JobId&) const;
    std::size_t countRecords(const std::string& name) const;

    // The latest violation of promise P2; empty if none. No accelerator is booked twice, no two attempts of a
    // job run at once, and no gang runs with a part of its accelerators for longer than a bound.
    std::string violation() const { return m_violation; }

    FakeConfiguration configuration;
    FakeEndpoints endpoints;
    FirstFitPlacement placement;
    FakeNoise noise;
    standin::TableStore table;
    std::vector<std::unique_ptr<SimulatedDaemon>> daemons;
    TimePoint now { Milliseconds(1'000'000) };
    std::vector<RecordEvent> records;
    std::vector<std::pair<std::size_t, WorkerCommand>> commands; // each with the daemon that sent it

    std::size_t rowsRead = 0; // job rows returned by reads, for all daemons

    // --- faults
    bool isTableDown = false;
    bool isObjectStoreDown = false;
    std::function<Fault(std::size_t daemon, const TableTransaction&)> writeFault;
    std::function<Fault(std::size_t daemon, const WorkerId&, const WorkerCommand&)> commandFault;
    std::function<Fault(std::size_t daemon, const SyncRack&)> syncFault;
    std::function<Milliseconds()> delay; // one way; 3 ms if not set
    std::mt19937_64 random;

private:
    struct Rack {
        RackId id;
        std::vector<std::size_t> workers;
        FencingToken highestToken = 0;
        std::uint64_t sequence = 1;
        std::map<std::size_t, std::uint64_t> changedAt;
    };
    struct WaitingSync {
        std::size_t daemon = 0;
        std::uint64_t generation = 0;
        SyncRack sync;
        TimePoint until {};
        Fault fault = Fault::None;
    };

    void start(std::size_t daemon);
    void at(TimePoint, std::function<void()>);
    void deliverDue(TimePoint until);
    void reply(std::size_t daemon, std::uint64_t generation, EventPayload, Fault = Fault::None);
    void execute(std::size_t daemon, Effect);
    void executeWrite(std::size_t daemon, const ExecuteTransaction&);
    void executeRead(std::size_t daemon, const ReadTable&);
    void executeCommand(std::size_t daemon, const SendWorkerCommand&);
    void executeSync(std::size_t daemon, const SyncRack&);
    void receiveSync(WaitingSync);
    void answerSyncs();
    void markChanged(std::size_t worker);
    void updatePeers(std::size_t daemon);
    void checkInvariants();
    Milliseconds oneWayDelay() { return delay ? delay() : Milliseconds(3); }

    std::multimap<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_due;
    std::uint64_t m_order = 0;
    std::vector<std::unique_ptr<standin::WorkerModel>> m_workers;
    std::map<WorkerId, std::size_t> m_workerIndex;
    std::vector<Rack> m_racks;
    std::vector<WaitingSync> m_waitingSyncs;
    CallerHandle m_lastCaller = 0;
    std::map<CallerHandle, AnswerOperator> m_answers;
    std::map<TaskKey, std::map<std::size_t, int>> m_memberSize;
    std::map<TaskKey, TimePoint> m_partialSince;
    std::string m_violation;
};

JobSpecification borrowedJob(const std::string& key, int accelerators, Milliseconds runTime);
JobSpecification guaranteedJob(const std::string& key, int accelerators, Milliseconds runTime);

} // namespace anvilmoor::test
