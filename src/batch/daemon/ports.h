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

// Interfaces through which the daemon uses the platform. An adapter implements them, so the daemon is
// independent of wire formats.

namespace anvilmoor::batch {

struct TableSnapshot {
    bool isOk = false;
    std::vector<Row> rows;
    RowVersion version = 0; // all changes up to this version are included; later ones may be missing
    StoreClock answeredAt = 0;
};

enum class FeedOutcome {
    Ok,
    HistoryLost, // the changes after the requested version cannot be had; the table has to be read again
    Failed,
};

struct FeedReply {
    FeedOutcome outcome = FeedOutcome::Failed;
    std::vector<Row> rows; // in the order of their changes
    RowVersion version = 0; // start of the next feed request
    StoreClock answeredAt = 0;
    bool mayHaveMore = false; // as long as an answer can be: later changes may be missing
};

// Access to the platform's row store. Each call invokes its callback exactly once, from the event loop and
// never from within the call itself.
class RowStore {
public:
    virtual ~RowStore() = default;

    virtual void commit(Transaction, std::function<void(CommitReply)>) = 0;
    // Reads the rows of a table's part from `from` up to but excluding the key `until`. An empty `until`
    // reads to the end of the part.
    virtual void read(RowKey from, std::string until, std::function<void(TableSnapshot)>) = 0;
    // Reads the changes to the table after the version `after`. If there are none yet, the store waits up to
    // `wait` for one.
    virtual void feed(
        const std::string& table, RowVersion after, Milliseconds wait, std::function<void(FeedReply)>)
        = 0;
};

// Sends orders to workers. Callbacks follow the same rules as those of RowStore.
class WorkerGateway {
public:
    virtual ~WorkerGateway() = default;

    virtual void start(const StartRun&, std::function<void(StartAnswered)>) = 0;
    virtual void stop(const StopRun&, std::function<void(StopAnswered)>) = 0;
    virtual void hold(const HoldWorker&, std::function<void(HoldAnswered)>) = 0;
};

// Decodes the rows that other programs write: the operators' configuration and the worker registry.
class RecordReader {
public:
    virtual ~RecordReader() = default;

    virtual std::string configurationTable() const = 0;
    virtual std::string workerTable() const = 0;
    // An error names the invalid field and the reason.
    virtual tl::expected<Configuration, std::string> configuration(const Row&) const = 0;
    virtual tl::expected<WorkerRecord, std::string> worker(const Row&) const = 0;
    // False for the other rows of the configuration table, which are ignored.
    virtual bool isConfiguration(const Row&) const = 0;
};

} // namespace anvilmoor::batch
