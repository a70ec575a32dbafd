#pragma once

#include "anvilmoor/job.h"

#include <optional>
#include <string>
#include <string_view>

namespace anvilmoor {

// Content of a job's table row.
struct JobRecord {
    JobStatus status;
    int failedAttempts = 0; // failures that count against the job
    int excusedFailures = 0; // not counted against the job: the worker fails other jobs too
};

// Content of an idempotency key's table row: the job that was submitted with the key.
struct JobKeyRecord {
    JobId job;
    std::string digest; // of the specification as submitted
};

// Determines when an ended job's rows are deleted. Small, so that a new role holder can read the records of
// all ended jobs of its zone.
struct JobExpiryRecord {
    WallTime finishedAt {};
    std::string indexKey; // of the idempotency key's row
};

// Prefix of the rows of jobs that have not ended.
std::string jobPrefix(const AvailabilityZoneId&);
// Prefix of the rows of ended jobs.
std::string jobDonePrefix(const AvailabilityZoneId&);
// Prefix of marker rows for submitted jobs that the zone's role holder has not read yet.
std::string jobNewPrefix(const AvailabilityZoneId&);
std::string jobExpiryPrefix(const AvailabilityZoneId&);
std::string jobCancelPrefix(const AvailabilityZoneId&);
// Precondition of the functions that take a job: zoneOf(job) is not empty.
std::string jobRowKey(const JobId&);
std::string jobDoneRowKey(const JobId&);
std::string jobNewRowKey(const JobId&);
std::string jobExpiryRowKey(const JobId&);
std::string jobCancelRowKey(const JobId&);
std::string jobKeyRowKey(const ClientAccountId&, const std::string& key);

// "<zone>.<16 hex digits>"; the digits are a hash of account and key. Every daemon computes the same id.
JobId jobIdFor(const AvailabilityZoneId&, const ClientAccountId&, const std::string& key);
// Zone in the job's id. Empty if the id is malformed.
std::optional<AvailabilityZoneId> zoneOf(const JobId&);

// Hash that detects the reuse of an idempotency key for another specification.
std::string specificationDigest(const JobSpecification&);

std::string encodeJob(const JobRecord&);
// Empty if malformed.
std::optional<JobRecord> decodeJob(std::string_view);
std::string encodeJobKey(const JobKeyRecord&);
std::optional<JobKeyRecord> decodeJobKey(std::string_view);
std::string encodeJobExpiry(const JobExpiryRecord&);
std::optional<JobExpiryRecord> decodeJobExpiry(std::string_view);

bool isTerminal(JobState);

} // namespace anvilmoor
