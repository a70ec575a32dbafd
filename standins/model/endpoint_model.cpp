#include "model/endpoint_model.h"

#include <fmt/format.h>

namespace anvilmoor::standin {

EndpointModel::EndpointModel(EndpointId id, int slots)
    : m_id(std::move(id))
    , m_slots(slots)
{
}

bool EndpointModel::begin()
{
    if (m_slotsTaken >= m_slots)
        return false;
    ++m_slotsTaken;
    return true;
}

EndpointReply EndpointModel::execute(
    const RequestIdentity& identity, const std::string& operation, const std::string& body)
{
    ++m_executions[identity];
    if (failsEverything)
        return { true, true, "the endpoint is set to fail every request" };
    return { true, false, answerTo(identity, operation, body) };
}

void EndpointModel::finish() { --m_slotsTaken; }

int EndpointModel::executions(const RequestIdentity& identity) const
{
    const auto found = m_executions.find(identity);
    return found == m_executions.end() ? 0 : found->second;
}

std::string EndpointModel::answerTo(
    const RequestIdentity& identity, const std::string& operation, const std::string& body)
{
    return fmt::format(R"({{"operation":"{}","account":"{}","key":"{}","input_bytes":{}}})", operation,
        identity.account.value(), identity.key, body.size());
}

} // namespace anvilmoor::standin
