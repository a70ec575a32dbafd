#pragma once

#include "batch/daemon/ports.h"
#include "batch/reducer/order_permission.h"
#include "net/event_loop.h"
#include "telemetry/event_log.h"

#include <functional>
#include <string_view>

namespace anvilmoor::batch {

// Hands orders to the client of the workers if the daemon may act at that moment. The process may have been
// suspended, or short of CPU time, since it decided on an order, so that another daemon may lead. Orders that
// are not handed over are answered as Unknown.
class OrderGate : public WorkerGateway {
public:
    // The clock must be the one on which the permission is based.
    OrderGate(WorkerGateway&, const OrderPermission&, std::function<TimePoint()> clock, net::EventLoop&,
        telemetry::EventLog&);

    void start(const StartRun&, std::function<void(StartAnswered)>) override;
    void stop(const StopRun&, std::function<void(StopAnswered)>) override;
    void hold(const HoldWorker&, std::function<void(HoldAnswered)>) override;

private:
    // Logs the order if it must not be sent.
    bool checkPermission(std::string_view order, const WorkerLifetime&);

    WorkerGateway& m_workers;
    const OrderPermission& m_permission;
    std::function<TimePoint()> m_clock;
    net::EventLoop& m_loop;
    telemetry::EventLog& m_log;
};

} // namespace anvilmoor::batch
