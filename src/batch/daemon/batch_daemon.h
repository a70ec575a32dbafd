#pragma once

#include "batch/daemon/lateness_monitor.h"
#include "batch/daemon/order_gate.h"
#include "batch/daemon/ports.h"
#include "batch/daemon/table_follower.h"
#include "batch/reducer/batch_reducer.h"
#include "net/event_loop.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>

namespace anvilmoor::batch {

// Runs the reducer on the event loop: turns replies and timers into events, and executes the resulting
// effects through the ports.
class BatchDaemon {
public:
    using Answer = std::function<void(const AnswerCaller&)>;

    BatchDaemon(net::EventLoop&, RowStore&, WorkerGateway&, const RecordReader&, telemetry::EventLog&,
        telemetry::MetricsRegistry&, BatchSettings);
    ~BatchDaemon();
    BatchDaemon(const BatchDaemon&) = delete;
    BatchDaemon& operator=(const BatchDaemon&) = delete;

    // Assigns a handle to the request, overwriting the one it contains, and returns it for use with
    // callerGone().
    CallerHandle request(CallerRequest, Answer);
    // Discards the answer to a request whose caller has disconnected.
    void callerGone(CallerHandle);
    void shutdown();
    bool isReady() const;
    // Sets the callback that is called once when a shutdown ends: when nothing is left to do or the grace
    // period is nearly over.
    void onStopped(std::function<void()>);

    // Monotonic time that includes the time during which the host is suspended.
    static TimePoint now();

private:
    void onTick();
    void dispatch(EventPayload);
    void carryOut(Effect&);
    void carryOut(StartRun&);
    void carryOut(StopRun&);
    void carryOut(HoldWorker&);
    void carryOut(Commit&);
    void carryOut(ReadRows&);
    void carryOut(FollowLeaderTables&);
    void carryOut(RequestPlacementTurn&);
    void carryOut(AnswerCaller&);
    void carryOut(StopDaemon&);
    void carryOut(RecordWait&);
    void carryOut(RecordEvent&);
    void followConfiguration();
    void followLease();
    void onConfigurationUpdate(const TableFollower::Update&);
    void onWorkerUpdate(const TableFollower::Update&);

    RowStore& m_store;
    const RecordReader& m_records;
    telemetry::EventLog& m_log;
    telemetry::MetricsRegistry& m_metrics;
    net::EventLoop& m_loop;
    BatchReducer m_reducer;
    OrderGate m_workers;
    std::mt19937_64 m_random;
    Milliseconds m_lastTurnDuration { 0 };
    net::Timer m_tickTimer;
    LatenessMonitor m_lateness { tickInterval };
    std::unique_ptr<TableFollower> m_configurationFollower;
    std::unique_ptr<TableFollower> m_leaseFollower;
    std::unique_ptr<TableFollower> m_jobFollower;
    std::unique_ptr<TableFollower> m_workerFollower;
    struct Caller {
        Answer answer;
        CallerAction action = CallerAction::Query;
        TimePoint since {};
    };
    std::map<CallerHandle, Caller> m_callers;
    CallerHandle m_lastCaller = 0;
    std::function<void()> m_onStopped;
    // Set to false by the destructor, so that replies that arrive later are dropped.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace anvilmoor::batch
