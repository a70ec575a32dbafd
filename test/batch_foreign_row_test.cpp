#include "batch/jobs/job_codec.h"
#include "batch/jobs/job_progress.h"
#include "batch/jobs/progress_codec.h"
#include "batch/store/leader_lease.h"
#include "batch/store/message_pack.h"
#include "batch/workers/speed_rows.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace anvilmoor::batch {

// Tests rows of the scheduler's own tables that another program has overwritten.
class BatchForeignRowTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchForeignRowTest);
    CPPUNIT_TEST(testDeeplyNestedRowIsRejected);
    CPPUNIT_TEST(testTruncatedRowIsRejected);
    CPPUNIT_TEST(testJobRowWithNumberOutOfRangeIsRejected);
    CPPUNIT_TEST(testJobRowWithTextThatIsNotUtf8IsRejected);
    CPPUNIT_TEST(testProgressRowWithNumberOutOfRangeIsRejected);
    CPPUNIT_TEST(testProgressRowOfEarlierFormatWithNumberOutOfRangeIsRejected);
    CPPUNIT_TEST(testProgressRowOfMoreOccurrencesOrTasksThanTheJobHasIsRejected);
    CPPUNIT_TEST(testLeaseRowWithNumberOutOfRangeIsRejected);
    CPPUNIT_TEST(testMutatedRowsAreDecodedOrRejected);
    CPPUNIT_TEST_SUITE_END();

    using Json = nlohmann::json;

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
        progress.runEnded({ { unit.job, 0, 0, 0 }, 1 }, RunEnd::Failed, "c");
        progress.assign({ unit.job, 0, 0, { 0 }, 2 }, std::vector<WorkerLifetime> { worker });
        return progress.encodeProgress();
    }

    // A row of the earlier format, in which each task stands with all of its fields.
    static Json earlierProgress()
    {
        const Json waiting = Json::array({ false, 0, 0, 0, "" });
        const Json assigned = Json::array({ false, 2, 1, 1, "c", 2, "w", 7 });
        const Json steps
            = Json::array({ Json::array({ assigned }), Json::array({ waiting, waiting, waiting }) });
        return Json::array({ 1, true, Json::array({ steps }) });
    }

    static Json& earlierTaskOf(Json& progress) { return progress[2][0][0][0]; }

    // The only task that has begun, and the only occurrence that is open.
    static Json& taskOf(Json& progress) { return progress[6][0][1][1][0]; }
    static Json& occurrenceOf(Json& progress) { return progress[6][0]; }
    static Json& completedOf(Json& progress) { return progress[5]; }

    // Returns the job's row with the member at the path replaced.
    static std::string jobRowWith(const std::string& path, const Json& value)
    {
        Json row = Json::from_msgpack(encodeJob(validJob()));
        row.at(Json::json_pointer(path)) = value;
        return toMessagePack(row);
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

    static std::string mutated(std::string bytes, std::mt19937_64& random)
    {
        for (std::uint64_t change = random() % 3; change < 3; ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        return bytes;
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

    void testJobRowWithNumberOutOfRangeIsRejected()
    {
        CPPUNIT_ASSERT(decodeJob(encodeJob(validJob())).has_value());
        const std::vector<Json> numbers { -1, std::int64_t { -9'223'372'036'854'775'807 },
            std::int64_t { 9'223'372'036'854'775'807 }, 18'446'744'073'709'551'615U, 1e300 };
        // Of a step: task count, resources per task, estimated duration and tasks per worker. Of the job: the
        // first time, the interval and the number of its occurrences, the stretch and the latency target.
        for (const char* path :
            { "/2/0/0", "/2/0/1", "/2/0/2", "/2/0/3", "/2/0/4", "/2/0/9", "/3", "/4", "/5", "/11", "/12" }) {
            for (const Json& number : numbers)
                CPPUNIT_ASSERT_MESSAGE(
                    path + number.dump(), !decodeJob(jobRowWith(path, number)).has_value());
        }
        CPPUNIT_ASSERT(!decodeJob(jobRowWith("/2/0/0", 2'000'000'000)).has_value());
        for (const int step : { -1, 1, 2, 2'000'000'000 })
            CPPUNIT_ASSERT(!decodeJob(jobRowWith("/2/1/5", { step })).has_value());
        CPPUNIT_ASSERT(!decodeJob(jobRowWith("/2", Json::array())).has_value());
    }

    // Such text cannot be sent to a worker.
    void testJobRowWithTextThatIsNotUtf8IsRejected()
    {
        for (const char* path : { "/0", "/1", "/2/0/7", "/6" })
            CPPUNIT_ASSERT_MESSAGE(path, !decodeJob(jobRowWith(path, "\xff\xfe")).has_value());
        Json progress = Json::from_msgpack(validProgress());
        taskOf(progress)[5] = "\xff";
        CPPUNIT_ASSERT(!isProgress(toMessagePack(progress)));
        progress = earlierProgress();
        earlierTaskOf(progress)[4] = "\xff";
        CPPUNIT_ASSERT(!isProgress(toMessagePack(progress)));
    }

    void testProgressRowWithNumberOutOfRangeIsRejected()
    {
        CPPUNIT_ASSERT(isProgress(validProgress()));
        for (const Json& number : std::vector<Json> { -1, 2'147'483'647, 9'223'372'036'854'775'807 }) {
            Json progress = Json::from_msgpack(validProgress());
            progress[0] = number;
            CPPUNIT_ASSERT_MESSAGE(number.dump(), !isProgress(toMessagePack(progress)));
            CPPUNIT_ASSERT(!decodeJobState(toMessagePack(progress)).has_value());
            for (const std::size_t field : { 0U, 1U, 2U, 3U, 4U }) {
                progress = Json::from_msgpack(validProgress());
                taskOf(progress)[field] = number;
                CPPUNIT_ASSERT_MESSAGE(number.dump(), !isProgress(toMessagePack(progress)));
            }
            progress = Json::from_msgpack(validProgress());
            occurrenceOf(progress)[0] = number;
            CPPUNIT_ASSERT_MESSAGE(number.dump(), !isProgress(toMessagePack(progress)));
            for (const std::size_t field : { 0U, 1U }) {
                progress = Json::from_msgpack(validProgress());
                completedOf(progress) = Json::array({ 0, 1 });
                completedOf(progress)[field] = number;
                CPPUNIT_ASSERT_MESSAGE(number.dump(), !isProgress(toMessagePack(progress)));
            }
        }
    }

    void testProgressRowOfEarlierFormatWithNumberOutOfRangeIsRejected()
    {
        CPPUNIT_ASSERT(isProgress(toMessagePack(earlierProgress())));
        for (const Json& number : std::vector<Json> { -1, 2'147'483'647, 9'223'372'036'854'775'807 }) {
            for (const std::size_t field : { 1U, 2U, 3U, 5U }) {
                Json progress = earlierProgress();
                earlierTaskOf(progress)[field] = number;
                CPPUNIT_ASSERT_MESSAGE(number.dump(), !isProgress(toMessagePack(progress)));
            }
        }
    }

    // Guards against a small row that makes the leader allocate memory for many tasks.
    void testProgressRowOfMoreOccurrencesOrTasksThanTheJobHasIsRejected()
    {
        Json progress = Json::from_msgpack(validProgress());
        completedOf(progress) = Json::array({ 0, 1 });
        CPPUNIT_ASSERT(!isProgress(toMessagePack(progress)));
        progress = Json::from_msgpack(validProgress());
        progress[6].push_back(occurrenceOf(progress));
        CPPUNIT_ASSERT(!isProgress(toMessagePack(progress)));
        progress = Json::from_msgpack(validProgress());
        occurrenceOf(progress).push_back(true);
        occurrenceOf(progress).push_back(true);
        CPPUNIT_ASSERT(!isProgress(toMessagePack(progress)));
        progress = Json::from_msgpack(validProgress());
        taskOf(progress)[0] = 1;
        CPPUNIT_ASSERT(!isProgress(toMessagePack(progress)));
        progress = earlierProgress();
        progress[2].push_back(progress[2][0]);
        CPPUNIT_ASSERT(!isProgress(toMessagePack(progress)));
    }

    void testLeaseRowWithNumberOutOfRangeIsRejected()
    {
        const Json valid = Json::array({ "host/1", 3, 4, Json::object(), 5, 6 });
        CPPUNIT_ASSERT(decodeLease(toMessagePack(valid)).has_value());
        for (const Json& number : std::vector<Json> { -1, 18'446'744'073'709'551'615U, 1e300 }) {
            for (const std::size_t field : { 1U, 2U, 4U, 5U }) {
                Json lease = valid;
                lease[field] = number;
                CPPUNIT_ASSERT_MESSAGE(number.dump(), !decodeLease(toMessagePack(lease)).has_value());
            }
        }
    }

    void testMutatedRowsAreDecodedOrRejected()
    {
        constexpr int rounds = 40'000;
        std::mt19937_64 random(18);
        const std::string job = encodeJob(validJob());
        const std::string progress = validProgress();
        const std::string earlier = toMessagePack(earlierProgress());
        const std::string lease = encodeLease({ "host/1", 3, 4, { { { "small", 2 } }, 6 }, 5 });
        int accepted = 0;
        for (int round = 0; round < rounds; ++round) {
            for (const std::string& row : { job, progress, earlier, lease })
                accepted += isAccepted(mutated(row, random));
            if (const auto decoded = decodeJob(mutated(job, random))) {
                JobProgress restored(*decoded);
                restored.openDueOccurrences(WallTime(Milliseconds(1)));
                restored.readyUnits();
                decoded->objective();
            }
        }
        CPPUNIT_ASSERT(accepted > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchForeignRowTest);

} // namespace anvilmoor::batch
