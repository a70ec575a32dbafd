#include "admission/fair_share_admission.h"
#include "admission/fifo_admission.h"
#include "admission/retry_budget.h"
#include "admission/service_times.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace anvilmoor {

class AdmissionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdmissionTest);
    CPPUNIT_TEST(testFloodOfOneAccountLeavesOthersTheirShare);
    CPPUNIT_TEST(testFloodOfOneCallerLeavesOthersTheirShare);
    CPPUNIT_TEST(testFloodOfOneCallerInEveryPriorityLeavesOthersTheirShare);
    CPPUNIT_TEST(testFloodOfUrgentRequestsDoesNotStarveOthers);
    CPPUNIT_TEST(testIdleSharesAreUsedByOthers);
    CPPUNIT_TEST(testRequestThatWouldMissDeadlineIsRefused);
    CPPUNIT_TEST(testExpectedWaitOfSmallAccountDependsOnItsOwnShare);
    CPPUNIT_TEST(testRequestWithoutBacklogIsQueuedDespiteHighEstimate);
    CPPUNIT_TEST(testFullQueueDisplacesRequestOfLargeAccount);
    CPPUNIT_TEST(testFullQueueOfOneAccountDisplacesItsLeastUrgentRequest);
    CPPUNIT_TEST(testCallersAboveLimitShareQueues);
    CPPUNIT_TEST(testRetryBudgetAllowsOneRetryPerTenRequests);
    CPPUNIT_TEST_SUITE_END();

    const ServiceId m_service { "intake" };
    const TimePoint m_now { Seconds(10) };
    RequestNumber m_lastRequest = 0;
    std::map<RequestNumber, AdmissionItem> m_items;

    AdmissionVerdict enqueue(AdmissionPolicy& admission, const char* account, std::string caller,
        int priority = 0, Milliseconds timeToDeadline = Seconds(100'000))
    {
        const AdmissionItem item { ++m_lastRequest, m_service, ClientAccountId(account), std::move(caller),
            priority, m_now + timeToDeadline, Milliseconds(20) };
        m_items[item.request] = item;
        return admission.enqueue(item, 4, m_now);
    }

    // Serves the next `count` requests and returns how many of them match.
    int served(
        AdmissionPolicy& admission, int count, const std::function<bool(const AdmissionItem&)>& matches)
    {
        int matching = 0;
        for (int index = 0; index < count; ++index) {
            const std::optional<RequestNumber> request = admission.peek(m_service);
            CPPUNIT_ASSERT(request);
            admission.pop(m_service);
            if (matches(m_items.at(*request)))
                ++matching;
        }
        return matching;
    }

    static Configuration twoAccounts()
    {
        Configuration configuration;
        configuration.accounts.resize(2);
        configuration.accounts[0].id = ClientAccountId("large");
        configuration.accounts[0].share = 3;
        configuration.accounts[1].id = ClientAccountId("small");
        configuration.accounts[1].share = 1;
        return configuration;
    }

public:
    // Guards against an account that starves another one by filling the queue first, as in FIFO order.
    void testFloodOfOneAccountLeavesOthersTheirShare()
    {
        FairShareAdmission admission;
        FifoAdmission fifo;
        admission.configure(twoAccounts());
        for (int index = 0; index < 1'000; ++index)
            enqueue(admission, "large", "a");
        for (int index = 0; index < 100; ++index)
            enqueue(admission, "small", "b");
        const auto isSmall = [](const AdmissionItem& item) { return item.account.value() == "small"; };
        CPPUNIT_ASSERT_EQUAL(50, served(admission, 200, isSmall)); // shares are 3 to 1
        for (const auto& [number, item] : m_items)
            fifo.enqueue(item, 4, m_now);
        CPPUNIT_ASSERT_EQUAL(0, served(fifo, 200, isSmall)); // FIFO order starves the small account
    }

    // Guards against a caller that starves the other callers of its account by filling the queue first.
    void testFloodOfOneCallerLeavesOthersTheirShare()
    {
        FairShareAdmission admission;
        for (int index = 0; index < 1'000; ++index)
            enqueue(admission, "large", "greedy");
        for (int caller = 0; caller < 9; ++caller) {
            for (int index = 0; index < 5; ++index)
                enqueue(admission, "large", std::to_string(caller));
        }
        CPPUNIT_ASSERT_EQUAL(
            45, served(admission, 52, [](const AdmissionItem& item) { return item.caller != "greedy"; }));
    }

    // Guards against a large caller with requests of several priorities that leaves small callers with less
    // urgent requests only the fraction of their priority.
    void testFloodOfOneCallerInEveryPriorityLeavesOthersTheirShare()
    {
        FairShareAdmission admission;
        for (int index = 0; index < 500; ++index) {
            for (const int priority : { 1, 5, 6, 7 })
                enqueue(admission, "large", "greedy", priority);
        }
        for (int caller = 0; caller < 9; ++caller) {
            for (int index = 0; index < 5; ++index)
                enqueue(admission, "large", std::to_string(caller), 1);
        }
        CPPUNIT_ASSERT_EQUAL(
            45, served(admission, 52, [](const AdmissionItem& item) { return item.caller != "greedy"; }));
    }

    // Guards against strict priorities, by which a flood of urgent requests starves the others.
    void testFloodOfUrgentRequestsDoesNotStarveOthers()
    {
        FairShareAdmission admission;
        for (int index = 0; index < 1'000; ++index) {
            enqueue(admission, "large", "a", 0);
            enqueue(admission, "large", "a", 9);
        }
        const auto isUrgent = [](const AdmissionItem& item) { return item.priority == 9; };
        const int urgent = served(admission, 220, isUrgent);
        CPPUNIT_ASSERT(urgent >= 199 && urgent <= 201);
        // Urgent requests that arrive after many less urgent ones are not served after all of these.
        FairShareAdmission other;
        for (int index = 0; index < 1'000; ++index)
            enqueue(other, "large", "a", 0);
        served(other, 100, isUrgent);
        for (int index = 0; index < 10; ++index)
            enqueue(other, "large", "a", 9);
        CPPUNIT_ASSERT_EQUAL(10, served(other, 12, isUrgent));
    }

    // Guards against capacity that stays unused, or is charged later, because the account it belongs to is
    // idle.
    void testIdleSharesAreUsedByOthers()
    {
        FairShareAdmission admission;
        admission.configure(twoAccounts());
        for (int index = 0; index < 50; ++index)
            enqueue(admission, "small", "b");
        CPPUNIT_ASSERT_EQUAL(50, served(admission, 50, [](const AdmissionItem&) { return true; }));
        CPPUNIT_ASSERT(!admission.peek(m_service));
        // The account is not penalized for capacity that it used while the other account was idle.
        for (int index = 0; index < 50; ++index) {
            enqueue(admission, "large", "a");
            enqueue(admission, "small", "b");
        }
        const int small = served(
            admission, 40, [](const AdmissionItem& item) { return item.account.value() == "small"; });
        CPPUNIT_ASSERT(small >= 9 && small <= 11);
    }

    // Guards against requests that are queued although their deadline passes before they are served.
    void testRequestThatWouldMissDeadlineIsRefused()
    {
        FairShareAdmission admission;
        for (int index = 0; index < 400; ++index) // 400 * 20 ms / 4 in parallel: 2 s
            enqueue(admission, "large", "a");
        const AdmissionVerdict refused = enqueue(admission, "large", "a", 0, Seconds(1));
        CPPUNIT_ASSERT(!refused.isQueued);
        CPPUNIT_ASSERT(refused.retryAfter >= Seconds(1));
        CPPUNIT_ASSERT(enqueue(admission, "large", "a", 0, Seconds(3)).isQueued);
    }

    // Guards against refusals to a small account because of another account's backlog.
    void testExpectedWaitOfSmallAccountDependsOnItsOwnShare()
    {
        FairShareAdmission admission;
        for (int index = 0; index < 4'000; ++index)
            enqueue(admission, "large", "a");
        CPPUNIT_ASSERT(enqueue(admission, "small", "b", 0, Seconds(1)).isQueued);
    }

    // Guards against a service whose requests are all refused after one slow call, because without another
    // call the estimate cannot be corrected.
    void testRequestWithoutBacklogIsQueuedDespiteHighEstimate()
    {
        FairShareAdmission admission;
        const AdmissionItem item { 1, m_service, ClientAccountId("small"), "b", 0, m_now + Seconds(1),
            Seconds(10) };
        CPPUNIT_ASSERT(admission.enqueue(item, 0, m_now).isQueued);
        ServiceTimes times;
        times.add(m_service, "tare-check", Seconds(100));
        CPPUNIT_ASSERT(times.expected(m_service, "tare-check") < Milliseconds(100));
    }

    // Guards against refusals to a small account because large accounts have filled all queues.
    void testFullQueueDisplacesRequestOfLargeAccount()
    {
        FairShareAdmission admission;
        for (const char* account : { "large", "other" }) {
            while (enqueue(admission, account, "a").isQueued) { }
        }
        CPPUNIT_ASSERT_EQUAL(maxQueuedRequests, admission.queued());
        const AdmissionVerdict verdict = enqueue(admission, "small", "b");
        CPPUNIT_ASSERT(verdict.isQueued);
        CPPUNIT_ASSERT(verdict.displaced);
        CPPUNIT_ASSERT(m_items.at(*verdict.displaced).caller == "a");
        CPPUNIT_ASSERT_EQUAL(maxQueuedRequests, admission.queued());
        FifoAdmission fifo;
        while (enqueue(fifo, "large", "a").isQueued) { }
        CPPUNIT_ASSERT_EQUAL(maxQueuedRequests, fifo.queued());
    }

    // Guards against an urgent request that is refused while less urgent requests of its account are queued.
    void testFullQueueOfOneAccountDisplacesItsLeastUrgentRequest()
    {
        FairShareAdmission admission;
        for (int index = 0; index < 3; ++index)
            enqueue(admission, "large", "few", 1);
        while (admission.queued() < maxQueuedRequestsPerAccount)
            enqueue(admission, "large", "many", 5);
        for (int index = 0; index < 3; ++index) {
            const AdmissionVerdict verdict = enqueue(admission, "large", "new", 5);
            CPPUNIT_ASSERT(verdict.isQueued && verdict.displaced);
            const AdmissionItem& displaced = m_items.at(*verdict.displaced);
            CPPUNIT_ASSERT(displaced.caller == "few" && displaced.priority == 1);
        }
        const AdmissionVerdict verdict = enqueue(admission, "large", "new", 5);
        CPPUNIT_ASSERT(verdict.isQueued && m_items.at(verdict.displaced.value()).caller == "many");
        CPPUNIT_ASSERT(!enqueue(admission, "large", "new", 1).isQueued);
    }

    // Guards against lost requests when an account has more callers than queues and callers share them.
    void testCallersAboveLimitShareQueues()
    {
        FairShareAdmission admission;
        for (int index = 0; index < 5'000; ++index)
            enqueue(admission, "large", "caller" + std::to_string(index));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5'000), admission.queued());
        for (RequestNumber request = 1; request <= 2'500; ++request)
            admission.remove(request * 2);
        served(admission, 2'500, [](const AdmissionItem&) { return true; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), admission.queued());
    }

    // Guards against retries that multiply the load of an overloaded service.
    void testRetryBudgetAllowsOneRetryPerTenRequests()
    {
        RetryBudget budget;
        while (budget.takeRetry()) { }
        int retries = 0;
        for (int index = 0; index < 1'005; ++index) {
            budget.onRequest();
            retries += budget.takeRetry() ? 1 : 0;
        }
        CPPUNIT_ASSERT(retries >= 99 && retries <= 100);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

} // namespace anvilmoor
