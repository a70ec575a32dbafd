#include "support/batch_cluster.h"
#include "support/batch_cluster_parts.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

// Passes virtual time, and runs the daemons with their events and effects.

namespace anvilmoor::testing {

using namespace batch;

namespace {

constexpr Milliseconds followInterval { 50 };

} // namespace

BatchCluster::BatchCluster(int daemons, std::uint64_t seed)
    : m_random(seed)
    , m_configuration(defaultConfiguration())
{
    m_daemons.resize(static_cast<std::size_t>(daemons));
    for (std::size_t i = 0; i < m_daemons.size(); ++i)
        start(i);
}

Configuration BatchCluster::defaultConfiguration()
{
    Configuration configuration;
    configuration.version = 1;
    const std::vector<std::string> queues { "urgent", "gang", "small" };
    for (std::size_t i = 0; i < queues.size(); ++i)
        configuration.queues.push_back({ queues[i], "plan.example", "/" + queues[i] + "/",
            ServiceId("planner"), static_cast<int>(i), 2, 3.0, Milliseconds(1'000) });
    configuration.accounts.push_back({ ClientAccountId("account-a"), { "key-a" }, 16 });
    configuration.accounts.push_back({ ClientAccountId("account-b"), { "key-b" }, 8 });
    return configuration;
}

void BatchCluster::at(TimePoint when, std::function<void()> action)
{
    m_schedule.push({ when, ++m_lastOrder, std::move(action) });
}

void BatchCluster::run(Milliseconds duration)
{
    const TimePoint end = m_now + duration;
    TimePoint nextAdvance = m_now;
    while (m_now < end) {
        const bool hasAction = !m_schedule.empty() && m_schedule.top().at <= nextAdvance;
        m_now = std::min(end, hasAction ? std::max(m_now, m_schedule.top().at) : nextAdvance);
        if (hasAction && m_schedule.top().at <= m_now) {
            const auto action = m_schedule.top().action;
            m_schedule.pop();
            action();
            continue;
        }
        if (m_now >= nextAdvance) {
            for (const auto& worker : m_workers)
                worker->advance();
            nextAdvance = m_now + advanceInterval;
        }
    }
}

bool BatchCluster::runUntil(const std::function<bool()>& condition, Milliseconds limit)
{
    const TimePoint end = m_now + limit;
    while (m_now < end) {
        if (condition())
            return true;
        run(advanceInterval);
    }
    return condition();
}

void BatchCluster::setConfiguration(Configuration configuration)
{
    m_configuration = std::move(configuration);
}

void BatchCluster::start(std::size_t index)
{
    Daemon& daemon = m_daemons[index];
    BatchSettings settings;
    settings.daemonName = { fmt::format("daemon-{}", index), std::to_string(m_lastJob + 1) };
    settings.claimDelay = Milliseconds(static_cast<std::int64_t>(index) * 40);
    settings.workerLeases = workerLeases;
    daemon = {};
    daemon.lifetime = ++m_lastJob;
    daemon.reducer = std::make_unique<BatchReducer>(std::move(settings));
    tick(index, daemon.lifetime);
    at(m_now + Milliseconds(1),
        [this, index, lifetime = daemon.lifetime] { followRepeatedly(index, lifetime); });
}

bool BatchCluster::isLifetime(std::size_t index, int lifetime) const
{
    return m_daemons[index].lifetime == lifetime && m_daemons[index].reducer;
}

void BatchCluster::tick(std::size_t index, int lifetime)
{
    if (!isLifetime(index, lifetime))
        return;
    if (m_now >= m_daemons[index].frozenUntil)
        dispatch(index, Tick {});
    at(m_now + tickInterval, [this, index, lifetime] { tick(index, lifetime); });
}

void BatchCluster::followRepeatedly(std::size_t index, int lifetime)
{
    if (!isLifetime(index, lifetime))
        return;
    follow(index);
    at(m_now + followInterval, [this, index, lifetime] { followRepeatedly(index, lifetime); });
}

void BatchCluster::kill(std::size_t daemon)
{
    m_daemons[daemon].reducer.reset();
    ++m_daemons[daemon].lifetime;
}

void BatchCluster::restart(std::size_t daemon) { start(daemon); }

void BatchCluster::restartAllDaemons()
{
    for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon)
        kill(daemon);
    run(Milliseconds(300));
    for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon)
        restart(daemon);
}

void BatchCluster::terminate(std::size_t daemon) { dispatch(daemon, ShutdownRequested {}); }

std::optional<std::size_t> BatchCluster::leader() const
{
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        if (m_daemons[i].reducer && m_daemons[i].reducer->isLeader())
            return i;
    }
    return std::nullopt;
}

void BatchCluster::deliver(std::size_t daemon, int lifetime, Milliseconds delay, EventPayload payload)
{
    at(m_now + delay, [this, daemon, lifetime, payload = std::move(payload)] {
        if (m_daemons[daemon].lifetime == lifetime && m_daemons[daemon].reducer)
            dispatch(daemon, payload);
    });
}

void BatchCluster::dispatch(std::size_t daemon, EventPayload payload)
{
    if (m_now < m_daemons[daemon].frozenUntil) {
        deliver(
            daemon, m_daemons[daemon].lifetime, m_daemons[daemon].frozenUntil - m_now, std::move(payload));
        return;
    }
    const Event event { m_now, wallTime(), m_random(), std::move(payload) };
    std::vector<Effect> effects = m_daemons[daemon].reducer->handle(event);
    requirePermission(daemon, effects);
    if (!effects.empty() && randomShare() < disturbances.stepFreezeShare) {
        const Milliseconds frozenFor = randomTime(50, 4'000);
        freeze(daemon, frozenFor);
        at(m_now + frozenFor,
            [this, daemon, lifetime = m_daemons[daemon].lifetime, effects = std::move(effects)]() mutable {
                if (isLifetime(daemon, lifetime))
                    carryOut(daemon, effects);
            });
        return;
    }
    carryOut(daemon, effects);
}

void BatchCluster::carryOut(std::size_t daemon, std::vector<Effect>& effects)
{
    for (Effect& effect : effects) {
        if (std::holds_alternative<StopDaemon>(effect)) {
            kill(daemon);
            return;
        }
        execute(daemon, effect);
    }
}

void BatchCluster::execute(std::size_t daemon, Effect& effect)
{
    const int lifetime = m_daemons[daemon].lifetime;
    if (const auto* start = std::get_if<StartRun>(&effect)) {
        order(
            daemon, start->worker,
            [order = *start](FakeWorker* worker) -> EventPayload { return worker->start(order); },
            StartAnswered { start->worker, start->token, start->run });
    } else if (const auto* stop = std::get_if<StopRun>(&effect)) {
        order(
            daemon, stop->worker,
            [order = *stop](FakeWorker* worker) -> EventPayload { return worker->stop(order); },
            StopAnswered { stop->worker, stop->token, stop->run });
    } else if (const auto* holdOrder = std::get_if<HoldWorker>(&effect)) {
        hold(daemon, *holdOrder);
    } else if (const auto* write = std::get_if<Commit>(&effect)) {
        commit(daemon, *write);
    } else if (const auto* readRows = std::get_if<ReadRows>(&effect)) {
        const bool isOk = canReachStore(daemon) && !cannotRead.contains(daemon);
        ReadAnswered answer { readRows->operation, { isOk, {} } };
        if (isOk)
            answer.reply.rows = m_store.read(readRows->from, readRows->until);
        deliver(daemon, lifetime, storeDelay, std::move(answer));
    } else if (const auto* follow = std::get_if<FollowLeaderTables>(&effect)) {
        m_daemons[daemon].isFollowing = follow->isFollowing;
        m_daemons[daemon].areJobsListed = false;
        m_daemons[daemon].areWorkersListed = false;
        m_daemons[daemon].registryAt = m_now;
        ++m_daemons[daemon].registryReads;
    } else if (std::holds_alternative<RequestPlacementTurn>(effect)) {
        deliver(daemon, lifetime, Milliseconds(0), PlacementTurn {});
    } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
        const JobId job = m_callers[answer->caller];
        m_lastAnswer = Answer { answer->kind, answer->state, answer->count, m_now };
        m_answers[job] = *m_lastAnswer;
        if (answer->kind == AnswerKind::NotAccepted && !startsOf(job))
            m_refused.insert(job);
        else if (answer->kind == AnswerKind::Accepted)
            m_refused.erase(job);
    }
}

void BatchCluster::freeze(std::size_t daemon, Milliseconds duration)
{
    m_daemons[daemon].frozenUntil = std::max(m_daemons[daemon].frozenUntil, m_now + duration);
}

} // namespace anvilmoor::testing
