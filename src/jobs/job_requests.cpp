#include "jobs/job_requests.h"

#include "jobs/table_rows.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace anvilmoor {

namespace {

constexpr std::size_t maxCalls = 2'000;
constexpr int maxTries = 4;

std::vector<std::string> rowKeysOf(const JobId& job) { return { jobRowKey(job), jobDoneRowKey(job) }; }

// Finds the job's row, whether or not the job has ended.
const TableRow* findJobRow(const TableReply& reply, const JobId& job)
{
    const TableRow* done = findPresentRow(reply, jobDoneRowKey(job));
    return done ? done : findPresentRow(reply, jobRowKey(job));
}

// Returns nullopt if the job has no row, or one that cannot be read.
std::optional<JobRecord> findJob(const TableReply& reply, const JobId& job)
{
    const TableRow* row = findJobRow(reply, job);
    return row ? decodeJob(row->value) : std::nullopt;
}

} // namespace

JobRequests::JobRequests(const DaemonSettings& settings, const JobAdmission& admission, JobStore& own,
    OperationCounter& counter, WaitReason waitReason)
    : m_settings(settings)
    , m_admission(admission)
    , m_store(own)
    , m_counter(counter)
    , m_waitReason(std::move(waitReason))
{
}

bool JobRequests::accept(CallerHandle caller, Step& step)
{
    if (!m_isStopping && m_calls.size() < maxCalls)
        return true;
    const std::string reason = m_isStopping ? "this daemon is stopping; ask another one"
                                            : "too many calls about jobs are open; try again";
    step.emit(AnswerOperator { caller, Refusal { RefusalKind::Unavailable, { reason } } });
    return false;
}

void JobRequests::handle(const JobSubmitted& submitted, const ZoneSummary* own, Step& step)
{
    if (!accept(submitted.caller, step))
        return;
    std::variant<JobSpecification, Refusal> checked = m_admission.check(submitted.specification, own);
    if (Refusal* refusal = std::get_if<Refusal>(&checked)) {
        refuseUnlessKnown(submitted, std::move(*refusal), step);
        return;
    }
    Call call;
    call.caller = submitted.caller;
    JobStatus& status = call.record.status;
    status.specification = std::get<JobSpecification>(std::move(checked));
    status.specification.id
        = jobIdFor(status.specification.zone, status.specification.account, status.specification.key);
    status.submittedAt = step.wallTime;
    call.job = status.specification.id;
    call.digest = specificationDigest(submitted.specification);
    sendCreate(std::move(call), step);
}

void JobRequests::refuseUnlessKnown(const JobSubmitted& submitted, Refusal refusal, Step& step)
{
    if (!JobAdmission::isWellFormed(submitted.specification)) {
        step.emit(AnswerOperator { submitted.caller, std::move(refusal) });
        return;
    }
    Call call;
    call.caller = submitted.caller;
    call.stage = Stage::ReadingBeforeRefusal;
    call.record.status.specification = submitted.specification;
    call.digest = specificationDigest(submitted.specification);
    call.refusal = std::move(refusal);
    std::vector<std::string> keys { jobKeyRowKey(
        submitted.specification.account, submitted.specification.key) };
    sendRead(std::move(call), std::move(keys), step);
}

void JobRequests::beforeRefusalReplied(Call call, const TableReply& reply, Step& step)
{
    const JobSpecification& specification = call.record.status.specification;
    const TableRow* index = reply.status == TableStatus::Ok
        ? findPresentRow(reply, jobKeyRowKey(specification.account, specification.key))
        : nullptr;
    if (!index) {
        step.emit(AnswerOperator { call.caller, std::move(call.refusal) });
        return;
    }
    const std::optional<JobKeyRecord> existing = decodeJobKey(index->value);
    if (existing && existing->digest == call.digest)
        readExisting(std::move(call), *existing, step);
    else
        refuseOtherContent(call, step);
}

void JobRequests::readExisting(Call call, const JobKeyRecord& existing, Step& step)
{
    call.job = existing.job;
    call.stage = Stage::ReadingExisting;
    std::vector<std::string> keys = rowKeysOf(call.job);
    sendRead(std::move(call), std::move(keys), step);
}

void JobRequests::refuseOtherContent(const Call& call, Step& step)
{
    refuse(call, RefusalKind::Conflict,
        "key: \"" + call.record.status.specification.key + "\" was used for a job with another specification",
        step);
}

void JobRequests::handle(const JobQueried& queried, Step& step)
{
    readJob(queried.caller, queried.job, Stage::Querying, step);
}

void JobRequests::readJob(CallerHandle caller, const JobId& job, Stage stage, Step& step)
{
    if (!accept(caller, step))
        return;
    Call call;
    call.caller = caller;
    call.job = job;
    call.stage = stage;
    if (!zoneOf(job)) {
        refuseMissing(call, step);
        return;
    }
    sendRead(std::move(call), rowKeysOf(job), step);
}

void JobRequests::handle(const JobsListed& listed, const Configuration* configuration, Step& step)
{
    if (!accept(listed.caller, step))
        return;
    Call call;
    call.caller = listed.caller;
    call.account = listed.account;
    call.stage = Stage::Listing;
    TableRead read;
    if (configuration) {
        for (const AvailabilityZoneConfiguration& zone : configuration->zones) {
            read.prefixes.push_back(jobPrefix(zone.id));
            read.prefixes.push_back(jobDonePrefix(zone.id));
        }
    } else {
        read.prefixes = { jobPrefix(m_settings.zone), jobDonePrefix(m_settings.zone) };
    }
    step.emit(ReadTable { open(std::move(call), step), std::move(read) });
}

void JobRequests::handle(const JobCancelRequested& requested, Step& step)
{
    readJob(requested.caller, requested.job, Stage::ReadingForCancel, step);
}

void JobRequests::tick(Step& step)
{
    std::vector<std::uint64_t> overdue;
    for (const auto& [operation, call] : m_calls) {
        if (step.now - call.sentAt >= operationTimeout)
            overdue.push_back(operation);
    }
    for (const std::uint64_t operation : overdue)
        handle(TableReplied { { ModuleId::Jobs, operation }, { TableStatus::Unknown, {} } }, step);
}

bool JobRequests::handle(const TableReplied& replied, Step& step)
{
    const auto found = m_calls.find(replied.operation.sequence);
    if (found == m_calls.end())
        return false;
    Call call = std::move(found->second);
    m_calls.erase(found);
    switch (call.stage) {
    case Stage::Writing:
        createReplied(std::move(call), replied.reply, step);
        break;
    case Stage::ReadingBack:
        readBackReplied(std::move(call), replied.reply, step);
        break;
    case Stage::ReadingExisting:
        existingReplied(call, replied.reply, step);
        break;
    case Stage::ReadingBeforeRefusal:
        beforeRefusalReplied(std::move(call), replied.reply, step);
        break;
    case Stage::Querying:
        queryReplied(call, replied.reply, step);
        break;
    case Stage::Listing:
        listReplied(call, replied.reply, step);
        break;
    case Stage::ReadingForCancel:
        cancelReadReplied(std::move(call), replied.reply, step);
        break;
    case Stage::Cancelling:
        cancelReplied(std::move(call), replied.reply, step);
        break;
    }
    return true;
}

OperationId JobRequests::open(Call call, Step& step)
{
    const OperationId id = m_counter.next();
    call.sentAt = step.now;
    m_calls.emplace(id.sequence, std::move(call));
    return id;
}

void JobRequests::sendCreate(Call call, Step& step)
{
    const JobSpecification& specification = call.record.status.specification;
    const std::string rowKey = jobRowKey(call.job);
    const std::string indexKey = jobKeyRowKey(specification.account, specification.key);
    TableTransaction transaction;
    transaction.conditions = { { rowKey, 0 }, { indexKey, 0 } };
    transaction.writes = { { rowKey, encodeJob(call.record) },
        { indexKey, encodeJobKey({ call.job, call.digest }) }, { jobNewRowKey(call.job), "{}" } };
    call.stage = Stage::Writing;
    ++call.tries;
    step.emit(ExecuteTransaction { open(std::move(call), step), std::move(transaction) });
}

void JobRequests::sendRead(Call call, std::vector<std::string> keys, Step& step)
{
    step.emit(ReadTable { open(std::move(call), step), { std::move(keys), {} } });
}

void JobRequests::sendCancel(Call call, Step& step)
{
    TableTransaction transaction;
    transaction.writes = { { jobCancelRowKey(call.job), "{}" } };
    call.stage = Stage::Cancelling;
    ++call.tries;
    step.emit(ExecuteTransaction { open(std::move(call), step), std::move(transaction) });
}

void JobRequests::refuse(const Call& call, RefusalKind kind, std::string reason, Step& step)
{
    step.emit(AnswerOperator { call.caller, Refusal { kind, { std::move(reason) } } });
}

void JobRequests::refuseMissing(const Call& call, Step& step)
{
    refuse(call, RefusalKind::NotFound, "job \"" + call.job.value() + "\" does not exist", step);
}

void JobRequests::answer(const Call& call, const JobRecord& record, Step& step)
{
    JobStatus status = record.status;
    if (status.state == JobState::Queued) {
        // The reason that the role holder has in memory is newer than the one in the row.
        std::string reason = m_waitReason(status.specification.id);
        if (!reason.empty())
            status.reason = std::move(reason);
    }
    step.emit(AnswerOperator { call.caller, JobsAnswer { { std::move(status) }, true } });
}

void JobRequests::createReplied(Call call, const TableReply& reply, Step& step)
{
    const JobSpecification& specification = call.record.status.specification;
    if (reply.status == TableStatus::Ok) {
        const TableRow* row = findPresentRow(reply, jobRowKey(call.job));
        accepted(call, row ? row->version : 0, step);
        return;
    }
    if (reply.status == TableStatus::Unavailable && !call.mayHaveWritten) {
        refuse(call, RefusalKind::Unavailable,
            "the table is unreachable; the job was not accepted, submit it again", step);
        return;
    }
    call.mayHaveWritten = call.mayHaveWritten || reply.status == TableStatus::Unknown;
    std::vector<std::string> keys = rowKeysOf(call.job);
    keys.push_back(jobKeyRowKey(specification.account, specification.key));
    call.stage = Stage::ReadingBack;
    sendRead(std::move(call), std::move(keys), step);
}

void JobRequests::readBackReplied(Call call, const TableReply& reply, Step& step)
{
    const JobSpecification& specification = call.record.status.specification;
    if (reply.status != TableStatus::Ok) {
        refuse(call, call.mayHaveWritten ? RefusalKind::Unknown : RefusalKind::Unavailable,
            "the table did not answer; submit the job again with the same key", step);
        return;
    }
    const TableRow* index = findPresentRow(reply, jobKeyRowKey(specification.account, specification.key));
    if (!index) {
        // Not written yet. Both writes require that the rows are absent, so a delayed first write and its
        // repetition cannot both succeed.
        if (call.tries < maxTries)
            sendCreate(std::move(call), step);
        else
            refuse(call, call.mayHaveWritten ? RefusalKind::Unknown : RefusalKind::Unavailable,
                "the job's row could not be written; submit the job again with the same key", step);
        return;
    }
    const std::optional<JobKeyRecord> existing = decodeJobKey(index->value);
    if (!existing || existing->digest != call.digest) {
        refuseOtherContent(call, step);
        return;
    }
    if (existing->job == call.job) {
        existingReplied(call, reply, step);
        return;
    }
    readExisting(std::move(call), *existing, step);
}

void JobRequests::existingReplied(const Call& call, const TableReply& reply, Step& step)
{
    const TableRow* row = reply.status == TableStatus::Ok ? findJobRow(reply, call.job) : nullptr;
    const std::optional<JobRecord> record = row ? decodeJob(row->value) : std::nullopt;
    if (!record) {
        refuse(call, RefusalKind::Unknown,
            "the job's row could not be read; submit the job again with the same key", step);
        return;
    }
    // The notice to the zone's daemons may not have been sent after the first write.
    if (record->status.state == JobState::Queued) {
        if (zoneOf(call.job) == m_settings.zone)
            m_store.adopt(*row, step);
        notify(call.job, step);
    }
    answer(call, *record, step);
}

void JobRequests::accepted(const Call& call, RowVersion version, Step& step)
{
    const JobSpecification& specification = call.record.status.specification;
    step.record("job.accepted",
        { { "job", call.job.value() }, { "account", specification.account.value() },
            { "zone", specification.zone.value() } });
    if (version && specification.zone == m_settings.zone)
        m_store.adopt({ jobRowKey(call.job), version, encodeJob(call.record) }, step);
    notify(call.job, step);
    answer(call, call.record, step);
}

void JobRequests::queryReplied(const Call& call, const TableReply& reply, Step& step)
{
    if (reply.status != TableStatus::Ok) {
        if (const JobEntry* entry = m_store.find(call.job))
            answer(call, entry->record, step);
        else
            refuse(call, RefusalKind::Unavailable, "the table is unreachable; ask again", step);
        return;
    }
    const std::optional<JobRecord> record = findJob(reply, call.job);
    if (!record) {
        refuseMissing(call, step);
        return;
    }
    answer(call, *record, step);
}

void JobRequests::listReplied(const Call& call, const TableReply& reply, Step& step)
{
    if (reply.status != TableStatus::Ok) {
        refuse(call, RefusalKind::Unavailable, "the table is unreachable; ask again", step);
        return;
    }
    JobsAnswer answer;
    for (const TableRow& row : reply.rows) {
        std::optional<JobRecord> record = decodeJob(row.value);
        if (!record)
            continue;
        if (!call.account.isEmpty() && record->status.specification.account != call.account)
            continue;
        answer.jobs.push_back(std::move(record->status));
    }
    step.emit(AnswerOperator { call.caller, std::move(answer) });
}

void JobRequests::cancelReadReplied(Call call, const TableReply& reply, Step& step)
{
    if (reply.status != TableStatus::Ok) {
        refuse(call, RefusalKind::Unavailable, "the table is unreachable; the job was not cancelled", step);
        return;
    }
    std::optional<JobRecord> record = findJob(reply, call.job);
    if (!record) {
        refuseMissing(call, step);
        return;
    }
    call.record = std::move(*record);
    if (isTerminal(call.record.status.state)) {
        answer(call, call.record, step);
        return;
    }
    sendCancel(std::move(call), step);
}

void JobRequests::cancelReplied(Call call, const TableReply& reply, Step& step)
{
    if (reply.status == TableStatus::Ok) {
        notify(call.job, step);
        if (zoneOf(call.job) == m_settings.zone)
            m_store.read(call.job, step);
        call.record.status.reason = "cancellation requested";
        answer(call, call.record, step);
        return;
    }
    // The write is unconditional and idempotent, so it can be repeated.
    if (reply.status == TableStatus::Unknown && call.tries < maxTries) {
        sendCancel(std::move(call), step);
        return;
    }
    const bool isCertain = reply.status == TableStatus::Unavailable && call.tries == 1;
    refuse(call, isCertain ? RefusalKind::Unavailable : RefusalKind::Unknown,
        "the table did not answer; cancel the job again", step);
}

void JobRequests::notify(const JobId& job, Step& step)
{
    const std::optional<AvailabilityZoneId> zone = zoneOf(job);
    for (const PeerSetting& peer : m_settings.peers) {
        if (zone && peer.zone == *zone)
            step.emit(SendToPeer { peer.host, JobNotice { *zone, job } });
    }
}

} // namespace anvilmoor
