#include "support/batch_cluster.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace anvilmoor::batch {

// Tests what a daemon that shuts down answers to submissions: that a job is not accepted only if it never
// runs.
class BatchShutdownAnswerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchShutdownAnswerTest);
    CPPUNIT_TEST(testSubmissionUnderWayAtStopHasUnknownOutcome);
    CPPUNIT_TEST(testSubmissionAfterStopIsRefusedAndNotStored);
    CPPUNIT_TEST(testRepeatedSubmissionAfterStopHasUnknownOutcomeWhileFirstMayBeStored);
    CPPUNIT_TEST(testRepeatedSubmissionIsNotRefusedForConfigurationWhileFirstMayBeStored);
    CPPUNIT_TEST(testDelayedStoreLeavesNoRefusedJobRunning);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now { Seconds(100) };
    BatchReducer m_reducer { { { "host", "process" } } };
    std::vector<Effect> m_effects;
    CallerHandle m_lastCaller = 0;

    void handle(EventPayload payload)
    {
        const Event event { m_now, WallTime(Milliseconds(1'700'000'000'000)), 1, std::move(payload) };
        m_effects = m_reducer.handle(event);
    }

    void confirmConfiguration()
    {
        handle(ConfigurationUpdated { { testing::BatchCluster::defaultConfiguration() }, m_now });
    }

    CallerHandle submit(const std::string& id)
    {
        CallerRequest request;
        request.caller = ++m_lastCaller;
        request.action = CallerAction::Submit;
        request.host = "plan.example";
        request.path = "/small/" + id;
        request.apiKey = "key-a";
        request.timeout = Milliseconds(30'000);
        request.specification = { {}, "payload", { testing::makeStep(1, 1) }, {} };
        handle(std::move(request));
        return m_lastCaller;
    }

    std::optional<AnswerKind> answerTo(CallerHandle caller) const
    {
        for (const Effect& effect : m_effects) {
            const auto* answer = std::get_if<AnswerCaller>(&effect);
            if (answer && answer->caller == caller)
                return answer->kind;
        }
        return std::nullopt;
    }

    template <typename Kind> bool hasEffect() const
    {
        return std::any_of(m_effects.begin(), m_effects.end(),
            [](const Effect& effect) { return std::holds_alternative<Kind>(effect); });
    }

    // Keeps the configuration confirmed until the daemon stops.
    void runUntilStopped()
    {
        handle(ShutdownRequested {});
        for (int tick = 0; tick < 500; ++tick) {
            m_now += tickInterval;
            confirmConfiguration();
            handle(Tick {});
            if (hasEffect<StopDaemon>())
                return;
        }
        CPPUNIT_FAIL("the daemon does not stop");
    }

public:
    void setUp() override { confirmConfiguration(); }

    // Guards against 503 for a job that was sent to a slow store, is stored there and runs (review/8).
    void testSubmissionUnderWayAtStopHasUnknownOutcome()
    {
        const CallerHandle caller = submit("00000000000000aa");
        CPPUNIT_ASSERT(hasEffect<Commit>());
        runUntilStopped();
        CPPUNIT_ASSERT(answerTo(caller) == AnswerKind::OutcomeUnknown);
    }

    // Guards against storing a job whose caller the ending process can't answer any more.
    void testSubmissionAfterStopIsRefusedAndNotStored()
    {
        runUntilStopped();
        const CallerHandle caller = submit("00000000000000aa");
        CPPUNIT_ASSERT(answerTo(caller) == AnswerKind::ShuttingDown);
        CPPUNIT_ASSERT(!hasEffect<Commit>());
    }

    // Guards against denying a job because of a repeated request, although the first request stores it.
    void testRepeatedSubmissionAfterStopHasUnknownOutcomeWhileFirstMayBeStored()
    {
        submit("00000000000000aa");
        runUntilStopped();
        CPPUNIT_ASSERT(answerTo(submit("00000000000000aa")) == AnswerKind::OutcomeUnknown);
        CPPUNIT_ASSERT(answerTo(submit("00000000000000ab")) == AnswerKind::ShuttingDown);
    }

    // Guards against the same when the daemon has lost contact with the store.
    void testRepeatedSubmissionIsNotRefusedForConfigurationWhileFirstMayBeStored()
    {
        submit("00000000000000aa");
        m_now += Milliseconds(5'000);
        CPPUNIT_ASSERT(answerTo(submit("00000000000000aa")) == AnswerKind::OutcomeUnknown);
        CPPUNIT_ASSERT(answerTo(submit("00000000000000ab")) == AnswerKind::NoConfiguration);
    }

    // Guards against the fault as a whole: daemons end one after the other while the store is slow.
    void testDelayedStoreLeavesNoRefusedJobRunning()
    {
        testing::BatchCluster cluster { 3 };
        cluster.addWorkers(2, 4);
        cluster.run(Milliseconds(1'000));
        cluster.commitDelay = Milliseconds(400);
        std::vector<JobId> jobs;
        for (const std::size_t daemon : { 0U, 1U }) {
            cluster.terminate(daemon);
            while (cluster.isRunning(daemon)) {
                jobs.push_back(cluster.submit(daemon, "small", { testing::makeStep(1, 1) }));
                cluster.run(Milliseconds(60));
            }
        }
        cluster.run(Milliseconds(8'000));
        CPPUNIT_ASSERT(!jobs.empty());
        for (const JobId& job : jobs) {
            const auto answer = cluster.answerTo(job);
            CPPUNIT_ASSERT_MESSAGE("no answer to " + job.value(), answer.has_value());
            const bool isDenied = answer->kind == AnswerKind::ShuttingDown
                || answer->kind == AnswerKind::NotAccepted || answer->kind == AnswerKind::NoConfiguration;
            CPPUNIT_ASSERT(!isDenied || !cluster.startsOf(job));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchShutdownAnswerTest);

} // namespace anvilmoor::batch
