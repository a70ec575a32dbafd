#pragma once

#include "model/table_store.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "platform/fault_switch.h"
#include "platform/host_directory.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace anvilmoor::standin {

// Stand-in for the platform over HTTP: table, object store, host list, and `/control`.
//
// POST /control takes any of {table, objects, hosts: a fault (see FaultSwitch::read),
// set_hosts: [{id, state: "live", "leaving" or "gone"}], host_list_lag_ms}. It applies all of them or, with
// status 400, none. GET /control returns faults, hosts and counters.
class PlatformService {
public:
    PlatformService(net::EventLoop&, HostDirectory);

    void handle(const std::shared_ptr<net::HttpExchange>&);

private:
    using Exchange = std::shared_ptr<net::HttpExchange>;
    // Executes the request and returns the response.
    using Action = std::function<net::HttpResponse()>;

    struct Counters {
        std::uint64_t reads = 0;
        std::uint64_t transactions = 0;
        std::uint64_t conflicts = 0;
        std::uint64_t objectReads = 0;
        std::uint64_t objectWrites = 0;
        std::uint64_t hostLists = 0;
        std::uint64_t refused = 0;
        std::uint64_t answersLost = 0;
        std::uint64_t slowed = 0;
    };

    void applyFault(const Exchange&, FaultSwitch&, std::span<const std::string> keys, bool isWrite, Action);
    void executeLater(const Exchange&, Milliseconds delay, Action);
    void handleTransaction(const Exchange&);
    void handleRead(const Exchange&);
    void handleObject(const Exchange&, const std::string& key);
    void handleHosts(const Exchange&);
    void handleControl(const Exchange&);
    std::string state();

    net::EventLoop& m_loop;
    TableStore m_table;
    std::map<std::string, std::string> m_objects;
    HostDirectory m_hosts;
    FaultSwitch m_tableFault;
    FaultSwitch m_objectFault;
    FaultSwitch m_hostFault;
    Counters m_counters;
    std::uint64_t m_lastDelayed = 0;
    std::map<std::uint64_t, std::unique_ptr<net::Timer>> m_delayed;
};

} // namespace anvilmoor::standin
