#include "batch/placement/eviction.h"
#include "batch/placement/packing_placement.h"
#include "batch/placement/placement_round.h"
#include "support/batch_cluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace anvilmoor::batch {

class BatchPlacementTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchPlacementTest);
    CPPUNIT_TEST(testSmallTaskFillsUsedWorkerBeforeIdleOne);
    CPPUNIT_TEST(testSingleRackGangTakesRackWithLeastCapacityLeft);
    CPPUNIT_TEST(testGangThatFitsNoRackIsPlacedOnlyWithRelaxedLocality);
    CPPUNIT_TEST(testLargeGangOfSmallTasksCountsAsFittingItsRack);
    CPPUNIT_TEST(testTaskWithoutCpuFitsWorkerWithoutCpu);
    CPPUNIT_TEST(testTaskWithDataRackIsPlacedOnlyInThatRack);
    CPPUNIT_TEST(testTaskWithRequiredLabelIsPlacedOnlyOnMatchingWorker);
    CPPUNIT_TEST(testLimitPerWorkerCountsTasksOfTheSameRound);
    CPPUNIT_TEST(testWorkerOnTrialGetsOneTask);
    CPPUNIT_TEST(testJobIsNotRetriedWhereItFailed);
    CPPUNIT_TEST(testJobThatFailedEverywhereIsRetriedAnywhere);
    CPPUNIT_TEST(testEvictionTakesCheapestWorker);
    CPPUNIT_TEST(testEvictionOmitsUnneededVictims);
    CPPUNIT_TEST(testEvictionStopsGangAsWhole);
    CPPUNIT_TEST(testUrgentGangTakesTheFastestIdleWorkers);
    CPPUNIT_TEST(testUrgentGangTakesTheRackWithoutSlowWorkers);
    CPPUNIT_TEST(testLessUrgentGangLeavesFastWorkersIdle);
    CPPUNIT_TEST(testHeadroomIsKeptOnTheFastestWorkers);
    CPPUNIT_TEST(testRunThatEndsAsSoonAsAStopIsWaitedFor);
    CPPUNIT_TEST(testRunThatEndsLaterThanAStopIsStopped);
    CPPUNIT_TEST(testRoomOfEndingRunIsReservedForOneUnit);
    CPPUNIT_TEST(testRoomOfACancelledRunIsWaitedFor);
    CPPUNIT_TEST(testReservedRoomIsNotGivenToLessUrgentWork);
    CPPUNIT_TEST(testLateUrgentWorkBeyondGuaranteeEvictsNothing);
    CPPUNIT_TEST(testLessUrgentWorkLeavesHeadroomWhileUrgentWorkIsUnfinished);
    CPPUNIT_TEST(testHeadroomEndsWhenUrgentWorkHasCeased);
    CPPUNIT_TEST(testHeadroomIsNotKeptWhileServiceIsMostlyIdle);
    CPPUNIT_TEST(testJobInTimeIsPlacedBeforeLateJobOfSamePriority);
    CPPUNIT_TEST(testWaitingGangGetsRackDespiteManySmallTasks);
    CPPUNIT_TEST_SUITE_END();

    const PackingPlacement m_packing;
    const ObjectiveOrder m_order;
    const Milliseconds m_stopTimeout { 200 };
    TimePoint m_now { Seconds(100) };
    WallTime m_wallTime { Seconds(1'000) };

    static WorkerCapacity capacityOf(int rack, int index, std::int64_t accelerators = 8)
    {
        WorkerCapacity worker;
        worker.lifetime = { WorkerId(fmt::format("w{}-{}", rack, index)), 1 };
        worker.rack = RackId(fmt::format("r{}", rack));
        worker.kind = rack ? "b" : "a";
        worker.whole = { 128'000, 256'000, 8 };
        worker.room = { 128'000, 256'000, accelerators };
        return worker;
    }

    static CapacityView viewOf(std::initializer_list<WorkerCapacity> workers)
    {
        CapacityView view;
        for (const WorkerCapacity& worker : workers)
            view.add(worker);
        return view;
    }

    static PlacementRequest requestOf(const StepSpecification& step)
    {
        return { step, step.perTask, step.isGang ? step.taskCount : 1 };
    }

    // The leader's view of workers, jobs and configuration.
    struct LeaderState {
        WorkerPool pool;
        JobBook jobs;
        Configuration configuration = testing::BatchCluster::defaultConfiguration();
    };

    void addWorkers(LeaderState& state, int racks, int perRack) const
    {
        for (int rack = 0; rack < racks; ++rack) {
            for (int index = 0; index < perRack; ++index) {
                const WorkerCapacity capacity = capacityOf(rack, index);
                WorkerRecord record { capacity.lifetime, "10.0.0.1:1", ServiceId("planner"),
                    AvailabilityZoneId("z"), capacity.whole, "a", capacity.rack };
                state.pool.update(record, m_now);
                state.pool.find(record.lifetime)->isConfirmed = true;
            }
        }
    }

    JobId addJob(LeaderState& state, const char* id, int priority, StepSpecification step,
        const char* account = "account-a", Milliseconds age = Milliseconds(0))
    {
        AcceptedJob job;
        job.specification = { JobId(id), "payload", { std::move(step) }, {} };
        job.terms = { "queue", ServiceId("planner"), ClientAccountId(account), priority, 2, 1.5,
            Milliseconds(250) };
        job.acceptedAt = m_wallTime - age;
        state.jobs.add(job);
        return JobId(id);
    }

    // Assigns the placed units and attaches their runs to the workers in the phase Running.
    void assignAndAttach(LeaderState& state, const PlacementOutcome& outcome)
    {
        for (const PlacementDecision& decision : outcome.placed) {
            JobProgress& progress = state.jobs.find(decision.unit.job)->progress;
            progress.assign(decision.unit, decision.workers);
            for (std::size_t i = 0; i < decision.workers.size(); ++i) {
                const RunId run { { decision.unit.job, 0, decision.unit.step, decision.unit.tasks[i] },
                    decision.unit.run };
                LiveRun live { run, progress.specificationOf(0).perTask, progress.job().terms.priority,
                    RunPhase::Running };
                live.acceptedAt = m_now;
                state.pool.attach(*state.pool.find(decision.workers[i]), live);
            }
        }
    }

    PlacementOutcome place(PlacementRound& round, LeaderState& state)
    {
        PlacementOutcome outcome = round.run(state.jobs, state.pool, state.configuration, m_now, m_wallTime);
        assignAndAttach(state, outcome);
        return outcome;
    }

    static std::size_t placedTasks(const PlacementOutcome& outcome, const JobId& job)
    {
        std::size_t tasks = 0;
        for (const PlacementDecision& decision : outcome.placed)
            tasks += decision.unit.job == job ? decision.workers.size() : 0;
        return tasks;
    }

    static std::size_t idleWorkers(const LeaderState& state)
    {
        std::size_t idle = 0;
        for (const auto& [lifetime, worker] : state.pool.all())
            idle += worker.runs.empty() ? 1 : 0;
        return idle;
    }

public:
    void testSmallTaskFillsUsedWorkerBeforeIdleOne()
    {
        CapacityView view = viewOf({ capacityOf(0, 0), capacityOf(0, 1, 3), capacityOf(0, 2) });
        const StepSpecification step = testing::makeStep(1, 1);
        const auto workers = m_packing.place(requestOf(step), view);
        CPPUNIT_ASSERT(workers->front() == capacityOf(0, 1).lifetime);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, view.workers()[1].room.accelerators);
    }

    void testSingleRackGangTakesRackWithLeastCapacityLeft()
    {
        CapacityView view = viewOf(
            { capacityOf(0, 0), capacityOf(0, 1), capacityOf(0, 2), capacityOf(1, 0), capacityOf(1, 1) });
        const StepSpecification step = testing::makeGang(2, 8, true);
        const auto workers = m_packing.place(requestOf(step), view);
        for (const WorkerLifetime& worker : *workers)
            CPPUNIT_ASSERT_EQUAL(std::string("r1"), view.find(worker)->rack.value());
    }

    void testGangThatFitsNoRackIsPlacedOnlyWithRelaxedLocality()
    {
        CapacityView view = viewOf({ capacityOf(0, 0), capacityOf(1, 0) });
        const StepSpecification step = testing::makeGang(2, 8, true);
        PlacementRequest request = requestOf(step);
        CPPUNIT_ASSERT(!m_packing.place(request, view));
        CPPUNIT_ASSERT(view.workers()[0].room == view.workers()[0].whole);
        request.mayRelaxLocality = true;
        CPPUNIT_ASSERT(m_packing.place(request, view));
    }

    void testLargeGangOfSmallTasksCountsAsFittingItsRack()
    {
        const CapacityView view = viewOf({ capacityOf(0, 0) });
        const StepSpecification step = testing::makeGang(128, 0, true);
        CPPUNIT_ASSERT_EQUAL(128, mostTasksWithinLocality(requestOf(step), view));
    }

    // Guards against tasks that use spare CPU being kept off workers whose CPU is promised to others.
    void testTaskWithoutCpuFitsWorkerWithoutCpu()
    {
        WorkerCapacity worker = capacityOf(0, 0);
        worker.room.cpuMillicores = -1'000;
        StepSpecification step = testing::makeStep(1, 1);
        step.usesSpareCpu = true;
        const PlacementRequest request { step, step.countedPerTask() };
        CPPUNIT_ASSERT_EQUAL(1, tasksThatFit(request, worker, worker.room));
    }

    void testTaskWithDataRackIsPlacedOnlyInThatRack()
    {
        CapacityView view = viewOf({ capacityOf(0, 0, 2), capacityOf(1, 0) });
        StepSpecification step = testing::makeStep(1, 1);
        step.dataRack = "r1";
        const auto workers = m_packing.place(requestOf(step), view);
        CPPUNIT_ASSERT(workers->front() == capacityOf(1, 0).lifetime);
        view.workers()[1].room = {};
        CPPUNIT_ASSERT(!m_packing.place(requestOf(step), view));
    }

    void testTaskWithRequiredLabelIsPlacedOnlyOnMatchingWorker()
    {
        CapacityView view = viewOf({ capacityOf(0, 0, 2), capacityOf(1, 0) });
        StepSpecification step = testing::makeStep(1, 1);
        step.requiredLabel = "b";
        CPPUNIT_ASSERT(m_packing.place(requestOf(step), view)->front() == capacityOf(1, 0).lifetime);
        step.requiredLabel = "c";
        CPPUNIT_ASSERT(!m_packing.place(requestOf(step), view));
        CPPUNIT_ASSERT(!couldEverFit(requestOf(step), view));
    }

    // Guards against exceeding a step's limit of tasks per worker. In the first benchmark run, tasks placed
    // in the same round did not count towards the limit.
    void testLimitPerWorkerCountsTasksOfTheSameRound()
    {
        LeaderState state;
        addWorkers(state, 1, 2);
        StepSpecification step = testing::makeStep(4, 1);
        step.maxTasksPerWorker = 1;
        const JobId job = addJob(state, "job", 2, step);
        PlacementRound round(m_packing, m_order, m_stopTimeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, placedTasks(place(round, state), job));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, placedTasks(place(round, state), job));
    }

    void testWorkerOnTrialGetsOneTask()
    {
        WorkerCapacity suspect = capacityOf(0, 0);
        suspect.isOnTrial = true;
        CapacityView view = viewOf({ suspect });
        const StepSpecification step = testing::makeStep(1, 1);
        CPPUNIT_ASSERT(m_packing.place(requestOf(step), view));
        CPPUNIT_ASSERT(!m_packing.place(requestOf(step), view));
    }

    // Guards against a worker that fails every run and so uses up all attempts of a job that would succeed
    // elsewhere.
    void testJobIsNotRetriedWhereItFailed()
    {
        LeaderState state;
        addWorkers(state, 1, 2);
        const JobId job = addJob(state, "job", 1, testing::makeStep(1, 1));
        state.jobs.find(job)->failedOn = { capacityOf(0, 0).lifetime };
        PlacementRound round(m_packing, m_order, m_stopTimeout);
        const PlacementOutcome outcome = place(round, state);
        CPPUNIT_ASSERT(outcome.placed.front().workers.front() == capacityOf(0, 1).lifetime);
    }

    void testJobThatFailedEverywhereIsRetriedAnywhere()
    {
        LeaderState state;
        addWorkers(state, 1, 2);
        const JobId job = addJob(state, "job", 1, testing::makeStep(1, 1));
        state.jobs.find(job)->failedOn = { capacityOf(0, 0).lifetime, capacityOf(0, 1).lifetime };
        PlacementRound round(m_packing, m_order, m_stopTimeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, placedTasks(place(round, state), job));
    }

    static EvictionCandidate candidateOf(
        const char* job, const WorkerLifetime& worker, int accelerators, double cost)
    {
        EvictionCandidate candidate;
        candidate.runs = { { { JobId(job), 0, 0, 0 }, 1 } };
        candidate.room = { { worker, { 1'000, 1'000, accelerators } } };
        candidate.cost = cost;
        return candidate;
    }

    void testEvictionTakesCheapestWorker()
    {
        const CapacityView view = viewOf({ capacityOf(0, 0, 0), capacityOf(0, 1, 0) });
        const StepSpecification step = testing::makeStep(1, 8);
        const auto plan = planEviction(requestOf(step), view,
            EvictionCandidates(view,
                { candidateOf("dear", capacityOf(0, 0).lifetime, 8, 100),
                    candidateOf("cheap", capacityOf(0, 1).lifetime, 8, 10) }));
        CPPUNIT_ASSERT(plan);
        CPPUNIT_ASSERT_EQUAL(std::string("cheap"), plan->victims.front().task.job.value());
        CPPUNIT_ASSERT(plan->workers.front() == capacityOf(0, 1).lifetime);
    }

    void testEvictionOmitsUnneededVictims()
    {
        const CapacityView view = viewOf({ capacityOf(0, 0, 0) });
        const StepSpecification step = testing::makeStep(1, 7);
        const WorkerLifetime worker = capacityOf(0, 0).lifetime;
        const auto plan = planEviction(requestOf(step), view,
            EvictionCandidates(
                view, { candidateOf("small", worker, 1, 1), candidateOf("large", worker, 7, 70) }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, plan->victims.size());
        CPPUNIT_ASSERT_EQUAL(std::string("large"), plan->victims.front().task.job.value());
    }

    void testEvictionStopsGangAsWhole()
    {
        const CapacityView view = viewOf({ capacityOf(0, 0, 0), capacityOf(0, 1, 0) });
        EvictionCandidate gang = candidateOf("gang", capacityOf(0, 0).lifetime, 8, 10);
        gang.runs.push_back({ { JobId("gang"), 0, 0, 1 }, 1 });
        gang.room.emplace_back(capacityOf(0, 1).lifetime, Resources { 1'000, 1'000, 8 });
        const StepSpecification step = testing::makeStep(1, 8);
        const auto plan = planEviction(requestOf(step), view, EvictionCandidates(view, { gang }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, plan->victims.size());
    }

    static WorkerCapacity capacityAt(int rack, int index, double speed)
    {
        WorkerCapacity worker = capacityOf(rack, index);
        worker.speed = speed;
        worker.speedBand = WorkerSpeed(speed, 1).band();
        return worker;
    }

    void testUrgentGangTakesTheFastestIdleWorkers()
    {
        CapacityView view = viewOf(
            { capacityAt(0, 0, 0.8), capacityAt(0, 1, 1.25), capacityAt(0, 2, 1), capacityAt(0, 3, 1.2) });
        const StepSpecification gang = testing::makeGang(2, 8);
        PlacementRequest request = requestOf(gang);
        request.prefersFastWorkers = true;
        const auto workers = m_packing.place(request, view);
        CPPUNIT_ASSERT(workers.value().front() == capacityOf(0, 1).lifetime);
        CPPUNIT_ASSERT(workers.value().back() == capacityOf(0, 3).lifetime);
    }

    // A gang runs at the speed of its slowest worker.
    void testUrgentGangTakesTheRackWithoutSlowWorkers()
    {
        CapacityView view = viewOf({ capacityAt(0, 0, 0.8), capacityAt(0, 1, 1.25), capacityAt(1, 0, 1),
            capacityAt(1, 1, 1), capacityAt(1, 2, 0.8) });
        StepSpecification gang = testing::makeGang(2, 8);
        gang.needsOneRack = true;
        PlacementRequest request = requestOf(gang);
        request.prefersFastWorkers = true;
        const auto workers = m_packing.place(request, view);
        CPPUNIT_ASSERT(workers.value().front() == capacityOf(1, 0).lifetime);
        CPPUNIT_ASSERT(workers.value().back() == capacityOf(1, 1).lifetime);
    }

    void testLessUrgentGangLeavesFastWorkersIdle()
    {
        CapacityView view = viewOf({ capacityAt(0, 0, 1.25), capacityAt(0, 1, 0.8), capacityAt(0, 2, 1) });
        const StepSpecification gang = testing::makeGang(2, 8);
        const auto workers = m_packing.place(requestOf(gang), view);
        CPPUNIT_ASSERT(workers.value().front() == capacityOf(0, 1).lifetime);
        CPPUNIT_ASSERT(workers.value().back() == capacityOf(0, 2).lifetime);
    }

    void testHeadroomIsKeptOnTheFastestWorkers()
    {
        CapacityView view = viewOf({ capacityAt(0, 0, 0.8), capacityAt(0, 1, 1.25), capacityAt(0, 2, 1) });
        const CapacityView::Hidden hidden = view.hideIdleWorkers(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, hidden.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, hidden.front().first);
    }

    // Places a task on the only worker. The task has done half of its work in about one second and needs
    // about one second more.
    JobId addHalfDoneRun(PlacementRound& round, LeaderState& state)
    {
        addWorkers(state, 1, 1);
        const JobId job = addJob(state, "filler", 2, testing::makeStep(1, 8));
        place(round, state);
        Worker& worker = *state.pool.find(capacityOf(0, 0).lifetime);
        worker.clock.note(10'000, m_now);
        LiveRun& run = worker.runs.begin()->second;
        run.progress.note({ 1, 9'020 });
        run.progress.note({ 50, 10'000 });
        return job;
    }

    // Guards against evictions that lose work although the run would have ended, and freed its resources,
    // just as soon.
    void testRunThatEndsAsSoonAsAStopIsWaitedFor()
    {
        LeaderState state;
        PlacementRound round(m_packing, m_order, m_stopTimeout);
        addHalfDoneRun(round, state);
        addJob(state, "urgent", 0, testing::makeStep(1, 8));
        m_now += Milliseconds(900);
        CPPUNIT_ASSERT(place(round, state).evictions.empty());
        // The resources of the ended run stay reserved for the urgent task.
        const TaskId ended { JobId("filler"), 0, 0, 0 };
        state.pool.detach(*state.pool.find(capacityOf(0, 0).lifetime), ended);
        state.jobs.find(JobId("filler"))->progress.runEnded({ ended, 1 }, RunEnd::Done, {});
        addJob(state, "other", 1, testing::makeStep(1, 8));
        const PlacementOutcome outcome = place(round, state);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, placedTasks(outcome, JobId("urgent")));
    }

    void testRunThatEndsLaterThanAStopIsStopped()
    {
        LeaderState state;
        PlacementRound round(m_packing, m_order, m_stopTimeout);
        addHalfDoneRun(round, state);
        addJob(state, "urgent", 0, testing::makeStep(1, 8));
        m_now += Milliseconds(700);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, place(round, state).evictions.size());
    }

    void testRoomOfEndingRunIsReservedForOneUnit()
    {
        LeaderState state;
        PlacementRound round(m_packing, m_order, m_stopTimeout);
        addHalfDoneRun(round, state);
        m_now += Milliseconds(900);
        addJob(state, "urgent-1", 0, testing::makeStep(1, 8));
        addJob(state, "urgent-2", 0, testing::makeStep(1, 8));
        place(round, state);
        place(round, state);
        const TaskId ended { JobId("filler"), 0, 0, 0 };
        state.pool.detach(*state.pool.find(capacityOf(0, 0).lifetime), ended);
        state.jobs.find(JobId("filler"))->progress.runEnded({ ended, 1 }, RunEnd::Done, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, place(round, state).placed.size());
    }

    void testRoomOfACancelledRunIsWaitedFor()
    {
        LeaderState state;
        PlacementRound round(m_packing, m_order, m_stopTimeout);
        addWorkers(state, 1, 2);
        addJob(state, "cancelled", 0, testing::makeStep(1, 8));
        addJob(state, "filler", 2, testing::makeStep(1, 8));
        place(round, state);
        state.pool.find(capacityOf(0, 0).lifetime)->runs.begin()->second.phase = RunPhase::Stopping;
        addJob(state, "urgent", 0, testing::makeStep(1, 8));
        CPPUNIT_ASSERT(place(round, state).evictions.empty());
    }

    // Guards against resources that an eviction has freed for an urgent unit and that other work takes first.
    void testReservedRoomIsNotGivenToLessUrgentWork()
    {
        LeaderState state;
        addWorkers(state, 1, 1);
        addJob(state, "filler", 2, testing::makeStep(8, 1));
        PlacementRound round(m_packing, m_order, m_stopTimeout);
        place(round, state);
        const JobId urgent = addJob(state, "urgent", 0, testing::makeStep(1, 8));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 8 }, place(round, state).evictions.front().victims.size());
        // Half of the victims have ended, and their tasks wait to be placed again.
        Worker& worker = *state.pool.find(capacityOf(0, 0).lifetime);
        for (int index = 0; index < 4; ++index) {
            const TaskId task { JobId("filler"), 0, 0, index };
            state.pool.detach(worker, task);
            state.jobs.find(JobId("filler"))->progress.runEnded({ task, 1 }, RunEnd::Stopped, {});
        }
        CPPUNIT_ASSERT(place(round, state).placed.empty());
        for (int index = 4; index < 8; ++index) {
            const TaskId task { JobId("filler"), 0, 0, index };
            state.pool.detach(worker, task);
            state.jobs.find(JobId("filler"))->progress.runEnded({ task, 1 }, RunEnd::Stopped, {});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, placedTasks(place(round, state), urgent));
    }

    void testLateUrgentWorkBeyondGuaranteeEvictsNothing()
    {
        LeaderState state;
        addWorkers(state, 1, 4);
        addJob(state, "filler", 2, testing::makeStep(32, 1));
        PlacementRound round(m_packing, m_order, m_stopTimeout);
        place(round, state);
        // Client account A has a guarantee of 16 accelerators.
        addJob(state, "urgent", 0, testing::makeGang(3, 8), "account-a", Milliseconds(5'000));
        CPPUNIT_ASSERT(place(round, state).evictions.empty());
        addJob(state, "covered", 0, testing::makeGang(2, 8), "account-a", Milliseconds(5'000));
        CPPUNIT_ASSERT(!place(round, state).evictions.empty());
    }

    void testLessUrgentWorkLeavesHeadroomWhileUrgentWorkIsUnfinished()
    {
        LeaderState state;
        addWorkers(state, 1, 8);
        addJob(state, "urgent", 0, testing::makeGang(5, 8));
        PlacementRound round(m_packing, m_order, m_stopTimeout);
        place(round, state);
        addJob(state, "small", 2, testing::makeStep(64, 1));
        place(round, state);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, idleWorkers(state));
    }

    // Guards against headroom that is kept after urgent work has ceased. Found by the fault search in
    // scenario trouble-3, seed 581707070283: at the end of the run a job was still waiting although workers
    // were idle.
    void testHeadroomEndsWhenUrgentWorkHasCeased()
    {
        LeaderState state;
        addWorkers(state, 1, 8);
        const JobId urgent = addJob(state, "urgent", 0, testing::makeGang(5, 8));
        PlacementRound round(m_packing, m_order, m_stopTimeout);
        place(round, state);
        // The runs stay attached to their workers, but the job no longer counts as unfinished urgent work.
        state.jobs.find(urgent)->progress.cancel();
        state.jobs.noteChange(*state.jobs.find(urgent), m_now);
        const JobId small = addJob(state, "small", 2, testing::makeStep(64, 1));
        m_now += Milliseconds(3'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 24 }, placedTasks(place(round, state), small));
    }

    void testHeadroomIsNotKeptWhileServiceIsMostlyIdle()
    {
        LeaderState state;
        addWorkers(state, 1, 4);
        addJob(state, "urgent", 0, testing::makeStep(1, 1));
        const JobId gang = addJob(state, "gang", 1, testing::makeGang(3, 8, true));
        PlacementRound round(m_packing, m_order, m_stopTimeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, placedTasks(place(round, state), gang));
    }

    void testJobInTimeIsPlacedBeforeLateJobOfSamePriority()
    {
        LeaderState state;
        addWorkers(state, 1, 1);
        addJob(state, "a-late", 1, testing::makeStep(1, 8), "account-a", Milliseconds(5'000));
        const JobId inTime = addJob(state, "b-in-time", 1, testing::makeStep(1, 8));
        PlacementRound round(m_packing, m_order, m_stopTimeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, placedTasks(place(round, state), inTime));
    }

    // Guards against starvation of gangs under full load, when a small task takes each accelerator that
    // becomes free.
    void testWaitingGangGetsRackDespiteManySmallTasks()
    {
        LeaderState state;
        addWorkers(state, 2, 2);
        addJob(state, "a-small", 2, testing::makeStep(32, 1));
        PlacementRound round(m_packing, m_order, m_stopTimeout);
        place(round, state);
        const JobId gang = addJob(state, "gang", 1, testing::makeGang(2, 8, true));
        const JobId more = addJob(state, "b-small", 2, testing::makeStep(32, 1));
        place(round, state);
        // The tasks end one at a time, on each worker in turn.
        std::size_t placed = 0;
        for (int index = 0; index < 32 && !placed; ++index) {
            const TaskId task { JobId("a-small"), 0, 0, (index % 4) * 8 + index / 4 };
            JobProgress& progress = state.jobs.find(JobId("a-small"))->progress;
            state.pool.detach(*state.pool.find(progress.find(task)->assignment->worker), task);
            progress.runEnded({ task, 1 }, RunEnd::Done, {});
            placed = placedTasks(place(round, state), gang);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, placed);
        CPPUNIT_ASSERT(state.jobs.find(more)->progress.hasAssignments());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchPlacementTest);

} // namespace anvilmoor::batch
