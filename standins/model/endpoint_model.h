#pragma once

#include "anvilmoor/identifiers.h"
#include "anvilmoor/request.h"

#include <cstdint>
#include <map>
#include <string>

namespace anvilmoor::standin {

struct EndpointReply {
    bool isExecuted = false; // false: refused before execution (503)
    bool isError = false; // executed, but failed
    std::string body;
};

// One endpoint of a service. Counts how often it executed each request identity.
class EndpointModel {
public:
    EndpointModel(EndpointId, int slots);

    // Takes a slot, or returns false if all are taken. finish() frees the slot when the simulated work is
    // done.
    bool begin();
    EndpointReply execute(const RequestIdentity&, const std::string& operation, const std::string& body);
    void finish();

    int executions(const RequestIdentity&) const;
    const std::map<RequestIdentity, int>& executions() const { return m_executions; }
    int slotsTaken() const { return m_slotsTaken; }

    // --- faults
    bool failsEverything = false;

    // The answer of every endpoint to a request. Tests compare answers with it.
    static std::string answerTo(
        const RequestIdentity&, const std::string& operation, const std::string& body);

private:
    EndpointId m_id;
    int m_slots;
    int m_slotsTaken = 0;
    std::map<RequestIdentity, int> m_executions;
};

} // namespace anvilmoor::standin
