#include "batch/daemon/order_gate.h"

#include <string>
#include <utility>

namespace anvilmoor::batch {

OrderGate::OrderGate(WorkerGateway& workers, const OrderPermission& permission,
    std::function<TimePoint()> clock, net::EventLoop& loop, telemetry::EventLog& log)
    : m_workers(workers)
    , m_permission(permission)
    , m_clock(std::move(clock))
    , m_loop(loop)
    , m_log(log)
{
}

bool OrderGate::checkPermission(std::string_view order, const WorkerLifetime& worker)
{
    if (m_permission.mayAct(m_clock()))
        return true;
    m_log.log(telemetry::LogLevel::Warning, "order.not_sent",
        { { "order", std::string(order) }, { "worker", worker.id.value() },
            { "reason", "the leader may not act any more" } });
    return false;
}

void OrderGate::start(const StartRun& order, std::function<void(StartAnswered)> callback)
{
    if (checkPermission("start", order.worker)) {
        m_workers.start(order, std::move(callback));
        return;
    }
    m_loop.post([answer = StartAnswered { order.worker, order.token, order.run },
                    callback = std::move(callback)] { callback(answer); });
}

void OrderGate::stop(const StopRun& order, std::function<void(StopAnswered)> callback)
{
    if (checkPermission("stop", order.worker)) {
        m_workers.stop(order, std::move(callback));
        return;
    }
    m_loop.post([answer = StopAnswered { order.worker, order.token, order.run },
                    callback = std::move(callback)] { callback(answer); });
}

void OrderGate::hold(const HoldWorker& order, std::function<void(HoldAnswered)> callback)
{
    if (checkPermission("hold", order.worker)) {
        m_workers.hold(order, std::move(callback));
        return;
    }
    m_loop.post(
        [answer = HoldAnswered { .worker = order.worker, .token = order.token, .number = order.number },
            callback = std::move(callback)] { callback(answer); });
}

} // namespace anvilmoor::batch
