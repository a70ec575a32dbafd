#include "entry/waiting_callers.h"

#include <utility>

namespace anvilmoor::entry {

namespace {

constexpr std::size_t maxWaitingCallers = 4'096;
// A quarter of the 128 MB that a daemon may use.
constexpr std::size_t maxWaitingBytes = 32U * 1024U * 1024U;

} // namespace

WaitingCallers::WaitingCallers(GoneCallback onGone)
    : m_onGone(std::move(onGone))
{
}

bool WaitingCallers::isFull() const
{
    return m_entries.size() >= maxWaitingCallers || m_bytes >= maxWaitingBytes;
}

void WaitingCallers::add(CallerHandle handle, Entry entry)
{
    m_bytes += entry.bytes;
    auto& exchange = *entry.exchange;
    m_entries.emplace(handle, std::move(entry));
    exchange.onClientGone([this, handle, alive = std::weak_ptr<int>(m_alive)] {
        if (!alive.expired() && take(handle))
            m_onGone(handle);
    });
}

std::optional<WaitingCallers::Entry> WaitingCallers::take(CallerHandle handle)
{
    const auto found = m_entries.find(handle);
    if (found == m_entries.end())
        return std::nullopt;
    Entry entry = std::move(found->second);
    m_entries.erase(found);
    m_bytes -= entry.bytes;
    return entry;
}

std::optional<WaitingCallers::Entry> WaitingCallers::takeAny()
{
    return m_entries.empty() ? std::nullopt : take(m_entries.begin()->first);
}

} // namespace anvilmoor::entry
