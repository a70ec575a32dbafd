#pragma once

#include "anvilmoor/effect.h"
#include "model/endpoint_model.h"
#include "net/event_loop.h"
#include "net/http.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace anvilmoor::standin {

// One endpoint over HTTP. Executes each call on a slot and answers after the service time, or at the end of
// holding. A client that disconnects does not free its slot earlier.
class EndpointHost {
public:
    EndpointHost(net::EventLoop&, const EndpointId&, int slots);

    EndpointModel& model() { return m_model; }
    const EndpointModel& model() const { return m_model; }
    void call(const CallEndpoint&, const std::shared_ptr<net::HttpExchange>&);
    // While holding, calls are executed and not answered. When holding ends, all held calls are answered.
    void setHolding(bool);
    bool isHolding() const { return m_isHolding; }
    // Simulates the death of the worker: open calls are never answered, and their slots are free again.
    void abandonCalls();
    std::size_t callsOpen() const { return m_open.size(); }
    std::uint64_t callsBegun() const { return m_lastId; }
    std::uint64_t refusals() const { return m_refusals; }

    Milliseconds serviceTime { 0 };
    bool losesAnswers = false; // calls are executed, and their answers are lost

private:
    struct OpenCall {
        std::shared_ptr<net::HttpExchange> exchange;
        net::HttpResponse response;
        std::unique_ptr<net::Timer> timer; // null while held
    };

    void answer(std::uint64_t id);
    void answerHeldCalls();

    net::EventLoop& m_loop;
    EndpointModel m_model;
    bool m_isHolding = false;
    std::uint64_t m_refusals = 0;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, OpenCall> m_open;
};

} // namespace anvilmoor::standin
