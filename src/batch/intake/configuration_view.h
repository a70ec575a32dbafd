#pragma once

#include "anvilmoor/batch/configuration.h"
#include "anvilmoor/batch/event.h"

#include <optional>
#include <string>
#include <string_view>

namespace anvilmoor::batch {

// The configuration in force at this daemon, and up to when it is known to be the newest one. A key that was
// taken away must not work longer than the platform allows, so a daemon that cannot confirm its configuration
// serves no caller.
class ConfigurationView {
public:
    explicit ConfigurationView(Milliseconds longestUnconfirmed);

    // Versions never go back. Returns whether a newer one came into force.
    bool followed(const ConfigurationFollowed&);

    bool hasConfiguration() const { return m_configuration.version != 0; }
    bool isConfirmed(TimePoint now) const;
    // Confirmed within this time.
    bool isFresh(TimePoint now, Milliseconds age) const;
    // Since it was last confirmed; -1 ms if it never was.
    Milliseconds age(TimePoint now) const { return m_knownAt ? now - *m_knownAt : Milliseconds(-1); }
    const Configuration& current() const { return m_configuration; }

    // The queue with the longest prefix of the path. Null if there is none.
    const QueueConfiguration* findQueue(std::string_view host, std::string_view path) const;
    // Null if no account has the key.
    const ClientAccountConfiguration* findAccount(std::string_view apiKey) const;

private:
    Milliseconds m_longestUnconfirmed;
    Configuration m_configuration;
    std::optional<TimePoint> m_knownAt;
};

} // namespace anvilmoor::batch
