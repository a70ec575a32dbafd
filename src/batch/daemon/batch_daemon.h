#pragma once

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

// Runs the reducer on the loop: turns replies and timers into events, and carries out effects through the
// ports.
class BatchDaemon {
public:
    using Answer = std::function<void(const AnswerCaller&)>;

    BatchDaemon(net::EventLoop&, RowStore&, WorkerGateway&, const RecordReader&, telemetry::EventLog&,
        telemetry::MetricsRegistry&, BatchSettings);
    ~BatchDaemon();
    BatchDaemon(const BatchDaemon&) = delete;
    BatchDaemon& operator=(const BatchDaemon&) = delete;

    // The handle of the request is set here. Returns it, for callerGone().
    CallerHandle request(CallerRequest, Answer);
    void callerGone(CallerHandle);
    void shutdown();
    bool isReady() const;
    // Called once, when the daemon has nothing left to do.
    void onStopped(std::function<void()>);

    // Monotonic, and goes on while the host is suspended.
    static TimePoint now();

private:
    void dispatch(EventPayload);
    void carryOut(Effect&);
    void carryOut(StartRun&);
    void carryOut(StopRun&);
    void carryOut(HoldWorker&);
    void carryOut(Commit&);
    void carryOut(ReadRows&);
    void carryOut(FollowLeaderTables&);
    void carryOut(AnswerCaller&);
    void carryOut(StopDaemon&);
    void carryOut(RecordEvent&);
    void followConfiguration();
    void followLease();
    void configurationNews(const TableFollower::News&);
    void workerNews(const TableFollower::News&);

    RowStore& m_store;
    WorkerGateway& m_workers;
    const RecordReader& m_records;
    telemetry::EventLog& m_log;
    telemetry::MetricsRegistry& m_metrics;
    net::EventLoop& m_loop;
    BatchReducer m_reducer;
    std::mt19937_64 m_random;
    net::Timer m_ticks;
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
    // Replies that come after the daemon's end are dropped.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace anvilmoor::batch
