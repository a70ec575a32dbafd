#pragma once

#include "batch/reducer/batch_reducer.h"
#include "support/fake_store.h"
#include "support/fake_worker.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

// Runs daemons, a store and workers in virtual time and injects faults on request. Checks at every start of a
// run and at every acknowledged end: a task never has two runs at once and none after it is done, no two runs
// of a task have the same number, a step never starts before the steps that it depends on, and a job that was
// refused never runs. Checks at every event of a daemon that it sends no order, and declares nothing ended,
// after its permission to act has ended. The fake workers let a gang work only while all of its members run.

namespace anvilmoor::testing {

using batch::AnswerKind;
using batch::JobState;

// Share of the calls that each disturbance hits, and the workers' registry as the platform's store keeps it.
struct PlatformDisturbances {
    double slowAnswerShare = 0; // executed at once or later, and answered up to the timeout of the call later
    double lostAnswerShare = 0; // executed, but the answer is lost
    double lateHoldShare = 0; // hold requests without an answer that are executed 2 to 12 s later
    double lateCommitShare = 0; // commits without an answer that are performed 1 to 6 s later
    double freezeShare = 0; // commits after which the daemon freezes, before it handles the answer
    double stepFreezeShare = 0; // events whose effects are carried out only after a freeze
};

// How a link between a daemon and a worker is cut.
enum class LinkCut {
    Silent,
    AnswersLost, // orders arrive, answers do not
    HeldBack, // orders are delivered once the link heals
};

class BatchCluster {
public:
    struct Answer {
        AnswerKind kind = AnswerKind::OutcomeUnknown;
        JobState state = JobState::Pending;
        std::uint64_t count = 0;
        TimePoint at {};
    };

    explicit BatchCluster(int daemons = 3, std::uint64_t seed = 1);

    TimePoint now() const { return m_now; }
    void run(Milliseconds);
    // Runs until the condition holds; returns false if it does not hold within the limit.
    bool runUntil(const std::function<bool()>&, Milliseconds limit);

    // Each worker has 8 accelerators, 128 cores and 256 GB. Indexes count rack by rack.
    void addWorkers(int racks, int perRack);
    FakeWorker& worker(std::size_t index) { return *m_workers[index]; }
    std::size_t workerCount() const { return m_workers.size(); }
    // Indexes of the workers that have a run of the job. Fails the test if there is none.
    std::vector<std::size_t> workersOf(const JobId&) const;
    // The first of them.
    FakeWorker& workerOf(const JobId& job) { return worker(workersOf(job).front()); }
    // From now on, runs of a gang that asks for one rack but is spread over several, and runs away from their
    // data, take this many times as long.
    void slowDownFarRuns(double factor);
    // The worker drains, and leaves as soon as it may. Answers that are still on their way are lost. Nothing
    // must be running there any more, and a task that was done there must not start again.
    void drainAndLeave(std::size_t worker, Milliseconds remaining);
    // Removes the worker's entry from the registry.
    void unlist(const WorkerId& id) { m_unlisted.insert(id); }
    // Puts it back.
    void list(const WorkerId& id) { m_unlisted.erase(id); }
    // Overwrites the worker's registry entry with one that cannot be decoded, or restores it.
    void setEntryReadable(const WorkerId& id, bool isReadable);

    void setConfiguration(batch::Configuration);
    static batch::Configuration defaultConfiguration();
    const batch::JobSpecification& specificationOf(const JobId& job) const { return m_jobs.at(job); }
    // `queue` names a queue of the default configuration: "urgent", "gang" or "small", with priority 0, 1
    // or 2.
    JobId submit(std::size_t daemon, const std::string& queue, std::vector<batch::StepSpecification>,
        const std::string& key = "key-a");
    JobId submitScheduled(std::size_t daemon, const std::string& queue, std::vector<batch::StepSpecification>,
        batch::Schedule, const std::string& key = "key-a");
    void submitAgain(
        std::size_t daemon, const std::string& queue, const JobId&, const std::string& key = "key-a");
    void cancel(std::size_t daemon, const std::string& queue, const JobId&);
    void query(std::size_t daemon, const std::string& queue, const JobId&);
    void count(std::size_t daemon, const std::string& queue);
    std::optional<Answer> answerTo(const JobId& job) const; // the latest answer
    std::optional<Answer> lastAnswer() const { return m_lastAnswer; }
    // Overwrites the stored progress of the job with bytes that cannot be decoded.
    void corruptProgress(const JobId&);
    // Overwrites the lease row with bytes that cannot be decoded.
    void corruptLease();
    // The state in the store; Pending without a row.
    JobState stateOf(const JobId&) const;
    FakeStore& store() { return m_store; }
    WallTime wallTime() const;
    void setDuration(const JobId& job, Milliseconds duration) { m_durations[job] = duration; }

    void kill(std::size_t daemon);
    void restart(std::size_t daemon);
    // Kills all daemons at once, and restarts them 300 ms later.
    void restartAllDaemons();
    void terminate(std::size_t daemon);
    bool isRunning(std::size_t daemon) const { return m_daemons[daemon].reducer != nullptr; }
    std::optional<std::size_t> leader() const;
    batch::BatchReducer& reducer(std::size_t daemon) { return *m_daemons[daemon].reducer; }

    batch::WorkerLeaseSettings workerLeases; // of daemons that are started from now on

    // Faults.
    std::set<std::size_t> cutFromStore; // daemons
    std::set<std::size_t> cutFromWorkers; // daemons
    std::set<std::size_t> cannotRead; // daemons whose large reads (ReadRows) fail
    bool isStoreDown = false;
    bool areJobsSilent = false; // leaders get no answer to their requests for changed job rows
    Milliseconds commitDelay { 0 }; // added to the time of each commit
    double lostCommitReplyShare = 0; // share of commits that are applied, but whose reply is lost
    double lateOrderShare = 0; // share of orders without an answer that are executed 2 to 12 s later
    Milliseconds registryDelay { 0 }; // added to the time until daemons see changes of the worker registry
    bool isRegistrySilent = false; // daemons get only the registry updates of updateRegistry()
    void updateRegistry(bool isComplete, std::vector<batch::WorkerRecord>, std::vector<WorkerId> removed,
        bool isAfterFailure = false);

    PlatformDisturbances disturbances;
    // Cuts the link between a daemon and a worker, or heals it.
    void cutLink(std::size_t daemon, std::size_t worker, LinkCut cut)
    {
        m_links[{ daemon, worker }].cut = cut;
    }
    void healLinks();
    // The daemon handles no event for this long. Events that arrive meanwhile are handled afterwards.
    void freeze(std::size_t daemon, Milliseconds duration);
    // From now on, daemons read the registry as versioned rows: workers renew their entries, which arrive
    // with a delay and expire after three missed renewals.
    void keepRegistryRows();
    // All daemons read the complete registry again, as after a loss of the store's history.
    void dropRegistryHistory();
    // Shuts the worker down at once and removes its registry entry.
    void removeWorker(std::size_t worker);

    // One sentence for each violated invariant.
    const std::vector<std::string>& violations() const { return m_violations; }
    int startsOf(const JobId& job) const;
    std::optional<TimePoint> firstStart(const JobId& job) const;
    const std::map<batch::TaskId, int>& doneRuns() const { return m_done; }

private:
    struct Daemon {
        std::unique_ptr<batch::BatchReducer> reducer;
        int lifetime = 0;
        batch::RowVersion leaseSeen = 0;
        batch::RowVersion jobsSeen = 0;
        bool isLeaseListed = false;
        bool isFollowing = false;
        bool areJobsListed = false;
        bool areWorkersListed = false;
        std::uint64_t registrySeen = 0;
        TimePoint frozenUntil {};
        TimePoint mayActUntil {}; // a lease duration after it sent its latest commit that the store applied
        int registryReads = 0; // increases whenever the daemon begins to follow the registry
        TimePoint registryAt {}; // when the latest registry update arrives; updates arrive in order
    };
    struct Link {
        std::optional<LinkCut> cut;
        std::vector<std::function<void()>> heldBack;
    };
    struct RegistryEntry {
        batch::WorkerRecord record;
        std::uint64_t version = 0;
        TimePoint renewedAt {};
        bool isListed = true;
    };
    // An order in transit. Exactly one answer reaches the daemon, at the latest when the order times out.
    struct Call {
        std::size_t daemon = 0;
        int lifetime = 0;
        batch::WorkerLifetime target;
        std::int64_t executedBy = 0; // start of the lifetime that carried out the order
        bool isLate = false;
        bool isAnswerLost = false;
        Milliseconds answerDelay { 0 };
        bool isAnswered = false;
    };

    void at(TimePoint, std::function<void()>);
    void deliver(std::size_t daemon, int lifetime, Milliseconds delay, batch::EventPayload);
    void dispatch(std::size_t daemon, batch::EventPayload);
    void requirePermission(std::size_t daemon, const std::vector<batch::Effect>&);
    void carryOut(std::size_t daemon, std::vector<batch::Effect>&);
    void execute(std::size_t daemon, batch::Effect&);
    void commit(std::size_t daemon, const batch::Commit&);
    batch::CommitReply perform(std::size_t daemon, int lifetime, const batch::Commit&, TimePoint sentAt);
    std::shared_ptr<Call> call(std::size_t daemon, const batch::WorkerLifetime&,
        const batch::EventPayload& unanswered, Milliseconds timeout, double lateShare,
        const std::function<void(const std::shared_ptr<Call>&)>& execute);
    void order(std::size_t daemon, const batch::WorkerLifetime&,
        const std::function<batch::EventPayload(FakeWorker*)>&, const batch::EventPayload& unanswered);
    void hold(std::size_t daemon, const batch::HoldWorker&);
    void pollHold(const std::shared_ptr<Call>&, const batch::HoldWorker&, TimePoint answerBy);
    void answer(const std::shared_ptr<Call>&, const batch::EventPayload&);
    // Null if the order does not arrive, or arrives only once the link heals.
    FakeWorker* recipient(const Call&);
    Link* linkOf(std::size_t daemon, const WorkerId&);
    double randomShare() { return std::uniform_real_distribution<>(0, 1)(m_random); }
    Milliseconds randomTime(int fromMs, int toMs)
    {
        return Milliseconds(std::uniform_int_distribution<>(fromMs, toMs)(m_random));
    }
    void renewEntry(std::size_t worker);
    void expireEntries();
    void followRegistry(std::size_t daemon);
    void follow(std::size_t daemon);
    void start(std::size_t daemon);
    bool isLifetime(std::size_t daemon, int lifetime) const;
    void tick(std::size_t daemon, int lifetime);
    void followRepeatedly(std::size_t daemon, int lifetime);
    // The store's own clock; its epoch differs from that of the daemons' clock.
    batch::StoreClock storeClock() const { return m_now.time_since_epoch().count() + 7'000'000; }
    bool canReachStore(std::size_t daemon) const;
    bool isFar(const batch::RunId&) const;
    FakeWorker* findAnyLifetime(const WorkerId&);
    void request(std::size_t daemon, batch::CallerAction, const std::string& queue, const JobId&,
        batch::JobSpecification, const std::string& key);
    void recordStart(const batch::StartRun&);
    void recordEnd(const WorkerId&, const batch::RunId&, batch::RunEnd);
    void recordAcknowledgement(const batch::EndedRun&, bool hasLeaseExpired);
    void addViolation(const std::string&);

    struct Scheduled {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator>(const Scheduled& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    TimePoint m_now { Seconds(100) };
    std::uint64_t m_lastOrder = 0;
    std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> m_schedule;
    std::mt19937_64 m_random;
    FakeStore m_store;
    batch::Configuration m_configuration;
    std::vector<Daemon> m_daemons;
    std::vector<std::unique_ptr<FakeWorker>> m_workers;
    std::set<WorkerId> m_unlisted;
    std::set<WorkerId> m_unreadable;
    std::map<std::pair<std::size_t, std::size_t>, Link> m_links; // by daemon and worker
    std::vector<RegistryEntry> m_registry; // by worker; empty: daemons read the workers' records directly
    std::uint64_t m_registryVersion = 0;
    std::map<JobId, batch::JobSpecification> m_jobs;
    std::map<JobId, Milliseconds> m_durations;
    std::map<batch::CallerHandle, JobId> m_callers;
    std::map<JobId, Answer> m_answers;
    std::optional<Answer> m_lastAnswer;
    batch::CallerHandle m_lastCaller = 0;
    int m_lastJob = 0;
    std::map<batch::TaskId, int> m_done;
    std::set<batch::TaskId> m_acknowledgedDone; // done, and acknowledged before the worker's lease expired
    // Ended as done before a later start of their task; a violation if such an end is acknowledged.
    std::set<batch::RunId> m_doneBeforeStart;
    std::map<batch::RunId, WorkerId> m_startedOn;
    std::set<WorkerId> m_leaving; // by drainAndLeave()
    std::set<batch::TaskId> m_doneOnLeaving; // done on one of these workers
    std::map<JobId, int> m_starts;
    std::map<JobId, TimePoint> m_firstStarts;
    std::set<JobId> m_refused; // answered NotAccepted before any start, and not Accepted since
    std::vector<std::string> m_violations;
};

// A step of `tasks` tasks with `accelerators` accelerators each.
batch::StepSpecification makeStep(int tasks, int accelerators, Milliseconds duration = Milliseconds(1'000));
batch::StepSpecification makeGang(
    int tasks, int accelerators, bool needsOneRack = false, Milliseconds duration = Milliseconds(1'000));

} // namespace anvilmoor::testing
