#include "batch/jobs/progress_codec.h"

#include "anvilmoor/batch/bounds.h"
#include "batch/store/message_pack.h"

#include <algorithm>
#include <cstdint>
#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>
#include <xxhash.h>

namespace anvilmoor::batch {

namespace {

using Json = nlohmann::json;

// Follows the state and the flag that the job has begun. In the earlier format, a list stands there instead,
// so that daemons which read only that format reject the row.
constexpr int formatVersion = 2;

constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
// Upper limit of what a checkpoint takes beside its text: the length, and fields that could be left out
// without it.
constexpr std::size_t checkpointOverhead = 16;
constexpr unsigned bitsPerByte = 8;

int ordinal(const Json& value) { return static_cast<int>(integerIn(value, 0, maxOrdinal)); }

JobState jobState(const Json& value)
{
    return static_cast<JobState>(integerIn(value, 0, static_cast<int>(JobState::Cancelled)));
}

// Identifies the numbers of steps and tasks of a job.
std::uint32_t shapeOf(const JobSpecification& job)
{
    std::vector<int> counts;
    for (const StepSpecification& step : job.steps)
        counts.push_back(step.taskCount);
    return XXH32(counts.data(), counts.size() * sizeof(int), 0);
}

// The assigned workers of a job, each once. Tasks refer to them by number, from 1 on.
class WorkerTable {
public:
    int numberOf(const WorkerLifetime& worker)
    {
        const auto [position, isNew] = m_numbers.try_emplace(worker, static_cast<int>(m_numbers.size()) + 1);
        if (isNew) {
            m_rows.push_back(worker.id.value());
            m_rows.push_back(worker.startedAtMs);
        }
        return position->second;
    }
    Json takeRows() { return std::move(m_rows); }

private:
    std::map<WorkerLifetime, int> m_numbers;
    Json m_rows = Json::array();
};

// Encodes one record, with at most the given bytes of optional content.
class ProgressEncoder {
public:
    ProgressEncoder(const ProgressRecord& record, const JobSpecification& job, std::size_t optionalBytes)
        : m_record(record)
        , m_job(job)
        , m_hasEnded(isTerminal(record.state))
        , m_optionalBytes(optionalBytes)
    {
    }

    std::string encode()
    {
        Json completed = Json::array();
        for (const OccurrenceSet::Range& range : m_record.completed.ranges()) {
            completed.push_back(range.first);
            completed.push_back(range.count);
        }
        // No task of a job that has ended runs again, so only its assignments are needed.
        if (m_hasEnded)
            completed = Json::array();
        Json occurrences = Json::array();
        for (const auto& [number, steps] : m_record.open) {
            Json row = encodeOccurrence(number, steps);
            if (row.size() > 1)
                occurrences.push_back(std::move(row));
        }
        return toMessagePack(Json::array({ static_cast<int>(m_record.state), m_record.hasBegun, formatVersion,
            shapeOf(m_job), m_workers.takeRows(), std::move(completed), std::move(occurrences) }));
    }

private:
    // The number of the occurrence, then its steps without trailing ones that have not begun.
    Json encodeOccurrence(int number, const OccurrenceProgress& steps)
    {
        Json row = Json::array({ number });
        std::size_t size = row.size();
        for (const StepProgress& step : steps) {
            row.push_back(encodeStep(step));
            if (row.back() != Json(false))
                size = row.size();
        }
        row.erase(row.begin() + static_cast<std::ptrdiff_t>(size), row.end());
        return row;
    }

    // True if the step is done, false if it has not begun, otherwise the bits of the tasks that are done and
    // the other tasks that have begun.
    Json encodeStep(const StepProgress& step)
    {
        if (!m_hasEnded && step.isDone() && !step.hasAssignment())
            return true;
        std::vector<std::uint8_t> done;
        Json tasks = Json::array();
        std::size_t next = 0;
        for (std::size_t index = 0; index < step.tasks.size(); ++index) {
            const TaskProgress& task = step.tasks[index];
            if (task.isDone && !m_hasEnded) {
                done.resize(step.tasks.size() / bitsPerByte + 1);
                done[index / bitsPerByte] |= static_cast<std::uint8_t>(1U << (index % bitsPerByte));
            }
            if (!isEncoded(task))
                continue;
            tasks.push_back(encodeTask(task, static_cast<int>(index - next)));
            next = index + 1;
        }
        if (done.empty() && tasks.empty())
            return false;
        return Json::array({ Json::binary(std::move(done)), std::move(tasks) });
    }

    bool isEncoded(const TaskProgress& task)
    {
        if (!m_hasEnded)
            return task.assignment || (!task.isDone && task.lastRun);
        constexpr std::size_t taskBytes = 48;
        return task.assignment && takeOptional(taskBytes + task.assignment->worker.id.value().size());
    }

    // The number of tasks that are left out before it, then its fields without trailing ones that are zero.
    Json encodeTask(const TaskProgress& task, int skipped)
    {
        const int worker = task.assignment ? m_workers.numberOf(task.assignment->worker) : 0;
        Json row = Json::array({ skipped, task.lastRun, worker, task.failures, task.lastFailedRun });
        const std::string& checkpoint = task.checkpoint;
        if (!m_hasEnded && !checkpoint.empty() && takeOptional(checkpoint.size() + checkpointOverhead)) {
            row.push_back(checkpoint);
            return row;
        }
        while (row.back() == Json(0) && row.size() > 2)
            row.erase(row.size() - 1);
        return row;
    }

    bool takeOptional(std::size_t bytes)
    {
        if (bytes > m_optionalBytes)
            return false;
        m_optionalBytes -= bytes;
        return true;
    }

    const ProgressRecord& m_record;
    const JobSpecification& m_job;
    const bool m_hasEnded;
    std::size_t m_optionalBytes;
    WorkerTable m_workers;
};

std::vector<WorkerLifetime> decodeWorkers(const Json& rows)
{
    std::vector<WorkerLifetime> workers;
    for (std::size_t i = 0; i < rows.size(); i += 2)
        workers.push_back({ WorkerId(rows.at(i).get<std::string>()), rows.at(i + 1).get<std::int64_t>() });
    return workers;
}

class ProgressDecoder {
public:
    ProgressDecoder(const JobSpecification& job, const Json& row)
        : m_job(job)
        , m_row(row)
        , m_occurrenceLimit(std::max(job.schedule.occurrences, 1))
    {
        for (const StepSpecification& step : job.steps)
            m_tasksPerOccurrence += static_cast<std::size_t>(step.taskCount);
    }

    ProgressRecord decode()
    {
        ProgressRecord record;
        record.state = jobState(m_row.at(0));
        record.hasBegun = m_row.at(1).get<bool>();
        if (m_row.at(2).is_array()) {
            decodeEarlierFormat(record);
            return record;
        }
        if (integerIn(m_row.at(2), formatVersion, formatVersion) != formatVersion)
            throw RowError("another format");
        if (m_row.at(3).get<std::uint32_t>() != shapeOf(m_job))
            throw RowError("stored numbers of steps or tasks differ from those of the job");
        m_workers = decodeWorkers(m_row.at(4));
        decodeCompleted(m_row.at(5), record.completed);
        for (const Json& row : m_row.at(6)) {
            const int number = occurrenceNumber(row.at(0));
            if (record.completed.contains(number))
                throw RowError("an occurrence is both open and completed");
            addOpen(number, decodeOccurrence(row), record);
        }
        return record;
    }

private:
    int occurrenceNumber(const Json& value) const
    {
        return static_cast<int>(integerIn(value, 0, m_occurrenceLimit - 1));
    }

    void decodeCompleted(const Json& ranges, OccurrenceSet& completed) const
    {
        for (std::size_t i = 0; i < ranges.size(); i += 2) {
            const int first = occurrenceNumber(ranges.at(i));
            const auto count = static_cast<int>(integerIn(ranges.at(i + 1), 1, m_occurrenceLimit - first));
            if (!completed.append({ first, count }))
                throw RowError("ranges of occurrences overlap");
        }
    }

    // A row of a few bytes may name many tasks, so their number is limited as well.
    void addOpen(int number, OccurrenceProgress occurrence, ProgressRecord& record) const
    {
        const bool isTooLarge
            = !record.open.empty() && (record.open.size() + 1) * m_tasksPerOccurrence > maxOpenTasks;
        if (isTooLarge || !record.open.emplace(number, std::move(occurrence)).second)
            throw RowError("too many open occurrences, or one of them twice");
    }

    OccurrenceProgress decodeOccurrence(const Json& row) const
    {
        OccurrenceProgress steps = emptyOccurrence(m_job);
        if (row.size() > steps.size() + 1)
            throw RowError("more steps than the job has");
        for (std::size_t step = 1; step < row.size(); ++step)
            decodeStep(row.at(step), steps[step - 1]);
        return steps;
    }

    void decodeStep(const Json& row, StepProgress& step) const
    {
        if (row.is_boolean()) {
            for (TaskProgress& task : step.tasks)
                task.isDone = row.get<bool>();
            return;
        }
        const auto& done = row.at(0).get_binary();
        for (std::size_t index = 0; index < step.tasks.size() && !done.empty(); ++index)
            step.tasks[index].isDone = (done.at(index / bitsPerByte) >> (index % bitsPerByte)) & 1U;
        std::size_t next = 0;
        for (const Json& entry : row.at(1)) {
            const std::size_t index = next + static_cast<std::size_t>(ordinal(entry.at(0)));
            decodeTask(entry, step.tasks.at(index));
            next = index + 1;
        }
    }

    void decodeTask(const Json& row, TaskProgress& task) const
    {
        const auto number
            = [&row](std::size_t field) { return field < row.size() ? ordinal(row[field]) : 0; };
        task.lastRun = ordinal(row.at(1));
        task.lastRunWhenRestored = task.lastRun;
        if (const int worker = number(2))
            task.assignment = Assignment { m_workers.at(static_cast<std::size_t>(worker) - 1), task.lastRun };
        task.failures = number(3);
        task.lastFailedRun = number(4);
        if (row.size() > 5)
            task.checkpoint = row[5].get<std::string>();
    }

    // All occurrences that were due, with all tasks: whether it is done, its last run, its failures, its last
    // failed run, its checkpoint and, for an assigned one, the run and the worker.
    void decodeEarlierFormat(ProgressRecord& record) const
    {
        int number = 0;
        for (const Json& steps : m_row.at(2)) {
            OccurrenceProgress occurrence = decodeEarlierOccurrence(steps);
            if (number >= m_occurrenceLimit)
                throw RowError("more occurrences than the job has");
            const bool isCompleted = std::all_of(occurrence.begin(), occurrence.end(),
                [](const StepProgress& step) { return step.isDone() && !step.hasAssignment(); });
            if (isCompleted)
                record.completed.add(number);
            else
                record.open.emplace(number, std::move(occurrence));
            ++number;
        }
    }

    OccurrenceProgress decodeEarlierOccurrence(const Json& rows) const
    {
        OccurrenceProgress steps = emptyOccurrence(m_job);
        if (rows.size() != steps.size())
            throw RowError("stored steps differ from those of the job");
        for (std::size_t step = 0; step < steps.size(); ++step) {
            std::vector<TaskProgress>& tasks = steps[step].tasks;
            if (rows.at(step).size() != tasks.size())
                throw RowError("stored task counts differ from those of the job");
            for (std::size_t index = 0; index < tasks.size(); ++index)
                tasks[index] = decodeEarlierTask(rows.at(step).at(index));
        }
        return steps;
    }

    static TaskProgress decodeEarlierTask(const Json& row)
    {
        TaskProgress task { row.at(0).get<bool>(), ordinal(row.at(1)), ordinal(row.at(2)), ordinal(row.at(3)),
            row.at(4).get<std::string>(), std::nullopt };
        task.lastRunWhenRestored = task.lastRun;
        if (row.size() > 5) {
            const WorkerLifetime worker { WorkerId(row.at(6).get<std::string>()),
                row.at(7).get<std::int64_t>() };
            task.assignment = Assignment { worker, ordinal(row.at(5)) };
        }
        return task;
    }

    const JobSpecification& m_job;
    const Json& m_row;
    const int m_occurrenceLimit;
    std::size_t m_tasksPerOccurrence = 0;
    std::vector<WorkerLifetime> m_workers;
};

} // namespace

std::size_t progressBytesWithoutCheckpoints(const ProgressRecord& record, const JobSpecification& job)
{
    return ProgressEncoder(record, job, 0).encode().size();
}

std::string encodeProgress(const ProgressRecord& record, const JobSpecification& job, std::size_t maxBytes)
{
    std::string whole = ProgressEncoder(record, job, unlimited).encode();
    if (whole.size() <= maxBytes)
        return whole;
    std::string reduced = ProgressEncoder(record, job, 0).encode();
    if (reduced.size() >= maxBytes)
        return reduced;
    return ProgressEncoder(record, job, maxBytes - reduced.size()).encode();
}

tl::expected<ProgressRecord, RowCodecError> decodeProgress(
    std::string_view bytes, const JobSpecification& job)
{
    try {
        const Json row = fromMessagePack(bytes);
        return ProgressDecoder(job, row).decode();
    } catch (const std::exception& error) {
        return tl::unexpected(
            RowCodecError { fmt::format("cannot decode job progress row: {}", error.what()) });
    }
}

tl::expected<JobState, RowCodecError> decodeJobState(std::string_view bytes)
{
    try {
        const Json row = fromMessagePack(bytes);
        return jobState(row.at(0));
    } catch (const std::exception& error) {
        return tl::unexpected(
            RowCodecError { fmt::format("cannot decode job progress row: {}", error.what()) });
    }
}

} // namespace anvilmoor::batch
