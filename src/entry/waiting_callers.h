#pragma once

#include "anvilmoor/event.h"
#include "anvilmoor/request.h"
#include "net/http.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace anvilmoor::entry {

// The HTTP exchanges that wait for an answer from the reducer, by caller handle.
class WaitingCallers {
public:
    struct Entry {
        std::shared_ptr<net::HttpExchange> exchange;
        RequestIdentity identity; // of a service request or of a query for one; otherwise empty
        bool isRequest = false; // the answer is a RequestAnswer
        TimePoint since {};
        std::size_t bytes = 0; // size of the request's body
    };
    using GoneCallback = std::function<void(CallerHandle)>;

    // The callback is called for each caller that closes its connection before it is answered.
    explicit WaitingCallers(GoneCallback);

    // True if no further caller can be accepted, because too many callers wait or the bodies of their
    // requests use too much memory.
    bool isFull() const;
    CallerHandle nextHandle() { return ++m_lastHandle; }
    void add(CallerHandle, Entry);
    // Removes and returns the entry. Empty if the caller has closed its connection or has been answered.
    std::optional<Entry> take(CallerHandle);
    // Removes and returns any entry. Empty if there is none.
    std::optional<Entry> takeAny();

    std::size_t size() const { return m_entries.size(); }

private:
    GoneCallback m_onGone;
    std::unordered_map<CallerHandle, Entry> m_entries;
    CallerHandle m_lastHandle = 0;
    std::size_t m_bytes = 0;
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace anvilmoor::entry
