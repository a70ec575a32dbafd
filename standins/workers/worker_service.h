#pragma once

#include "net/event_loop.h"
#include "net/http.h"
#include "workers/endpoint_host.h"
#include "workers/layout.h"
#include "workers/rack.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace anvilmoor::clients {
class JsonReader;
}

namespace anvilmoor::standin {

// Stand-in for all workers and endpoints of one zone over HTTP, with `/control`.
//
// POST /control takes any of
//   {"workers":[{"id","state":"dead"|"unreachable"|"alive"|"restart","fails_everything",
//       "loses_checkpoints","speed"}],
//    "endpoints":[{"worker","fails_everything","service_ms","hold"}], // all services of the worker
//    "racks":[{"id","silent"}],
//    "service_ms","hold","checkpoints_lost","usage_report_lag_ms"} // for the whole zone
// and applies all of them or, with status 400, none. "hold":false answers all held calls.
//
// A dead worker has lost its tasks, and calls to it are refused with 503. An unreachable worker keeps its
// tasks and does not answer. The rack reports both as not live. A silent rack does not answer, and neither do
// its workers.
//
// GET /control returns workers, jobs, executions and violations.
class WorkerService {
public:
    WorkerService(net::EventLoop&, const ZoneLayout&);

    void handle(const std::shared_ptr<net::HttpExchange>&);

private:
    using Exchange = std::shared_ptr<net::HttpExchange>;
    using Change = std::function<void()>;

    struct WorkerPosition {
        std::size_t rack = 0;
        std::size_t worker = 0;
    };

    struct WaitingSync {
        std::size_t rack = 0;
        SyncRack sync;
        Exchange exchange;
        TimePoint answerBy;
    };

    void advance();
    void handleSync(const Exchange&, const std::string& rack);
    void handleCommand(const Exchange&, const std::string& worker);
    void handleCall(const Exchange&, const std::string& endpoint);
    // Returns true, and refuses the exchange or leaves it unanswered, if the worker is dead or unreachable or
    // its rack is silent.
    bool rejectIfUnavailable(const WorkerPosition&, const Exchange&);
    void answerSync(const WaitingSync&);
    void answerWaitingSyncs();

    void handleControl(const Exchange&);
    void readWorkerChanges(clients::JsonReader&, std::vector<Change>&);
    void readEndpointChanges(clients::JsonReader&, std::vector<Change>&);
    void readRackChanges(clients::JsonReader&, std::vector<Change>&);
    void readZoneChanges(clients::JsonReader&, std::vector<Change>&);
    void setWorkerState(const std::string& worker, const std::string& state);
    void setRackSilent(std::size_t rack, bool isSilent);
    void updateEndpoints(const std::string& worker);
    std::vector<EndpointHost*> endpointsOn(const std::string& worker) const;

    void checkWorker(const WorkerModel&);
    void checkAttempts();
    void addViolation(std::string);
    std::string state() const;

    net::EventLoop& m_loop;
    std::vector<Rack> m_racks;
    std::map<std::string, std::size_t> m_rackIndex;
    std::map<std::string, WorkerPosition> m_workerPositions; // by worker
    std::map<std::string, std::unique_ptr<EndpointHost>> m_endpoints; // by "<service>@<worker>"
    std::list<WaitingSync> m_waiting;
    std::set<std::string> m_violations;
    std::uint64_t m_syncs = 0;
    std::uint64_t m_commands = 0;
    net::Timer m_advanceTimer;
};

} // namespace anvilmoor::standin
