#include "batch/leader/kept_answers.h"

#include <utility>

namespace anvilmoor::batch {

void KeptAnswers::keep(WorkerAnswer answer) { m_answers.push_back(std::move(answer)); }

void KeptAnswers::deliver(Step& step)
{
    for (const WorkerAnswer& answer : std::exchange(m_answers, {})) {
        if (const auto* started = std::get_if<StartAnswered>(&answer))
            m_runs.startAnswered(*started, step);
        else if (const auto* stopped = std::get_if<StopAnswered>(&answer))
            m_runs.stopAnswered(*stopped, step);
        else if (const auto* held = std::get_if<HoldAnswered>(&answer))
            m_runs.holdAnswered(*held, step);
    }
}

} // namespace anvilmoor::batch
