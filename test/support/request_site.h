#pragma once

#include "admission/fair_share_admission.h"
#include "core/step.h"
#include "core/views.h"
#include "membership/membership.h"
#include "model/endpoint_model.h"
#include "model/table_store.h"
#include "requests/request_broker.h"
#include "requests/request_record.h"
#include "routing/zone_aware_routing.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace anvilmoor::testing {

class FixedConfiguration : public ConfigurationView {
public:
    const Configuration* current() const override { return &configuration; }
    Configuration configuration;
};

// Zones of one rack each, the service "intake" with an idempotent and a non-idempotent operation, and
// the accounts "large" (share 1) and "small" (share 1).
inline Configuration requestConfiguration(const std::vector<std::string>& zones, int workersPerZone)
{
    Configuration configuration;
    configuration.version = 1;
    for (const std::string& name : zones) {
        AvailabilityZoneConfiguration zone;
        zone.id = AvailabilityZoneId(name);
        RackConfiguration rack;
        rack.id = RackId(name + "-rack");
        for (int worker = 0; worker < workersPerZone; ++worker) {
            rack.workers.emplace_back();
            rack.workers.back().id = WorkerId(name + "-" + std::to_string(worker));
        }
        zone.racks.push_back(std::move(rack));
        configuration.zones.push_back(std::move(zone));
    }
    ServiceConfiguration service;
    service.id = ServiceId("intake");
    service.operations.push_back({ "sugar-test", true, 0, Milliseconds(2'000) });
    service.operations.push_back({ "tare-check", false, 5, Milliseconds(2'000) });
    configuration.services.push_back(std::move(service));
    for (const char* account : { "large", "small" }) {
        configuration.accounts.emplace_back();
        configuration.accounts.back().id = ClientAccountId(account);
    }
    return configuration;
}

// Unavailable: reported as such, no effect. LostRequest: no effect and a reply "unknown". LostReply: takes
// effect, but the reply is "unknown". LateEffect: takes effect 60 ms after a reply "unknown".
// Unavailable and LostReply make a read fail as unavailable; the others do not affect it.
enum class TableFault { None, Unavailable, LostRequest, LostReply, LateEffect };
// Down: every operation fails. Lost: no effect and no reply. LostReply: a put takes effect but is reported as
// failed; other operations fail. Truncated: a read returns only the first half of the object.
enum class ObjectFault { None, Down, Lost, LostReply, Truncated };
// NotSent: fails before it is sent. Refuse: refused before execution. LostBefore: lost without an execution.
// LostAfter: executed, but the answer is lost. Error: executed with an error. LateAnswer: answered 200 ms
// before the timeout of the call. Repeat: answered twice. Foreign: the answer names another request.
enum class CallFault { None, NotSent, Refuse, LostBefore, LostAfter, Error, LateAnswer, Repeat, Foreign };

// Several entry daemons over one table and one set of endpoints, in virtual time.
class RequestSite {
public:
    struct Daemon {
        DaemonSettings settings;
        std::unique_ptr<Membership> membership;
        std::unique_ptr<FairShareAdmission> admission;
        std::unique_ptr<ZoneAwareRouting> routing;
        std::unique_ptr<PeerDirectory> peers;
        std::unique_ptr<RequestBroker> broker;
        bool isAlive = false;
        std::uint64_t incarnation = 0;
    };

    struct Submission {
        std::size_t daemon = 0;
        std::uint64_t incarnation = 0;
        RequestIdentity identity;
        std::string operation;
        std::string body;
        TimePoint answerBy {};
        TimePoint answeredAt {};
        std::vector<RequestAnswer> answers;
    };

    explicit RequestSite(std::size_t daemons, int workers = 3)
    {
        m_configuration.configuration = requestConfiguration({ "thumb" }, workers);
        for (const WorkerConfiguration& worker : m_configuration.configuration.zones[0].racks[0].workers) {
            const EndpointId id = endpointId(ServiceId("intake"), worker.id);
            m_endpoints.emplace(id, standin::EndpointModel(id, 8));
        }
        m_daemons.resize(daemons);
        for (std::size_t index = 0; index < daemons; ++index)
            start(index);
    }

    void start(std::size_t index)
    {
        Daemon& daemon = m_daemons[index];
        daemon.broker.reset(); // before the objects that it refers to
        daemon.settings = { host(index), AvailabilityZoneId("thumb"), {}, ++m_lastIncarnation };
        daemon.incarnation = m_lastIncarnation;
        daemon.membership = std::make_unique<Membership>(daemon.settings, m_configuration);
        daemon.admission = std::make_unique<FairShareAdmission>();
        daemon.routing
            = std::make_unique<ZoneAwareRouting>(daemon.settings, m_configuration, *daemon.membership);
        daemon.peers = std::make_unique<Peers>(*this, index);
        daemon.broker = std::make_unique<RequestBroker>(daemon.settings, m_configuration, *daemon.membership,
            *daemon.membership, *daemon.peers, *daemon.admission, *daemon.routing);
        daemon.isAlive = true;
        deliver(index, [&](Step& step) { daemon.membership->onConfigurationAdopted(step); });
    }

    void kill(std::size_t index) { m_daemons[index].isAlive = false; }

    CallerHandle submit(std::size_t daemon, std::string key, std::string operation = "tare-check",
        std::string body = "load", Milliseconds deadline = Milliseconds(2'000))
    {
        const CallerHandle caller = ++m_lastCaller;
        RequestReceived event { caller, { ClientAccountId("small"), std::move(key) }, "scale-1",
            ServiceId("intake"), std::move(operation), m_wallTime, deadline, std::move(body) };
        event.isFirstCopy = std::none_of(submissions.begin(), submissions.end(),
            [&event](const auto& earlier) { return earlier.second.identity == event.identity; });
        submissions[caller] = { daemon, m_daemons[daemon].incarnation, event.identity, event.operation,
            event.body, now + deadline + tickInterval, {}, {} };
        deliver(daemon, [&](Step& step) { m_daemons[daemon].broker->handle(event, step); });
        return caller;
    }

    template <typename Event> void deliverToBroker(std::size_t index, const Event& event)
    {
        deliver(index, [&](Step& step) { m_daemons[index].broker->handle(event, step); });
    }

    void run(Milliseconds duration)
    {
        const TimePoint end = now + duration;
        while (now < end) {
            const TimePoint nextTick = now + tickInterval;
            while (!m_queue.empty() && m_queue.begin()->first <= std::min(nextTick, end)) {
                auto entry = m_queue.extract(m_queue.begin());
                now = std::max(now, entry.key());
                entry.mapped()();
            }
            now = std::min(nextTick, end);
            for (std::size_t index = 0; index < m_daemons.size(); ++index)
                deliverToBroker(index, Tick {});
        }
    }

    const RequestAnswer* answer(CallerHandle caller) const
    {
        const Submission& submission = submissions.at(caller);
        return submission.answers.empty() ? nullptr : &submission.answers.front();
    }

    int executions(const RequestIdentity& identity) const
    {
        int count = 0;
        for (const auto& [id, endpoint] : m_endpoints)
            count += endpoint.executions(identity);
        return count;
    }
    int executions(const std::string& key) const { return executions({ ClientAccountId("small"), key }); }

    static std::string expectedBody(const Submission& submission)
    {
        return standin::EndpointModel::answerTo(submission.identity, submission.operation, submission.body);
    }

    Daemon& daemon(std::size_t index) { return m_daemons[index]; }
    static HostId host(std::size_t index) { return HostId("entry-" + std::to_string(index)); }

    // Each operation takes its fault from the front of the queue, or from the function if the queue is empty.
    std::deque<TableFault> tableFaults;
    std::function<TableFault()> drawTableFault;
    std::set<std::size_t> daemonsWithoutTable; // indices of daemons
    std::deque<CallFault> callFaults;
    std::function<CallFault()> drawCallFault;
    std::function<bool()> isPeerMessageDropped;
    ObjectFault objectFault = ObjectFault::None;
    std::function<Milliseconds()> drawDelay;

    standin::TableStore store;
    std::map<std::string, std::string> objects;
    std::map<CallerHandle, Submission> submissions;
    std::vector<std::string> violations;
    std::vector<std::pair<std::size_t, CallEndpoint>> calls; // with the index of the calling daemon
    std::vector<std::size_t> transactionSizes;
    TimePoint now { Seconds(1'000) };

private:
    class Peers : public PeerDirectory {
    public:
        Peers(const RequestSite& site, std::size_t self)
            : m_site(site)
            , m_self(self)
        {
        }
        std::span<const PeerStatus> peers() const override
        {
            m_peers.clear();
            for (std::size_t index = 0; index < m_site.m_daemons.size(); ++index) {
                if (index != m_self)
                    m_peers.push_back({ host(index), {}, m_site.m_daemons[index].isAlive });
            }
            return m_peers;
        }

    private:
        const RequestSite& m_site;
        std::size_t m_self;
        mutable std::vector<PeerStatus> m_peers;
    };

    template <typename Function> void deliver(std::size_t index, Function function)
    {
        if (!m_daemons[index].isAlive)
            return;
        std::vector<Effect> effects;
        const Event event { now, m_wallTime + (now - TimePoint(Seconds(1'000))), 0, m_random(), Tick {} };
        Step step(event, effects);
        function(step);
        for (Effect& effect : effects)
            std::visit([&](auto& value) { execute(index, value); }, effect);
    }

    // Runs the function after the delay, unless the daemon's current incarnation has ended by then.
    void schedule(std::size_t index, Milliseconds delay, std::function<void()> function)
    {
        const std::uint64_t incarnation = m_daemons[index].incarnation;
        m_queue.emplace(now + delay, [this, index, incarnation, function = std::move(function)] {
            if (m_daemons[index].isAlive && m_daemons[index].incarnation == incarnation)
                function();
        });
    }

    template <typename Event> void reply(std::size_t index, Milliseconds delay, Event event)
    {
        schedule(index, delay, [this, index, event] { deliverToBroker(index, event); });
    }

    Milliseconds delay() { return drawDelay ? drawDelay() : Milliseconds(4); }

    template <typename Fault>
    static Fault nextFault(std::deque<Fault>& queue, const std::function<Fault()>& draw)
    {
        if (queue.empty())
            return draw ? draw() : Fault::None;
        const Fault fault = queue.front();
        queue.pop_front();
        return fault;
    }

    template <typename Ignored> void execute(std::size_t, const Ignored&) { }

    void execute(std::size_t, const AnswerRequest& effect)
    {
        Submission& submission = submissions.at(effect.caller);
        submission.answers.push_back(effect.answer);
        submission.answeredAt = now;
    }

    void execute(std::size_t index, const ExecuteTransaction& effect)
    {
        transactionSizes.push_back(effect.transaction.writes.size());
        const TableFault fault = daemonsWithoutTable.contains(index) ? TableFault::Unavailable
                                                                     : nextFault(tableFaults, drawTableFault);
        const Milliseconds transitDelay = delay();
        const auto lost = TableReplied { effect.operation, { TableStatus::Unknown, {} } };
        if (fault == TableFault::Unavailable) {
            reply(index, transitDelay, TableReplied { effect.operation, { TableStatus::Unavailable, {} } });
        } else if (fault == TableFault::LostRequest) {
            reply(index, transitDelay + Milliseconds(100), lost);
        } else if (fault == TableFault::LateEffect) {
            reply(index, transitDelay, lost);
            // Late enough for the daemon to attempt several operations before.
            m_queue.emplace(now + transitDelay + Milliseconds(60),
                [this, transaction = effect.transaction] { store.execute(transaction); });
        } else {
            m_queue.emplace(now + transitDelay, [this, index, effect, fault, lost] {
                const TableReplied done { effect.operation, store.execute(effect.transaction) };
                reply(index, delay(), fault == TableFault::LostReply ? lost : done);
            });
        }
    }

    void execute(std::size_t index, const ReadTable& effect)
    {
        const TableFault fault = daemonsWithoutTable.contains(index) ? TableFault::Unavailable
                                                                     : nextFault(tableFaults, drawTableFault);
        if (fault == TableFault::Unavailable || fault == TableFault::LostReply) {
            reply(index, delay(), TableReplied { effect.operation, { TableStatus::Unavailable, {} } });
            return;
        }
        m_queue.emplace(now + delay(), [this, index, effect] {
            reply(index, delay(), TableReplied { effect.operation, store.read(effect.read) });
        });
    }

    void execute(std::size_t index, const PutObject& effect)
    {
        if (objectFault == ObjectFault::Lost)
            return;
        const bool isStored = objectFault != ObjectFault::Down;
        if (isStored)
            objects[effect.key] = effect.value;
        const bool isOk = isStored && objectFault != ObjectFault::LostReply;
        reply(index, delay(), ObjectReplied { effect.operation, isOk, {} });
    }

    void execute(std::size_t index, const GetObject& effect)
    {
        if (objectFault == ObjectFault::Lost)
            return;
        const auto found = objects.find(effect.key);
        const bool isOk = found != objects.end()
            && (objectFault == ObjectFault::None || objectFault == ObjectFault::Truncated);
        std::string value = isOk ? found->second : "";
        if (objectFault == ObjectFault::Truncated)
            value.resize(value.size() / 2);
        reply(index, delay(), ObjectReplied { effect.operation, isOk, std::move(value) });
    }

    void execute(std::size_t index, const DeleteObject& effect)
    {
        const bool isOk = objectFault == ObjectFault::None;
        if (isOk)
            objects.erase(effect.key);
        reply(index, delay(), ObjectReplied { effect.operation, isOk, {} });
    }

    void execute(std::size_t index, const SendToPeer& effect)
    {
        for (std::size_t to = 0; to < m_daemons.size(); ++to) {
            if (host(to) != effect.peer || (isPeerMessageDropped && isPeerMessageDropped()))
                continue;
            schedule(to, delay(), [this, to, from = host(index), message = effect.message] {
                deliver(to, [&](Step& step) {
                    if (const auto* lookup = std::get_if<RequestLookup>(&message))
                        m_daemons[to].broker->handle(*lookup, from, step);
                    if (const auto* answer = std::get_if<RequestLookupAnswer>(&message))
                        m_daemons[to].broker->handle(*answer, from, step);
                });
            });
        }
    }

    void execute(std::size_t index, const CallEndpoint& effect)
    {
        calls.emplace_back(index, effect);
        checkHasWaitingCaller(index, effect);
        checkClaim(index, effect);
        const CallFault fault = nextFault(callFaults, drawCallFault);
        const Milliseconds transitDelay = delay();
        if (fault == CallFault::NotSent) {
            reply(index, transitDelay, EndpointFailed { effect.call, EndpointFailure::NotSent, {} });
            return;
        }
        if (fault == CallFault::LostBefore) {
            reply(index, effect.timeout, EndpointFailed { effect.call, EndpointFailure::Lost, {} });
            return;
        }
        m_queue.emplace(now + transitDelay, [this, index, effect, fault] { serve(index, effect, fault); });
    }

    void serve(std::size_t index, const CallEndpoint& effect, CallFault fault)
    {
        if (fault == CallFault::Refuse) {
            reply(
                index, delay(), EndpointFailed { effect.call, EndpointFailure::RefusedBeforeExecution, {} });
            return;
        }
        const standin::EndpointReply done
            = m_endpoints.at(effect.endpoint).execute(effect.identity, effect.operation, effect.body);
        EndpointAnswered answered { effect.call, effect.identity, largeAnswer.value_or(done.body) };
        switch (fault) {
        case CallFault::LostAfter:
            reply(index, Milliseconds(50), EndpointFailed { effect.call, EndpointFailure::Lost, {} });
            break;
        case CallFault::Error:
            reply(index, delay(), EndpointFailed { effect.call, EndpointFailure::Error, "failed" });
            break;
        case CallFault::LateAnswer:
            reply(index, effect.timeout - Milliseconds(200), answered);
            break;
        case CallFault::Foreign:
            answered.identity.key += "-other";
            reply(index, delay(), answered);
            break;
        case CallFault::Repeat:
            reply(index, delay(), answered);
            reply(index, delay() + Milliseconds(30), answered);
            break;
        default:
            reply(index, delay(), answered);
        }
    }

    // A request must only be sent while one of its callers has no answer yet.
    void checkHasWaitingCaller(std::size_t index, const CallEndpoint& effect)
    {
        for (const auto& [caller, submission] : submissions) {
            if (submission.identity == effect.identity && submission.daemon == index
                && submission.incarnation == m_daemons[index].incarnation && submission.answers.empty())
                return;
        }
        violations.push_back(
            "the call for " + effect.identity.key + " was sent although all its callers have been answered");
    }

    // A non-idempotent request must only be sent by the daemon whose claim is in the table.
    void checkClaim(std::size_t index, const CallEndpoint& effect)
    {
        if (effect.operation != "tare-check")
            return;
        const auto row = store.rows().find(requestRecordKey(effect.identity));
        const std::optional<RequestRecord> record
            = row == store.rows().end() ? std::nullopt : parseRequestRecord(row->second.value);
        if (!record || record->state != RequestRecordState::Claimed || record->host != host(index)
            || record->incarnation != m_daemons[index].incarnation)
            violations.push_back("the call for " + effect.identity.key
                + " was sent without a claim of the daemon in the table");
    }

    FixedConfiguration m_configuration;
    std::vector<Daemon> m_daemons;
    std::map<EndpointId, standin::EndpointModel> m_endpoints;
    std::multimap<TimePoint, std::function<void()>> m_queue;
    std::mt19937_64 m_random { 42 };
    WallTime m_wallTime { Milliseconds(1'790'000'000'000) };
    CallerHandle m_lastCaller = 0;
    std::uint64_t m_lastIncarnation = 100;

public:
    std::optional<std::string> largeAnswer; // replaces the answer of every endpoint
};

} // namespace anvilmoor::testing
