#pragma once

#include "admission/admission_policy.h"
#include "admission/fair_order.h"

#include <array>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <unordered_map>

namespace anvilmoor {

// Divides each service among the accounts by their configured shares, within an account equally among the
// callers, and within a caller among the priorities by weight 1 + priority. A caller's most urgent operations
// thus get at most ten times the service of its least urgent ones and cannot starve them.
// Callers are ranked above priorities: otherwise a large caller with requests of every priority would leave
// to the lowest priority, and to the small callers in it, only the fraction of that priority.
// When all queues together are full, a request of the account with the most requests relative to its share is
// displaced; when the queue of an account is full, one of its own. It is the newest request of the caller
// with the most requests in the lowest priority that the account has queued.
class FairShareAdmission : public AdmissionPolicy {
public:
    void configure(const Configuration&) override;
    AdmissionVerdict enqueue(const AdmissionItem&, int parallelism, TimePoint now) override;
    std::optional<RequestNumber> peek(const ServiceId&) const override;
    void pop(const ServiceId&) override;
    void remove(RequestNumber) override;
    std::size_t queued() const override { return m_positions.size(); }
    std::size_t queued(const ServiceId&) const override;

private:
    static constexpr int priorityLevels = 10;

    struct QueuedRequest {
        RequestNumber request = 0;
        double cost = 0; // ms
    };

    struct Level {
        std::list<QueuedRequest> requests; // in order of arrival
        double cost = 0;
    };

    struct CallerQueue {
        std::string name;
        FairOrder order; // of priorities
        std::array<Level, priorityLevels> levels;
        std::size_t count = 0;
    };

    struct AccountQueue {
        ClientAccountId id;
        FairOrder order; // of callers
        std::deque<CallerQueue> callers;
        std::unordered_map<std::string, FairOrder::Flow> callerFlows;
        std::array<std::size_t, priorityLevels> levelCounts {}; // of all callers
        std::size_t count = 0;
    };

    struct ServiceQueue {
        FairOrder order; // of accounts
        std::deque<AccountQueue> accounts;
        std::unordered_map<ClientAccountId, FairOrder::Flow> accountFlows;
        std::size_t count = 0;
        double cost = 0;
    };

    struct QueuePosition {
        ServiceQueue* service = nullptr;
        FairOrder::Flow account = 0;
        FairOrder::Flow caller = 0;
        int level = 0;
        std::list<QueuedRequest>::iterator position;
    };

    FairOrder::Flow accountFlow(ServiceQueue&, const ClientAccountId&);
    static FairOrder::Flow callerFlow(AccountQueue&, const std::string& caller);
    static QueuePosition head(const ServiceQueue&);
    static double expectedWaitMs(
        const ServiceQueue&, FairOrder::Flow account, FairOrder::Flow caller, int level, int parallelism);
    std::optional<RequestNumber> displaceRequest(
        ServiceQueue&, FairOrder::Flow account, FairOrder::Flow caller, int level);
    std::size_t queuedOfAccount(const ClientAccountId&) const;
    void erase(const QueuePosition&);

    std::map<ServiceId, ServiceQueue> m_services;
    std::map<ClientAccountId, double> m_shares;
    std::map<ClientAccountId, std::size_t> m_queuedPerAccount; // over all services
    std::unordered_map<RequestNumber, QueuePosition> m_positions;
};

} // namespace anvilmoor
