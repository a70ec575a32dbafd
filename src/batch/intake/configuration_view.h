#pragma once

#include "anvilmoor/batch/configuration.h"
#include "anvilmoor/batch/event.h"

#include <optional>
#include <string>
#include <string_view>

namespace anvilmoor::batch {

// The configuration in force at this daemon, and the time up to which it is known to be the newest one. A
// revoked API key must not work for longer than the platform allows, so a daemon that cannot confirm its
// configuration serves no callers.
class ConfigurationView {
public:
    explicit ConfigurationView(Milliseconds maxConfigurationAge);

    // Ignores versions older than the current one. Returns whether a newer one came into force.
    bool applyUpdate(const ConfigurationUpdated&);

    bool hasConfiguration() const { return m_configuration.version != 0; }
    bool isConfirmed(TimePoint now) const;
    // Whether the configuration was confirmed within the last `age`.
    bool isFresh(TimePoint now, Milliseconds age) const;
    // Time since the configuration was last confirmed; -1 ms if it never was.
    Milliseconds age(TimePoint now) const { return m_knownAt ? now - *m_knownAt : Milliseconds(-1); }
    const Configuration& current() const { return m_configuration; }

    // The queue of the host whose prefix of the path is the longest. Null if no queue matches.
    const QueueConfiguration* findQueue(std::string_view host, std::string_view path) const;
    // Null if no client account has the key.
    const ClientAccountConfiguration* findAccount(std::string_view apiKey) const;

private:
    Milliseconds m_maxConfigurationAge;
    Configuration m_configuration;
    std::optional<TimePoint> m_knownAt;
};

} // namespace anvilmoor::batch
