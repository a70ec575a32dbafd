#pragma once

#include "model/endpoint_model.h"
#include "model/table_store.h"
#include "model/worker_model.h"
#include "reducer/reducer.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace anvilmoor::test {

// The direction of a message in a request-reply exchange.
enum class Leg { Outgoing, Reply };

// A message in the in-memory channel: an effect that a daemon sends, or the reply to that effect.
struct ChannelMessage {
    Leg leg = Leg::Outgoing;
    HostId host; // the daemon that sent the effect
    const Effect* effect = nullptr;
};

// The channel's action on a message.
enum class ChannelAction { Deliver, Drop, Duplicate, Delay };

// State of the table or the object store.
enum class ServiceMode { Up, Down, Slow, LosesReplies };

struct TestClusterOptions {
    std::uint64_t seed = 1;
    int hostsPerZone = 2;
    std::string document; // configuration in force at the start; empty: two zones, see testDocument()
    std::function<ReducerPolicies()> policies = defaultPolicies;
    SecondOfWeek localTimeAtStart = 20 * 60 * 60; // Monday 20:00: no lessons
};

// Guaranteed upper bounds; see sections 1.1 and 5.6 of docs/design.md.
constexpr Milliseconds maxClaimTime { 1'600 };
constexpr Milliseconds maxChangeTime { 3'000 }; // until a configuration or a drain is in force at all daemons

// A caller's request and the answers to it.
struct CallerRecord {
    HostId host;
    RequestIdentity identity;
    std::string operation;
    std::string body;
    std::vector<RequestAnswer> answers; // more than one is a violation
    bool isLost = false; // its daemon died before it answered
};

struct OperatorRecord {
    HostId host;
    std::vector<std::variant<Refusal, JobsAnswer, ConfigurationAnswer, SiteAnswer, DrainAnswer>> answers;
    bool isLost = false;
};

// Several reducers, one table, and the workers and endpoints of all zones, connected by an in-memory channel
// that runs in virtual time. Tests inject faults through the public members below, or for each message
// through `onChannelMessage`.
class TestCluster {
public:
    explicit TestCluster(TestClusterOptions);
    ~TestCluster();

    TimePoint now() const { return m_now; }
    void runFor(Milliseconds);
    // Runs the action after the delay.
    void schedule(Milliseconds delay, std::function<void()>);
    // Runs until the predicate holds or the time limit is reached; returns whether the predicate holds.
    bool runUntil(const std::function<bool()>&, Milliseconds limit);

    // --- daemons
    const std::vector<HostId>& hosts() const { return m_hostIds; }
    std::vector<HostId> hostsOf(const std::string& zone) const;
    bool isAlive(const HostId&) const;
    Reducer& reducer(const HostId&);
    // The daemon that holds the zone's role at this time; empty if none does.
    std::optional<HostId> holderOf(const std::string& zone);
    void kill(const HostId&);
    void start(const HostId&);
    void pause(const HostId&);
    void resume(const HostId&);
    void shutDown(const HostId&);
    bool hasStopped(const HostId&) const;

    // --- callers
    // `isAlone`: the caller sends no other copy until this one is answered. Only such a copy may be marked as
    // the first copy, because a daemon that cannot read records cannot detect copies in flight at other
    // daemons.
    CallerHandle request(const HostId&, const std::string& account, const std::string& key,
        const std::string& operation, const std::string& body = "input",
        Milliseconds deadline = Milliseconds(5'000), bool isAlone = true);
    const CallerRecord& caller(CallerHandle) const;
    CallerHandle submitJob(const HostId&, JobSpecification);
    CallerHandle cancelJob(const HostId&, const JobId&);
    CallerHandle queryJob(const HostId&, const JobId&);
    CallerHandle submitConfiguration(const HostId&, std::string document, ConfigurationVersion expected);
    CallerHandle drain(const HostId&, const EndpointId&);
    const OperatorRecord& operatorCall(CallerHandle) const;
    // Callers and operators without an answer whose daemon has not died since the call.
    std::vector<CallerHandle> unansweredCallers() const;
    // The job of an answered submission; empty if refused or unanswered.
    std::optional<JobStatus> jobOf(CallerHandle) const;
    // The job's row in the table; empty if there is none.
    std::optional<std::string> jobRow(const JobId&) const;

    // --- faults
    ServiceMode tableMode = ServiceMode::Up;
    ServiceMode objectMode = ServiceMode::Up;
    bool isHostListFrozen = false;
    std::set<std::string> zonesCutFromPlatform;
    std::set<std::string> zonesCutFromPeers; // such a zone's daemons reach only daemons, workers
                                             // and endpoints of their own zone
    std::set<std::pair<HostId, HostId>> silentPeers; // messages from first to second are dropped
    std::set<WorkerId> silentWorkers; // execute calls and commands but never reply
    std::function<ChannelAction(const ChannelMessage&)> onChannelMessage;
    Milliseconds messageDelay { 3'000 };
    Milliseconds duplicateDelay { 20 };
    // Simulate a naive daemon or service: they change an effect before it is executed, change a reply, or
    // supply the reply in place of the service.
    std::function<void(Effect&)> rewriteEffect;
    std::function<void(const Effect&, EventPayload&)> rewriteReply;
    std::function<std::optional<EventPayload>(const Effect&)> substituteReply;
    // A fault may last until this time: the bounds on claims and changes count from it at the earliest.
    TimePoint claimsExcusedUntil {};
    TimePoint changesExcusedUntil {};

    standin::WorkerModel& worker(const WorkerId&);
    void restartWorker(const WorkerId&);
    std::vector<WorkerId> workersOf(const std::string& zone) const;
    standin::EndpointModel& endpoint(const EndpointId&);
    void setHostState(const WorkerId&, std::optional<HostState>); // empty: not in the host list
    standin::TableStore& table() { return m_table; }

    Milliseconds serviceTime { 50 };

    // --- checks of the invariants, during the run. Each violation is a sentence.
    const std::vector<std::string>& violations() const { return m_violations; }
    // The longest time that any gang has run with members missing.
    Milliseconds maxPartialRun() const { return m_maxPartialRun; }
    // True if a worker has accepted a run command for any attempt of the job.
    bool hasRun(const JobId&) const;
    // Tasks on all live workers.
    std::vector<std::pair<WorkerId, TaskReport>> heldTasks() const;
    // Time at which the last call reached the endpoint.
    TimePoint lastCallOf(const EndpointId&) const;
    std::vector<std::string> recentEvents(std::size_t count) const;
    std::size_t countEvents(const std::string& name) const;

private:
    struct Host;
    struct Rack;

    void buildZones();
    void deliver(const HostId&, std::uint64_t incarnation, EventPayload);
    void apply(Host&, EventPayload);
    void execute(Host&, Effect);
    void sendThroughChannel(Host&, const Effect&, std::function<void()> arrive);
    void reply(const HostId&, std::uint64_t incarnation, const Effect&, EventPayload);
    // Delivers the failure event that the adapter raises if no reply arrives within its time-out. Does
    // nothing if the time-out is not below the limit.
    void timeOut(const HostId&, std::uint64_t incarnation, const Effect&, Milliseconds limit);
    bool notifyHook(Host&, const Effect&);

    void executeTable(Host&, const Effect&, const OperationId&, std::function<TableReply()>, bool isWrite);
    void executeObject(Host&, const Effect&, const OperationId&);
    void executeCall(Host&, const Effect&, const CallEndpoint&);
    void executeSync(Host&, const Effect&, const SyncRack&);
    void answerSync(const HostId&, std::uint64_t incarnation, const Effect&, TimePoint deadline);
    void executeCommand(Host&, const Effect&, const SendWorkerCommand&);
    void executePeer(Host&, const HostId& to, const PeerMessage&);
    void sendHostLists();
    void tick(const HostId&, std::uint64_t incarnation);

    template <typename Call> CallerHandle callOperator(const HostId&, Call);
    SecondOfWeek localTime() const;
    bool reachesPlatform(const Host&) const;
    bool reachesZone(const Host&, const std::string& zone) const;
    Milliseconds latency(const Host&, const std::string& zone);
    void check();
    void checkGangs();
    int lostByWorkers(const std::pair<JobId, AttemptNumber>&) const;
    void onCommand(const SendWorkerCommand&, WorkerCommandResult);
    void checkStart(const std::pair<JobId, AttemptNumber>&);
    void checkConfiguration(Host&);
    void checkNoise();
    void checkClaims();
    void checkChanges();
    void checkCall(const EndpointId&);
    void onOperatorAnswer(const AnswerOperator&);
    void onExecution(const RequestIdentity&);
    void onAnswer(CallerHandle, const RequestAnswer&);
    void violation(std::string);

    TestClusterOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now {};
    std::uint64_t m_lastSequence = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_queue;

    Configuration m_configuration;
    standin::TableStore m_table;
    std::map<std::string, std::string> m_objects;
    std::map<WorkerId, std::unique_ptr<standin::WorkerModel>> m_workers;
    std::map<WorkerId, std::string> m_workerZones;
    std::map<RackId, std::unique_ptr<Rack>> m_racks;
    std::map<EndpointId, std::unique_ptr<standin::EndpointModel>> m_endpoints;
    std::map<EndpointId, TimePoint> m_lastCalls;
    std::map<WorkerId, std::optional<HostState>> m_hostStates;
    std::vector<HostListEntry> m_frozenHostList;

    std::vector<HostId> m_hostIds;
    std::map<HostId, std::unique_ptr<Host>> m_hosts;
    std::map<HostId, ConfigurationVersion> m_highestConfiguration; // over all incarnations of a host

    CallerHandle m_lastCaller = 0;
    std::map<CallerHandle, CallerRecord> m_callers;
    std::map<CallerHandle, OperatorRecord> m_operatorCalls;
    std::map<RequestIdentity, int> m_executions; // of non-idempotent requests

    std::map<RequestIdentity, std::string> m_doneAnswers;
    std::map<RequestIdentity, std::string> m_reportedFailures; // error texts of endpoints

    std::map<JobId, int> m_jobSizes; // accelerators of each accepted job
    std::map<JobId, TimePoint> m_pendingClaims; // accepted but not yet running -> time of acceptance
    std::map<ConfigurationVersion, TimePoint> m_acceptedConfigurations;
    std::map<CallerHandle, EndpointId> m_drainCalls;
    std::map<EndpointId, TimePoint> m_drainTimes; // time of the answer to the drain
    std::map<std::pair<JobId, AttemptNumber>, TimePoint> m_partialSince;
    std::set<std::pair<JobId, AttemptNumber>> m_started;
    // A member that a worker has confirmed, and the number of restarts of the worker by then.
    struct Confirmation {
        int accelerators = 0;
        int restarts = 0;
    };
    std::map<std::pair<JobId, AttemptNumber>, std::map<WorkerId, Confirmation>> m_confirmedMembers;
    std::map<std::pair<JobId, AttemptNumber>, std::map<WorkerId, TimePoint>>
        m_stoppedMembers; // time of stop or release
    std::map<WorkerId, int> m_restarts;
    TimePoint m_nextCheck {};
    Milliseconds m_maxPartialRun { 0 };
    std::vector<std::string> m_violations;
    std::deque<std::string> m_events;
    std::map<std::string, std::size_t> m_eventCounts;
};

} // namespace anvilmoor::test
