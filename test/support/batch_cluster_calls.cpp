#include "support/batch_cluster.h"
#include "support/batch_cluster_parts.h"

// Carries orders and hold requests over the links to workers, and their answers back.

namespace anvilmoor::testing {

using namespace batch;

namespace {

constexpr Milliseconds orderDelay { 4 };
constexpr Milliseconds orderTimeout { 600 };

EventPayload withOutcome(EventPayload answer, OrderOutcome outcome)
{
    std::visit(
        [outcome](auto& each) {
            if constexpr (requires { each.outcome = outcome; })
                each.outcome = outcome;
        },
        answer);
    return answer;
}

} // namespace

void BatchCluster::answer(const std::shared_ptr<Call>& call, const EventPayload& payload)
{
    if (call->isAnswered)
        return;
    call->isAnswered = true;
    deliver(call->daemon, call->lifetime, Milliseconds(0), payload);
}

std::shared_ptr<BatchCluster::Call> BatchCluster::call(std::size_t daemon, const WorkerLifetime& target,
    const EventPayload& unanswered, Milliseconds timeout, double lateShare,
    const std::function<void(const std::shared_ptr<Call>&)>& execute)
{
    auto call = std::make_shared<Call>();
    call->daemon = daemon;
    call->lifetime = m_daemons[daemon].lifetime;
    call->target = target;
    call->isLate = randomShare() < lateShare;
    call->isAnswerLost = call->isLate || randomShare() < disturbances.lostAnswerShare;
    call->answerDelay = orderDelay;
    Milliseconds delay = orderDelay;
    if (call->isLate) {
        delay = randomTime(2'000, 12'000);
    } else if (randomShare() < disturbances.slowAnswerShare) {
        const Milliseconds total
            = randomTime(static_cast<int>(2 * orderDelay.count()), static_cast<int>(timeout.count()));
        delay = randomTime(static_cast<int>(orderDelay.count()), static_cast<int>(total.count()));
        call->answerDelay = total - delay;
    }
    const bool isCut = cutFromWorkers.contains(daemon);
    at(m_now + timeout, [this, call, unanswered] { answer(call, unanswered); });
    if (isCut)
        return call;
    at(m_now + delay, [this, call, execute, unanswered] {
        const FakeWorker* worker = findAnyLifetime(call->target.id);
        if (worker && worker->refusesConnections) {
            answer(call, withOutcome(unanswered, OrderOutcome::NotSent));
            return;
        }
        Link* link = linkOf(call->daemon, call->target.id);
        if (link && link->cut == LinkCut::HeldBack)
            link->heldBack.emplace_back([call, execute] { execute(call); });
        else
            execute(call);
    });
    return call;
}

BatchCluster::Link* BatchCluster::linkOf(std::size_t daemon, const WorkerId& id)
{
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (m_workers[i]->record.lifetime.id != id)
            continue;
        const auto found = m_links.find({ daemon, i });
        return found == m_links.end() ? nullptr : &found->second;
    }
    return nullptr;
}

FakeWorker* BatchCluster::recipient(const Call& call)
{
    FakeWorker* worker = findAnyLifetime(call.target.id);
    const Link* link = linkOf(call.daemon, call.target.id);
    if (!worker || !worker->isReachable || (link && link->cut == LinkCut::Silent))
        return nullptr;
    return worker;
}

void BatchCluster::order(std::size_t daemon, const WorkerLifetime& target,
    const std::function<EventPayload(FakeWorker*)>& executeAt, const EventPayload& unanswered)
{
    call(daemon, target, unanswered, orderTimeout, lateOrderShare,
        [this, executeAt](const std::shared_ptr<Call>& call) {
            FakeWorker* worker = recipient(*call);
            if (!worker)
                return;
            const EventPayload payload = executeAt(worker);
            at(m_now + call->answerDelay, [this, call, payload] {
                const Link* link = linkOf(call->daemon, call->target.id);
                if (!call->isAnswerLost && !(link && link->cut))
                    answer(call, payload);
            });
        });
}

void BatchCluster::hold(std::size_t daemon, const HoldWorker& holdOrder)
{
    call(daemon, holdOrder.worker,
        HoldAnswered { .worker = holdOrder.worker, .token = holdOrder.token, .number = holdOrder.number },
        holdOrder.wait + orderTimeout, disturbances.lateHoldShare,
        [this, holdOrder](const std::shared_ptr<Call>& call) {
            FakeWorker* worker = recipient(*call);
            if (!worker)
                return;
            worker->hold(holdOrder);
            call->executedBy = worker->record.lifetime.startedAtMs;
            pollHold(call, holdOrder, m_now + holdOrder.wait);
        });
}

// Long poll: answers at once if the worker has ended runs to report, otherwise at `answerBy`.
void BatchCluster::pollHold(
    const std::shared_ptr<Call>& call, const HoldWorker& holdOrder, TimePoint answerBy)
{
    const FakeWorker* worker = recipient(*call);
    const bool isSameLifetime = worker && worker->record.lifetime.startedAtMs == call->executedBy;
    if (!isSameLifetime || call->isAnswerLost)
        return;
    const HoldAnswered payload = worker->status(holdOrder);
    if (payload.outcome == OrderOutcome::Accepted && payload.status.ended.empty() && m_now < answerBy) {
        at(m_now + advanceInterval,
            [this, call, holdOrder, answerBy] { pollHold(call, holdOrder, answerBy); });
        return;
    }
    at(m_now + call->answerDelay, [this, call, payload] {
        const Link* link = linkOf(call->daemon, call->target.id);
        const bool hasLeft = m_leaving.contains(call->target.id) && !recipient(*call);
        if (!(link && link->cut) && !hasLeft)
            answer(call, payload);
    });
}

void BatchCluster::healLinks()
{
    std::map<std::pair<std::size_t, std::size_t>, Link> healed;
    healed.swap(m_links);
    for (const auto& [ends, link] : healed) {
        for (const auto& execute : link.heldBack)
            execute();
    }
}

} // namespace anvilmoor::testing
