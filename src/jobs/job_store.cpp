#include "jobs/job_store.h"
#include "jobs/table_rows.h"

#include <utility>

namespace anvilmoor {

namespace {

constexpr Milliseconds retryInterval { 300 };

} // namespace

JobStore::JobStore(AvailabilityZoneId zone, std::string ownerKey, OperationCounter& counter)
    : m_zone(std::move(zone))
    , m_ownerKey(std::move(ownerKey))
    , m_jobPrefix(jobPrefix(m_zone))
    , m_cancelPrefix(jobCancelPrefix(m_zone))
    , m_newPrefix(jobNewPrefix(m_zone))
    , m_expiryPrefix(jobExpiryPrefix(m_zone))
    , m_counter(counter)
{
}

const JobEntry* JobStore::find(const JobId& job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

void JobStore::adopt(const TableRow& row, Step& step) { take(row, step.now); }

void JobStore::put(const JobId& job, JobRecord record, const HeldRole& role, Step& step)
{
    const auto entry = m_jobs.find(job);
    if (entry == m_jobs.end() || isTerminal(entry->second.record.status.state))
        return;
    std::string value = encodeJob(record);
    const auto found = m_writes.find(job);
    if (found == m_writes.end() && value == entry->second.value) {
        m_changed.insert(job);
        return;
    }
    PendingWrite& write = m_writes[job];
    write.wanted = std::move(record);
    write.wantedValue = std::move(value);
    if (found == m_writes.end())
        write.dueAt = step.now;
    advance(job, write, role, step);
}

void JobStore::advance(const JobId& job, PendingWrite& write, const HeldRole& role, Step& step)
{
    const bool isInFlight = write.stage == WriteStage::Writing || write.stage == WriteStage::Reading;
    if (isInFlight && step.now - write.sentAt >= operationTimeout) {
        m_writeOperations.erase(write.operation);
        write.stage = WriteStage::MustRead;
    } else if (isInFlight) {
        return;
    }
    if (step.now < write.dueAt || m_isFenced)
        return;
    if (write.stage == WriteStage::MustRead)
        sendRead(job, write, step);
    else
        sendWrite(job, write, role, step);
}

void JobStore::sendWrite(const JobId& job, PendingWrite& write, const HeldRole& role, Step& step)
{
    write.sent = write.wanted;
    write.sentValue = write.wantedValue;
    const JobEntry& entry = m_jobs.at(job);
    TableTransaction transaction;
    transaction.conditions = { { m_ownerKey, role.ownerVersion }, { jobRowKey(job), entry.version } };
    const JobStatus& status = write.sent.status;
    if (isTerminal(status.state)) {
        const std::string indexKey = jobKeyRowKey(status.specification.account, status.specification.key);
        transaction.writes = { { jobRowKey(job), std::nullopt }, { jobDoneRowKey(job), write.sentValue },
            { jobExpiryRowKey(job), encodeJobExpiry({ status.finishedAt, indexKey }) } };
        if (entry.isCancelRequested)
            transaction.writes.push_back({ jobCancelRowKey(job), std::nullopt });
    } else {
        transaction.writes = { { jobRowKey(job), write.sentValue } };
    }
    step.emit(ExecuteTransaction { begin(job, write, WriteStage::Writing, step), std::move(transaction) });
}

OperationId JobStore::begin(const JobId& job, PendingWrite& write, WriteStage stage, Step& step)
{
    const OperationId id = m_counter.next();
    m_writeOperations.emplace(id.sequence, job);
    write.operation = id.sequence;
    write.sentAt = step.now;
    write.stage = stage;
    return id;
}

void JobStore::sendRead(const JobId& job, PendingWrite& write, Step& step)
{
    step.emit(ReadTable {
        begin(job, write, WriteStage::Reading, step), { { jobRowKey(job), jobDoneRowKey(job) }, {} } });
}

void JobStore::tick(const HeldRole& role, Step& step)
{
    for (auto& [job, write] : m_writes)
        advance(job, write, role, step);
    const std::size_t lost = std::erase_if(
        m_removals, [&](const auto& removal) { return step.now - removal.second >= operationTimeout; });
    m_areExpiriesRead = m_areExpiriesRead && !lost;
    deleteMarkers(role, step);
}

void JobStore::forgetOperations()
{
    m_writes.clear();
    m_writeOperations.clear();
    m_reads.clear();
    m_removals.clear();
    m_uselessCancellations.clear();
    m_deletableMarkers.clear();
    m_expiries.clear();
    m_expiryOperation = 0;
    m_areExpiriesRead = false;
    m_pollOperation = 0;
    m_lastPoll.reset();
    m_lastAnswer.reset();
    m_isFenced = false;
}

bool JobStore::handle(const TableReplied& replied, const std::optional<HeldRole>& role, Step& step)
{
    const std::uint64_t operation = replied.operation.sequence;
    if (operation == m_pollOperation && m_pollOperation) {
        m_pollOperation = 0;
        pollReplied(replied.reply, step);
        return true;
    }
    if (operation == m_expiryOperation && m_expiryOperation) {
        m_expiryOperation = 0;
        takeExpiries(replied.reply);
        return true;
    }
    if (const auto read = m_reads.find(operation); read != m_reads.end()) {
        const JobId job = read->second;
        m_reads.erase(read);
        readReplied(job, replied.reply);
        return true;
    }
    if (m_removals.erase(operation)) {
        // After a failed deletion, the rows may still exist: read all expiry rows again.
        m_areExpiriesRead = m_areExpiriesRead && replied.reply.status == TableStatus::Ok;
        return true;
    }
    const auto found = m_writeOperations.find(operation);
    if (found == m_writeOperations.end())
        return false;
    const JobId job = found->second;
    m_writeOperations.erase(found);
    const auto write = m_writes.find(job);
    if (write == m_writes.end() || write->second.operation != operation)
        return true;
    if (write->second.stage == WriteStage::Writing)
        writeReplied(job, replied.reply, role, step);
    else if (write->second.stage == WriteStage::Reading)
        readBackReplied(job, replied.reply, role, step);
    return true;
}

void JobStore::writeReplied(
    const JobId& job, const TableReply& reply, const std::optional<HeldRole>& role, Step& step)
{
    PendingWrite& write = m_writes.at(job);
    JobEntry& entry = m_jobs.at(job);
    write.dueAt = step.now;
    const bool isEnd = isTerminal(write.sent.status.state);
    const TableRow* row = findRow(reply, isEnd ? jobDoneRowKey(job) : jobRowKey(job));
    if (reply.status == TableStatus::Ok && row && row->version) {
        entry.version = row->version;
        entry.value = write.sentValue;
        entry.record = write.sent;
        entry.knownAt = step.now;
        if (isEnd) {
            ended(job, entry.record.status);
            entry.isCancelRequested = false;
            finishWrite(job);
            return;
        }
        if (write.sentValue == write.wantedValue) {
            finishWrite(job);
            return;
        }
        write.stage = WriteStage::MustWrite;
    } else if (reply.status == TableStatus::Unavailable) {
        write.stage = WriteStage::MustWrite;
        write.dueAt = step.now + retryInterval;
    } else {
        write.stage = WriteStage::MustRead;
        if (reply.status == TableStatus::Conflict && findRow(reply, m_ownerKey)) {
            m_isFenced = true;
            return;
        }
    }
    if (role)
        advance(job, write, *role, step);
}

void JobStore::readBackReplied(
    const JobId& job, const TableReply& reply, const std::optional<HeldRole>& role, Step& step)
{
    PendingWrite& write = m_writes.at(job);
    if (reply.status != TableStatus::Ok) {
        write.stage = WriteStage::MustRead;
        write.dueAt = step.now + retryInterval;
        return;
    }
    const TableRow* done = findRow(reply, jobDoneRowKey(job));
    if (std::optional<JobRecord> record = done ? decodeJob(done->value) : std::nullopt) {
        JobEntry& entry = m_jobs.at(job);
        entry = { std::move(*record), done->version, done->value, false, step.now };
        ended(job, entry.record.status);
        finishWrite(job);
        return;
    }
    const TableRow* row = findRow(reply, jobRowKey(job));
    if (!row) {
        // The row was deleted, which happens only after the retention period.
        m_writes.erase(job);
        m_jobs.erase(job);
        m_changed.insert(job);
        return;
    }
    JobEntry& entry = m_jobs.at(job);
    if (row->version > entry.version) {
        entry.version = row->version;
        entry.value = row->value;
        if (std::optional<JobRecord> record = decodeJob(row->value))
            entry.record = std::move(*record);
        entry.knownAt = step.now;
    }
    if (entry.value == write.wantedValue) {
        finishWrite(job);
        return;
    }
    write.stage = WriteStage::MustWrite;
    write.dueAt = step.now;
    if (role)
        advance(job, write, *role, step);
}

void JobStore::finishWrite(const JobId& job)
{
    m_writes.erase(job);
    m_changed.insert(job);
}

void JobStore::ended(const JobId& job, const JobStatus& status)
{
    m_expiries[job]
        = { status.finishedAt, jobKeyRowKey(status.specification.account, status.specification.key) };
}

std::set<JobId> JobStore::takeChanged() { return std::exchange(m_changed, {}); }

} // namespace anvilmoor
