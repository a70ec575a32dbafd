#include "configuration/configuration_manager.h"

#include "configuration/configuration_document.h"
#include "configuration/declaration.h"
#include "core/table_rows.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace anvilmoor {

namespace {

constexpr Milliseconds pollInterval { 1'000 };
constexpr Milliseconds pushInterval { 500 };
// Maximum time that a version waits until a peer of the zone holds it. This is time for three pushes to a
// peer that does not accept the version, for example because its earlier release cannot read the document. A
// version that is found by a poll 1 s after its commit is then in force 2.5 s after the commit; the required
// bound is 3 s.
constexpr Milliseconds maxPendingTime { 1'500 };
// A peer that is running sends a heartbeat within the heartbeat timeout after this daemon's start. Until
// then, a peer without a heartbeat does not count as down.
constexpr Milliseconds peerDiscoveryTime { 2'000 };
constexpr Milliseconds submissionTimeout { 10'000 };
constexpr Milliseconds submissionRetryDelay { 200 };
constexpr std::size_t maxSubmissions = 32;
constexpr std::size_t maxDifferencesShown = 10;
// The refusal of a conflicting change needs the document on which the change is based. At 20,000 changes a
// day, the history covers a change that an operator prepared a day before.
constexpr ConfigurationVersion historyLength = 20'000;

const std::string versionKey = "config/version";
const std::string currentKey = "config/current";

std::string historyKey(ConfigurationVersion version) { return fmt::format("config/history/{}", version); }

nlohmann::json parseJson(const std::string& text) { return nlohmann::json::parse(text, nullptr, false); }

} // namespace

ConfigurationManager::ConfigurationManager(const DaemonSettings& settings, const PeerDirectory& peers)
    : m_settings(settings)
    , m_peers(peers)
{
}

bool ConfigurationManager::isReady() const
{
    if (!current())
        return false;
    if (m_isCaughtUp)
        return true;
    if (!m_isTableUnavailable)
        return false;
    bool hasReadyNeighbour = false;
    for (const PeerStatus& peer : m_peers.peers()) {
        if (!peer.isReachable)
            continue;
        if (peer.knownConfigurationVersion > version())
            return false;
        hasReadyNeighbour |= peer.isReady && peer.zone == m_settings.zone;
    }
    return hasReadyNeighbour;
}

void ConfigurationManager::pollTable(Purpose purpose, TableRead request, Step& step)
{
    m_pollPurpose = purpose;
    m_pollSequence = ++m_lastSequence;
    step.emit(ReadTable { { ModuleId::Configuration, m_pollSequence }, std::move(request) });
}

bool ConfigurationManager::handle(const Started&, Step& step)
{
    m_peerDiscoveryEnd = step.now + peerDiscoveryTime;
    m_nextPoll = step.now + pollInterval;
    pollTable(Purpose::ReadCurrent, { { currentKey }, {} }, step);
    return false;
}

bool ConfigurationManager::handle(const Tick&, Step& step)
{
    if (step.now >= m_nextPoll && !m_pollSequence) {
        m_nextPoll = step.now + pollInterval;
        // Until the first successful read, reads the document directly instead of only the version.
        if (m_hasReadTable)
            pollTable(Purpose::PollVersion, { { versionKey }, {} }, step);
        else
            pollTable(Purpose::ReadCurrent, { { currentKey }, {} }, step);
    }
    if (!m_submissions.empty() && m_submissions.front().isWaitingForRetry
        && step.now >= m_submissions.front().retryAt)
        readForSubmission(step);
    return adoptPendingIfReplicated(step);
}

std::optional<ConfigurationManager::CurrentRow> ConfigurationManager::parseCurrentRow(const TableReply& reply)
{
    const TableRow* row = findPresentRow(reply, currentKey);
    if (!row)
        return CurrentRow {};
    const nlohmann::json value = parseJson(row->value);
    const bool isWellFormed = value.is_object() && value.contains("version")
        && value["version"].is_number_unsigned() && value.contains("nonce") && value["nonce"].is_string()
        && value.contains("document");
    if (!isWellFormed)
        return {};
    return CurrentRow { row->version, value["version"].get<ConfigurationVersion>(),
        value["nonce"].get<std::string>(), value["document"].dump() };
}

void ConfigurationManager::recordRevision(
    ConfigurationVersion version, const std::string& document, Step& step)
{
    if (version <= knownVersion())
        return;
    // A document that this release cannot read is kept too, so that a peer of a newer release can get it back
    // after a restart.
    m_known = { version, std::make_shared<const std::string>(document), nullptr };
    auto configuration = readConfigurationText(document);
    if (!configuration) {
        // A newer release may have committed fields that are unknown to this release. The old version stays
        // in force, and the heartbeat reports this to the peers.
        step.record("configuration.unreadable",
            { { "version", std::to_string(version) }, { "reason", configuration.error().front().text() } });
        return;
    }
    configuration->version = version;
    m_known.configuration = std::make_shared<const Configuration>(std::move(*configuration));
    if (!m_pending)
        m_pendingSince = step.now;
    m_pending = m_known;
    step.record("configuration.learned", { { "version", std::to_string(version) } });
}

bool ConfigurationManager::recordCurrentRow(const CurrentRow& row, Step& step)
{
    if (row.version > knownVersion()) {
        recordRevision(row.version, row.document, step);
        // The daemon that committed the version may have stopped before it pushed the version to its peers.
        pushToZone(step);
    }
    return adoptPendingIfReplicated(step);
}

bool ConfigurationManager::canAdoptPending(TimePoint now) const
{
    if (now - m_pendingSince >= maxPendingTime)
        return true;
    bool hasNeighbour = false;
    for (const PeerStatus& peer : m_peers.peers()) {
        if (peer.zone != m_settings.zone)
            continue;
        if (peer.isReachable && peer.knownConfigurationVersion >= m_pending->version)
            return true;
        hasNeighbour |= peer.isReachable || now < m_peerDiscoveryEnd;
    }
    return !hasNeighbour;
}

bool ConfigurationManager::adoptPendingIfReplicated(Step& step)
{
    const bool canAdopt = m_pending && canAdoptPending(step.now);
    if (canAdopt) {
        m_inForce = std::move(*m_pending);
        m_pending.reset();
        step.record("configuration.adopted", { { "version", std::to_string(version()) } });
        step.emit(ConfigurationAdopted { version() });
    }
    m_isCaughtUp |= m_hasReadTable && !m_pending;
    answerAcceptances(step);
    return canAdopt;
}

ConfigurationPush ConfigurationManager::makePush() const { return { m_known.version, *m_known.document }; }

void ConfigurationManager::pushTo(const HostId& host, Step& step)
{
    m_lastPush[host] = { knownVersion(), step.now };
    step.emit(SendToPeer { host, makePush() });
}

void ConfigurationManager::pushToZone(Step& step)
{
    for (const PeerStatus& peer : m_peers.peers()) {
        if (peer.zone == m_settings.zone && peer.isReachable
            && peer.knownConfigurationVersion < knownVersion())
            pushTo(peer.host, step);
    }
}

bool ConfigurationManager::handle(const TableReplied& event, Step& step)
{
    const std::uint64_t sequence = event.operation.sequence;
    if (sequence == m_submissionSequence && !m_submissions.empty()) {
        m_submissionSequence = 0;
        return m_submissionPurpose == Purpose::Commit ? handleCommitReply(event.reply, step)
                                                      : handleSubmissionRead(event.reply, step);
    }
    if (sequence != m_pollSequence)
        return false;

    m_pollSequence = 0;
    m_isTableUnavailable = event.reply.status != TableStatus::Ok;
    if (m_isTableUnavailable)
        return false;
    if (m_pollPurpose == Purpose::PollVersion) {
        const TableRow* row = findRow(event.reply, versionKey);
        if (row && row->value != std::to_string(knownVersion()))
            pollTable(Purpose::ReadCurrent, { { currentKey }, {} }, step);
        return false;
    }
    const std::optional<CurrentRow> row = parseCurrentRow(event.reply);
    if (!row) {
        step.record("configuration.unreadable", { { "reason", "row config/current is malformed" } });
        return false;
    }
    m_hasReadTable = true;
    return recordCurrentRow(*row, step);
}

bool ConfigurationManager::handle(const ConfigurationPush& push, Step& step)
{
    recordRevision(push.version, push.document, step);
    return adoptPendingIfReplicated(step);
}

bool ConfigurationManager::handle(const PeerHeartbeat& heartbeat, Step& step)
{
    if (heldConfigurationVersion(heartbeat) < knownVersion()) {
        const auto last = m_lastPush.find(heartbeat.host);
        const bool isRecent = last != m_lastPush.end() && last->second.version == knownVersion()
            && step.now - last->second.sentAt < pushInterval;
        if (!isRecent)
            pushTo(heartbeat.host, step);
    }
    return adoptPendingIfReplicated(step);
}

bool ConfigurationManager::handle(const ConfigurationQueried& event, Step& step)
{
    step.emit(AnswerOperator { event.caller,
        ConfigurationAnswer { version(), m_inForce.document ? *m_inForce.document : std::string() } });
    return false;
}

bool ConfigurationManager::handle(const ConfigurationSubmitted& event, Step& step)
{
    const auto checked = readConfigurationText(event.document);
    if (!checked) {
        Refusal refusal { RefusalKind::Invalid, {} };
        for (const ConfigurationProblem& problem : checked.error())
            refusal.reasons.push_back(problem.text());
        step.emit(AnswerOperator { event.caller, std::move(refusal) });
        return false;
    }
    if (m_submissions.size() >= maxSubmissions) {
        step.emit(AnswerOperator { event.caller,
            Refusal { RefusalKind::Unavailable,
                { "too many configuration changes are in progress; try again" } } });
        return false;
    }
    Submission submission;
    submission.request = event;
    submission.nonce = fmt::format("{}-{:016x}", m_settings.host.value(), step.random());
    submission.deadline = step.now + submissionTimeout;
    m_submissions.push_back(std::move(submission));
    if (m_submissions.size() == 1)
        startNextSubmission(step);
    return false;
}

void ConfigurationManager::startNextSubmission(Step& step)
{
    if (!m_submissions.empty())
        readForSubmission(step);
}

void ConfigurationManager::readForSubmission(Step& step)
{
    m_submissions.front().isWaitingForRetry = false;
    m_submissionPurpose = Purpose::ReadForSubmission;
    m_submissionSequence = ++m_lastSequence;
    step.emit(ReadTable { { ModuleId::Configuration, m_submissionSequence }, { { currentKey }, {} } });
}

void ConfigurationManager::retrySubmission(Step& step)
{
    Submission& submission = m_submissions.front();
    if (step.now < submission.deadline) {
        submission.isWaitingForRetry = true;
        submission.retryAt = step.now + submissionRetryDelay;
        return;
    }
    if (submission.mayHaveCommitted)
        refuseSubmission(RefusalKind::Unknown,
            { "the table did not answer; the change may be in force. Run 'anvilmoorctl config show' before "
              "trying again" },
            step);
    else
        refuseSubmission(RefusalKind::Unavailable,
            { "the table is unavailable; the change was not accepted. Try again later" }, step);
}

bool ConfigurationManager::handleSubmissionRead(const TableReply& reply, Step& step)
{
    if (m_submissionPurpose == Purpose::ReadHistory) {
        refuseAsConflict(reply, step);
        return false;
    }
    if (reply.status != TableStatus::Ok) {
        retrySubmission(step);
        return false;
    }
    const std::optional<CurrentRow> row = parseCurrentRow(reply);
    if (!row) {
        refuseSubmission(RefusalKind::Unavailable, { "row config/current is malformed" }, step);
        return false;
    }
    const bool hasAdopted = recordCurrentRow(*row, step);
    const Submission& submission = m_submissions.front();
    if (row->nonce == submission.nonce) {
        finishSubmission(step);
        return hasAdopted;
    }
    if (row->version != submission.request.expectedVersion) {
        m_conflictingRow = *row;
        m_submissionPurpose = Purpose::ReadHistory;
        m_submissionSequence = ++m_lastSequence;
        step.emit(ReadTable { { ModuleId::Configuration, m_submissionSequence },
            { { historyKey(submission.request.expectedVersion) }, {} } });
        return hasAdopted;
    }
    commit(*row, step);
    return hasAdopted;
}

void ConfigurationManager::commit(const CurrentRow& row, Step& step)
{
    Submission& submission = m_submissions.front();
    submission.newVersion = row.version + 1;
    const nlohmann::json value { { "version", submission.newVersion }, { "nonce", submission.nonce },
        { "document", parseJson(submission.request.document) } };
    submission.value = value.dump();

    TableTransaction transaction;
    transaction.conditions.push_back({ currentKey, row.rowVersion });
    transaction.writes.push_back({ currentKey, submission.value });
    transaction.writes.push_back({ versionKey, std::to_string(submission.newVersion) });
    transaction.writes.push_back({ historyKey(submission.newVersion), submission.request.document });
    if (submission.newVersion > historyLength)
        transaction.writes.push_back({ historyKey(submission.newVersion - historyLength), std::nullopt });

    m_submissionPurpose = Purpose::Commit;
    m_submissionSequence = ++m_lastSequence;
    step.emit(
        ExecuteTransaction { { ModuleId::Configuration, m_submissionSequence }, std::move(transaction) });
}

bool ConfigurationManager::handleCommitReply(const TableReply& reply, Step& step)
{
    Submission& submission = m_submissions.front();
    switch (reply.status) {
    case TableStatus::Ok: {
        recordRevision(submission.newVersion, parseJson(submission.request.document).dump(), step);
        finishSubmission(step);
        return adoptPendingIfReplicated(step);
    }
    case TableStatus::Conflict:
        // Another operator's change was committed first, or an earlier attempt at this change took effect.
        // The nonce in the row distinguishes the two cases.
        readForSubmission(step);
        return false;
    case TableStatus::Unknown:
        // A retry is safe: the condition on the row version lets only one of the attempts commit.
        submission.mayHaveCommitted = true;
        retrySubmission(step);
        return false;
    case TableStatus::Unavailable:
        retrySubmission(step);
        return false;
    }
    return false;
}

void ConfigurationManager::finishSubmission(Step& step)
{
    const Submission& submission = m_submissions.front();
    step.record("configuration.committed", { { "version", std::to_string(submission.newVersion) } });
    m_acceptances.push_back({ submission.request.caller, submission.newVersion, step.now + maxPendingTime });
    // If a later version is already known, the peers receive the later version.
    step.emit(SendToAllPeers { makePush() });
    m_submissions.pop_front();
    answerAcceptances(step);
    startNextSubmission(step);
}

// Answers each operator whose change is in force on this daemon. By then a reachable neighbour normally holds
// the change too, and passes it on if this daemon dies while the table is unreachable.
void ConfigurationManager::answerAcceptances(Step& step)
{
    std::erase_if(m_acceptances, [&](const Acceptance& acceptance) {
        // A change that was replaced by a later version that this release cannot read may never come into
        // force here. It was committed nevertheless, so its operator is answered at answerBy.
        if (version() < acceptance.version && step.now < acceptance.answerBy)
            return false;
        step.emit(AnswerOperator { acceptance.caller, ConfigurationAnswer { acceptance.version, {} } });
        return true;
    });
}

void ConfigurationManager::refuseSubmission(RefusalKind kind, std::vector<std::string> reasons, Step& step)
{
    step.emit(AnswerOperator { m_submissions.front().request.caller, Refusal { kind, std::move(reasons) } });
    m_submissions.pop_front();
    startNextSubmission(step);
}

void ConfigurationManager::refuseAsConflict(const TableReply& reply, Step& step)
{
    const Submission& submission = m_submissions.front();
    const ConfigurationVersion expected = submission.request.expectedVersion;
    std::vector<std::string> reasons { fmt::format(
        "version {} has been committed, but the change is based on version {}", m_conflictingRow->version,
        expected) };
    const TableRow* row = findRow(reply, historyKey(expected));
    if (row) {
        for (const std::string& difference : describeDifferences(
                 parseJson(row->value), parseJson(m_conflictingRow->document), maxDifferencesShown))
            reasons.push_back("changed since: " + difference);
    }
    reasons.emplace_back(
        "run 'anvilmoorctl config show', make the change in the version shown and apply it again");
    refuseSubmission(RefusalKind::Conflict, std::move(reasons), step);
}

} // namespace anvilmoor
