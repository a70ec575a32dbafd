#include "batch/jobs/job_codec.h"
#include "batch/jobs/job_progress.h"
#include "batch/store/leader_lease.h"
#include "batch/workers/speed_rows.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace anvilmoor::batch {

// Tests rows of the scheduler's own tables that another program has overwritten.
class BatchForeignRowTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchForeignRowTest);
    CPPUNIT_TEST(testDeeplyNestedRowIsRejected);
    CPPUNIT_TEST(testTruncatedRowIsRejected);
    CPPUNIT_TEST_SUITE_END();

    // The largest row value that the platform's store allows.
    static constexpr std::size_t rowBytes = 65'536;

    static AcceptedJob validJob()
    {
        AcceptedJob job;
        job.specification.id = JobId("5c0e7a21d94b36f8");
        job.specification.payload = "payload";
        StepSpecification second;
        second.taskCount = 3;
        second.dependsOn = { 0 };
        job.specification.steps = { {}, second };
        job.terms.queue = "small";
        return job;
    }

    static std::string validProgress()
    {
        JobProgress progress(validJob());
        progress.openDueOccurrences(WallTime(Milliseconds(1)));
        const WorkerLifetime worker { WorkerId("w"), 7 };
        const PlacementUnit unit { validJob().specification.id, 0, 0, { 0 }, 1 };
        progress.assign(unit, std::vector<WorkerLifetime> { worker });
        return progress.encodeProgress();
    }

    static bool isProgress(const std::string& bytes)
    {
        JobProgress progress(validJob());
        return !progress.restoreProgress(bytes);
    }

    static bool isAccepted(const std::string& bytes)
    {
        WorkerPool pool;
        const bool isJob = decodeJob(bytes).has_value();
        const bool isState = decodeJobState(bytes).has_value();
        const bool isLease = decodeLease(bytes).has_value();
        const bool areSpeeds = !restoreSpeeds(bytes, pool);
        return isJob || isProgress(bytes) || isState || isLease || areSpeeds;
    }

public:
    void testDeeplyNestedRowIsRejected()
    {
        // In MessagePack, the first byte starts an array of one element, the others a map of one member.
        std::string maps;
        while (maps.size() < rowBytes)
            maps += "\x81\xa1k";
        for (const std::string& bytes :
            { std::string(rowBytes, '\x91'), std::string(rowBytes - 1, '\x91') + '\x01', maps })
            CPPUNIT_ASSERT(!isAccepted(bytes));
    }

    void testTruncatedRowIsRejected()
    {
        const std::string job = encodeJob(validJob());
        for (std::size_t size = 0; size < job.size(); ++size)
            CPPUNIT_ASSERT(!decodeJob(std::string_view(job).substr(0, size)));
        const std::string progress = validProgress();
        for (std::size_t size = 0; size < progress.size(); ++size)
            CPPUNIT_ASSERT(!isProgress(progress.substr(0, size)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchForeignRowTest);

} // namespace anvilmoor::batch
