#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace anvilmoor {

// A strongly typed name, so that, for example, a WorkerId cannot be passed where a RackId is expected.
template <typename Tag> class Identifier {
public:
    Identifier() = default;
    explicit Identifier(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }

    auto operator<=>(const Identifier&) const = default;

private:
    std::string m_value;
};

using WorkerId = Identifier<struct WorkerTag>;
using RackId = Identifier<struct RackTag>;
using AvailabilityZoneId = Identifier<struct AvailabilityZoneTag>;
using ClientAccountId = Identifier<struct ClientAccountTag>;
// An endpoint is the service instance on one worker: "<service>@<worker>".
using EndpointId = Identifier<struct EndpointTag>;
using ServiceId = Identifier<struct ServiceTag>;
using JobId = Identifier<struct JobTag>;
// An entry host: the machine that runs one entry daemon.
using HostId = Identifier<struct HostTag>;

} // namespace anvilmoor

template <typename Tag> struct std::hash<anvilmoor::Identifier<Tag>> {
    std::size_t operator()(const anvilmoor::Identifier<Tag>& identifier) const noexcept
    {
        return std::hash<std::string> {}(identifier.value());
    }
};
