#include "admission/fair_share_admission.h"

#include <algorithm>
#include <iterator>

namespace anvilmoor {

namespace {

// Further callers of an account use the queue of an idle caller or, if no caller is idle, share the first
// queue, so that invented caller names cannot use up memory.
constexpr std::size_t maxCallersPerAccount = 1'024;

} // namespace

void FairShareAdmission::configure(const Configuration& configuration)
{
    m_shares.clear();
    for (const ClientAccountConfiguration& account : configuration.accounts)
        m_shares[account.id] = account.share;
    for (auto& [id, service] : m_services) {
        for (FairOrder::Flow flow = 0; flow < service.accounts.size(); ++flow) {
            const auto share = m_shares.find(service.accounts[flow].id);
            const bool isActive = service.accounts[flow].count > 0;
            // The weight of an active flow is included in the sum of active weights, so it may change only
            // while the flow is inactive.
            service.order.deactivate(flow);
            service.order.setWeight(flow, share == m_shares.end() ? 0 : share->second);
            if (isActive)
                service.order.activate(flow);
        }
    }
}

FairOrder::Flow FairShareAdmission::accountFlow(ServiceQueue& service, const ClientAccountId& id)
{
    const auto found = service.accountFlows.find(id);
    if (found != service.accountFlows.end())
        return found->second;
    const auto share = m_shares.find(id);
    const FairOrder::Flow flow = service.order.addFlow(share == m_shares.end() ? 1 : share->second);
    service.accountFlows.emplace(id, flow);
    AccountQueue& account = service.accounts.emplace_back();
    account.id = id;
    return flow;
}

FairOrder::Flow FairShareAdmission::callerFlow(AccountQueue& account, const std::string& caller)
{
    const auto found = account.callerFlows.find(caller);
    if (found != account.callerFlows.end())
        return found->second;
    if (account.callers.size() >= maxCallersPerAccount) {
        // Reuses the queue of an idle caller. Its start tags remain, which can delay the new caller only by
        // the cost of one request.
        for (FairOrder::Flow flow = 0; flow < account.callers.size(); ++flow) {
            if (account.callers[flow].count > 0)
                continue;
            account.callerFlows.erase(account.callers[flow].name);
            account.callers[flow].name = caller;
            account.callerFlows.emplace(caller, flow);
            return flow;
        }
        return 0;
    }
    const FairOrder::Flow flow = account.order.addFlow(1);
    account.callerFlows.emplace(caller, flow);
    CallerQueue& queue = account.callers.emplace_back();
    queue.name = caller;
    for (int level = 0; level < priorityLevels; ++level)
        queue.order.addFlow(1.0 + level);
    return flow;
}

double FairShareAdmission::expectedWaitMs(
    const ServiceQueue& service, FairOrder::Flow account, FairOrder::Flow caller, int level, int parallelism)
{
    const AccountQueue& accountQueue = service.accounts[account];
    const CallerQueue& callerQueue = accountQueue.callers[caller];
    const double fraction = service.order.fraction(account) * accountQueue.order.fraction(caller)
        * callerQueue.order.fraction(FairOrder::Flow(level));
    // The backlog of the caller's priority at the rate of this flow, but at most the whole backlog of the
    // service at the full rate, because the flow also gets the capacity that other flows do not use.
    const double slots = std::max(parallelism, 1);
    return std::min(service.cost / slots, callerQueue.levels[level].cost / (slots * fraction));
}

AdmissionVerdict FairShareAdmission::enqueue(const AdmissionItem& item, int parallelism, TimePoint now)
{
    if (m_positions.contains(item.request))
        return { false, "the request is already queued", Seconds(1), {} };
    ServiceQueue& service = m_services[item.service];
    const FairOrder::Flow account = accountFlow(service, item.account);
    const int level = std::clamp(item.priority, 0, priorityLevels - 1);
    const FairOrder::Flow caller = callerFlow(service.accounts[account], item.caller);

    const double cost = std::max<double>(1, double(item.expectedServiceTime.count()));
    const double waitMs = expectedWaitMs(service, account, caller, level, parallelism);
    const Milliseconds wait { Milliseconds::rep(waitMs) };
    // Without a backlog the request is queued whatever the estimate: if the estimate alone could refuse it,
    // an estimate that is too high could never be corrected.
    if (service.count > 0 && now + wait + item.expectedServiceTime > item.deadline)
        return { false, "the queue is too long to serve the request before its deadline", wait, {} };

    AdmissionVerdict verdict { true, {}, {}, {} };
    if (m_positions.size() >= maxQueuedRequests
        || queuedOfAccount(item.account) >= maxQueuedRequestsPerAccount) {
        verdict.displaced = displaceRequest(service, account, caller, level);
        if (!verdict.displaced)
            return { false, "the queue is full", std::max(wait, Milliseconds(Seconds(1))), {} };
    }

    AccountQueue& accountQueue = service.accounts[account];
    CallerQueue& callerQueue = accountQueue.callers[caller];
    Level& levelQueue = callerQueue.levels[level];
    levelQueue.requests.push_back({ item.request, cost });
    levelQueue.cost += cost;
    ++callerQueue.count;
    ++accountQueue.levelCounts[level];
    ++accountQueue.count;
    ++service.count;
    ++m_queuedPerAccount[item.account];
    service.cost += cost;
    service.order.activate(account);
    accountQueue.order.activate(caller);
    callerQueue.order.activate(FairOrder::Flow(level));
    m_positions.emplace(item.request,
        QueuePosition { &service, account, caller, level, std::prev(levelQueue.requests.end()) });
    return verdict;
}

std::size_t FairShareAdmission::queuedOfAccount(const ClientAccountId& id) const
{
    const auto found = m_queuedPerAccount.find(id);
    return found == m_queuedPerAccount.end() ? 0 : found->second;
}

std::optional<RequestNumber> FairShareAdmission::displaceRequest(
    ServiceQueue& service, FairOrder::Flow account, FairOrder::Flow caller, int level)
{
    const auto requestsPerWeight = [&](FairOrder::Flow flow) {
        return double(service.accounts[flow].count) / service.order.weight(flow);
    };
    FairOrder::Flow displacedAccount = account;
    if (queuedOfAccount(service.accounts[account].id) < maxQueuedRequestsPerAccount) {
        for (FairOrder::Flow flow = 0; flow < service.accounts.size(); ++flow) {
            if (requestsPerWeight(flow) > requestsPerWeight(displacedAccount))
                displacedAccount = flow;
        }
    }
    AccountQueue& accountQueue = service.accounts[displacedAccount];
    for (int lowest = 0; lowest < priorityLevels; ++lowest) {
        if (accountQueue.levelCounts[lowest] == 0)
            continue;
        if (displacedAccount == account && lowest > level)
            return {};
        const auto sizeOf = [&](const CallerQueue& queue) { return queue.levels[lowest].requests.size(); };
        const auto longest = std::ranges::max_element(accountQueue.callers, {}, sizeOf);
        const bool isOwnLevel = displacedAccount == account && lowest == level;
        if (isOwnLevel && sizeOf(*longest) <= sizeOf(accountQueue.callers[caller]) + 1)
            return {};
        const RequestNumber displaced = longest->levels[lowest].requests.back().request;
        remove(displaced);
        return displaced;
    }
    return {};
}

FairShareAdmission::QueuePosition FairShareAdmission::head(const ServiceQueue& service)
{
    QueuePosition queuePosition;
    queuePosition.account = service.order.next();
    const AccountQueue& account = service.accounts[queuePosition.account];
    queuePosition.caller = account.order.next();
    queuePosition.level = int(account.callers[queuePosition.caller].order.next());
    return queuePosition;
}

std::optional<RequestNumber> FairShareAdmission::peek(const ServiceId& id) const
{
    const auto found = m_services.find(id);
    if (found == m_services.end() || found->second.count == 0)
        return {};
    const QueuePosition queuePosition = head(found->second);
    return found->second.accounts[queuePosition.account]
        .callers[queuePosition.caller]
        .levels[queuePosition.level]
        .requests.front()
        .request;
}

void FairShareAdmission::pop(const ServiceId& id)
{
    const std::optional<RequestNumber> request = peek(id);
    if (!request)
        return;
    const QueuePosition queuePosition = m_positions.at(*request);
    const double cost = queuePosition.position->cost;
    AccountQueue& account = queuePosition.service->accounts[queuePosition.account];
    queuePosition.service->order.charge(queuePosition.account, cost);
    account.order.charge(queuePosition.caller, cost);
    account.callers[queuePosition.caller].order.charge(FairOrder::Flow(queuePosition.level), cost);
    erase(queuePosition);
    m_positions.erase(*request);
}

void FairShareAdmission::remove(RequestNumber request)
{
    const auto found = m_positions.find(request);
    if (found == m_positions.end())
        return;
    erase(found->second);
    m_positions.erase(found);
}

void FairShareAdmission::erase(const QueuePosition& queuePosition)
{
    ServiceQueue& service = *queuePosition.service;
    AccountQueue& account = service.accounts[queuePosition.account];
    CallerQueue& caller = account.callers[queuePosition.caller];
    Level& level = caller.levels[queuePosition.level];
    level.cost -= queuePosition.position->cost;
    service.cost -= queuePosition.position->cost;
    level.requests.erase(queuePosition.position);
    --m_queuedPerAccount[account.id];
    --account.levelCounts[queuePosition.level];
    if (level.requests.empty()) {
        level.cost = 0; // clears rounding errors
        caller.order.deactivate(FairOrder::Flow(queuePosition.level));
    }
    if (--caller.count == 0)
        account.order.deactivate(queuePosition.caller);
    if (--account.count == 0)
        service.order.deactivate(queuePosition.account);
    if (--service.count == 0)
        service.cost = 0;
}

std::size_t FairShareAdmission::queued(const ServiceId& id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? 0 : found->second.count;
}

} // namespace anvilmoor
