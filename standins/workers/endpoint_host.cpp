#include "workers/endpoint_host.h"

#include "clients/endpoint_codec.h"
#include "common/answers.h"

#include <utility>
#include <vector>

namespace anvilmoor::standin {

EndpointHost::EndpointHost(net::EventLoop& loop, const EndpointId& id, int slots)
    : m_loop(loop)
    , m_model(id, slots)
{
}

void EndpointHost::call(const CallEndpoint& call, const std::shared_ptr<net::HttpExchange>& exchange)
{
    if (!m_model.begin()) {
        ++m_refusals;
        exchange->respond(clients::endpointResponse(call.identity, 503, "every slot is taken"));
        return;
    }
    const EndpointReply reply = m_model.execute(call.identity, call.operation, call.body);
    const std::uint64_t id = ++m_lastId;
    OpenCall& open = m_open[id];
    open.exchange = exchange;
    open.response = clients::endpointResponse(call.identity, reply.isError ? 500 : 200, reply.body);
    if (m_isHolding)
        return;
    if (!serviceTime.count()) {
        answer(id);
        return;
    }
    open.timer = std::make_unique<net::Timer>(m_loop);
    open.timer->startOnce(serviceTime, [this, id] { answer(id); });
}

void EndpointHost::answer(std::uint64_t id)
{
    auto node = m_open.extract(id);
    if (node.empty())
        return;
    m_model.finish();
    if (losesAnswers) {
        leaveUnanswered(node.mapped().exchange);
        return;
    }
    node.mapped().exchange->respond(std::move(node.mapped().response));
}

void EndpointHost::setHolding(bool isHolding)
{
    m_isHolding = isHolding;
    if (!isHolding)
        answerHeldCalls();
}

void EndpointHost::answerHeldCalls()
{
    std::vector<std::uint64_t> held;
    for (const auto& [id, open] : m_open) {
        if (!open.timer)
            held.push_back(id);
    }
    for (const std::uint64_t id : held)
        answer(id);
}

void EndpointHost::abandonCalls()
{
    for (auto& [id, open] : std::exchange(m_open, {})) {
        m_model.finish();
        leaveUnanswered(open.exchange);
    }
}

} // namespace anvilmoor::standin
