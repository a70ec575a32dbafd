#pragma once

#include "support/test_cluster.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvilmoor::test {

// The operation that the cluster performs while a fault is injected.
enum class MatrixPath { Job, Booking, Quote, Claim, Configuration, Drain, Role };

// A message or decision of a path. A fault is injected when it passes the channel for the first time.
struct MatrixStep {
    MatrixPath path = MatrixPath::Job;
    std::string message; // as named by messageName()
    Leg leg = Leg::Outgoing;
};

enum class MatrixFault {
    EntryKilled,
    HostReplaced,
    AllReplaced,
    WorkerDead,
    WorkerRestarted,
    WorkerFailsAll,
    HolderPaused,
    TableDown,
    TableSlow,
    ReplyLost,
    RequestLost,
    ObjectsDown,
    HostListFrozen,
    CutFromZones,
    CutFromPlatform,
    CutFromBoth,
    ConnectionSilent,
    MessageRepeated,
    MessageDelayed,
    OperatorsRace,
    CancellationWave,
    RunTimeTooShort,
    RunTimeTooLong,
    JobNeverRuns,
    Stopped, // a planned stop
    None, // the path alone must keep all of its bounds
};

struct MatrixInjection {
    MatrixStep step;
    MatrixFault fault = MatrixFault::EntryKilled;
};

// One run of the matrix: faults at steps of one path.
struct MatrixCell {
    std::vector<MatrixInjection> injections;
    std::uint64_t seed = 1;
};

struct MatrixResult {
    bool isInjected = false; // every fault was injected
    std::vector<std::string> violations;
    std::vector<std::string> events; // the most recent ones
};

std::span<const MatrixStep> matrixSteps();
std::span<const std::pair<MatrixFault, std::string_view>> matrixFaults();

std::string_view nameOf(MatrixPath);
std::string_view nameOf(MatrixFault);
std::string nameOf(const MatrixStep&); // "job/reserve reply"

// Empty if the fault can be injected at the step.
std::string whyNotApplicable(const MatrixStep&, MatrixFault);

// Empty for an effect that is no step of any path.
std::string messageName(const Effect&);

// Derives the cell's seed from its names, so that a new step or fault does not change the seeds of other
// cells.
MatrixCell cellOf(std::vector<MatrixInjection>);

// "job/reserve reply|worker dead#123", several faults are joined by "&". The format of
// ANVILMOOR_MATRIX_CELL.
std::string formatCell(const MatrixCell&);
// Throws std::invalid_argument if the text has no seed or names no step and fault of the matrix.
MatrixCell parseCell(const std::string&);

MatrixResult runCell(const MatrixCell&);

} // namespace anvilmoor::test
