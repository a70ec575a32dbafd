#include "support/batch_cluster.h"

#include <fmt/format.h>
#include <utility>

// Sends the requests of callers and keeps the answers.

namespace anvilmoor::testing {

using namespace batch;

void BatchCluster::request(std::size_t daemon, CallerAction action, const std::string& queue,
    const JobId& job, JobSpecification specification, const std::string& key)
{
    CallerRequest request;
    request.caller = ++m_lastCaller;
    request.action = action;
    request.host = "plan.example";
    request.path = "/" + queue + "/" + job.value();
    request.apiKey = key;
    request.timeout = Milliseconds(3'000);
    request.specification = std::move(specification);
    m_callers[request.caller] = job;
    m_lastAnswer.reset();
    dispatch(daemon, std::move(request));
}

WallTime BatchCluster::wallTime() const
{
    return WallTime(Milliseconds(1'700'000'000'000) + m_now.time_since_epoch());
}

JobId BatchCluster::submit(std::size_t daemon, const std::string& queue, std::vector<StepSpecification> steps,
    const std::string& key)
{
    return submitScheduled(daemon, queue, std::move(steps), {}, key);
}

JobId BatchCluster::submitScheduled(std::size_t daemon, const std::string& queue,
    std::vector<StepSpecification> steps, Schedule schedule, const std::string& key)
{
    const JobId job(fmt::format("{:016x}", ++m_lastJob));
    JobSpecification specification { job, "payload", std::move(steps), schedule };
    m_jobs[job] = specification;
    request(daemon, CallerAction::Submit, queue, job, std::move(specification), key);
    return job;
}

void BatchCluster::submitAgain(
    std::size_t daemon, const std::string& queue, const JobId& job, const std::string& key)
{
    request(daemon, CallerAction::Submit, queue, job, m_jobs.at(job), key);
}

void BatchCluster::cancel(std::size_t daemon, const std::string& queue, const JobId& job)
{
    request(daemon, CallerAction::Cancel, queue, job, {}, "key-a");
}

void BatchCluster::query(std::size_t daemon, const std::string& queue, const JobId& job)
{
    request(daemon, CallerAction::Query, queue, job, {}, "key-a");
}

void BatchCluster::count(std::size_t daemon, const std::string& queue)
{
    request(daemon, CallerAction::Query, queue, JobId(), {}, "key-a");
}

std::optional<BatchCluster::Answer> BatchCluster::answerTo(const JobId& job) const
{
    const auto found = m_answers.find(job);
    return found == m_answers.end() ? std::nullopt : std::optional(found->second);
}

StepSpecification makeStep(int tasks, int accelerators, Milliseconds duration)
{
    StepSpecification step;
    step.taskCount = tasks;
    step.perTask = { 1'000, 1'000, accelerators };
    step.estimatedDuration = duration;
    return step;
}

StepSpecification makeGang(int tasks, int accelerators, bool needsOneRack, Milliseconds duration)
{
    StepSpecification step = makeStep(tasks, accelerators, duration);
    step.isGang = true;
    step.needsOneRack = needsOneRack;
    return step;
}

} // namespace anvilmoor::testing
