#pragma once

#include "anvilmoor/batch/event.h"
#include "batch/reducer/step.h"
#include "batch/workers/run_supervisor.h"

#include <cstddef>
#include <variant>
#include <vector>

namespace anvilmoor::batch {

using WorkerAnswer = std::variant<StartAnswered, StopAnswered, HoldAnswered>;

// Keeps the workers' answers that arrive while the leader may not act: at most one to each order that was in
// flight, because no more orders are sent.
class KeptAnswers {
public:
    explicit KeptAnswers(RunSupervisor& runs)
        : m_runs(runs)
    {
    }

    void keep(WorkerAnswer);
    // Passes the answers on to the run supervisor, oldest first, and forgets them. Called only while the
    // leader may act.
    void deliver(Step&);
    void clear() { m_answers.clear(); }
    std::size_t size() const { return m_answers.size(); }

private:
    RunSupervisor& m_runs;
    std::vector<WorkerAnswer> m_answers; // oldest first
};

} // namespace anvilmoor::batch
