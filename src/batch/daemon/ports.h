#pragma once

#include "anvilmoor/batch/configuration.h"
#include "anvilmoor/batch/effect.h"
#include "anvilmoor/batch/event.h"
#include "anvilmoor/batch/rows.h"
#include "anvilmoor/batch/worker.h"

#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

// What the daemon needs of the platform. An adapter implements it; the daemon knows no wire format.

namespace anvilmoor::batch {

struct TableSnapshot {
    bool isOk = false;
    std::vector<Row> rows;
    RowVersion version = 0; // changes after it are not contained
    StoreClock answeredAt = 0;
};

enum class FeedOutcome { Ok, HistoryLost, Failed };

struct FeedReply {
    FeedOutcome outcome = FeedOutcome::Failed;
    std::vector<Row> rows; // in the order of their changes
    RowVersion version = 0; // to go on from
    StoreClock answeredAt = 0;
};

// Calls back exactly once, from the loop and never from inside the call.
class RowStore {
public:
    virtual ~RowStore() = default;

    virtual void commit(Transaction, std::function<void(CommitReply)>) = 0;
    // `until` is excluded, and empty for the rest of the table's part.
    virtual void read(RowKey from, std::string until, std::function<void(TableSnapshot)>) = 0;
    // Changes to the table after the version; waits this long for one.
    virtual void feed(
        const std::string& table, RowVersion after, Milliseconds wait, std::function<void(FeedReply)>)
        = 0;
};

// Gives orders to workers. Calls back exactly once, like RowStore.
class WorkerGateway {
public:
    virtual ~WorkerGateway() = default;

    virtual void start(const StartRun&, std::function<void(StartAnswered)>) = 0;
    virtual void stop(const StopRun&, std::function<void(StopAnswered)>) = 0;
    virtual void hold(const HoldWorker&, std::function<void(HoldAnswered)>) = 0;
};

// Reads the rows that others write: the operators' configuration and the workers' registry.
class RecordReader {
public:
    virtual ~RecordReader() = default;

    virtual std::string configurationTable() const = 0;
    virtual std::string workerTable() const = 0;
    // An error says which field is wrong, and why.
    virtual tl::expected<Configuration, std::string> configuration(const Row&) const = 0;
    virtual tl::expected<WorkerRecord, std::string> worker(const Row&) const = 0;
    // Rows of the same table that mean something else are passed over.
    virtual bool isConfiguration(const Row&) const = 0;
};

} // namespace anvilmoor::batch
