#include "batch/intake/configuration_view.h"

#include <algorithm>

namespace anvilmoor::batch {

ConfigurationView::ConfigurationView(Milliseconds maxConfigurationAge)
    : m_maxConfigurationAge(maxConfigurationAge)
{
}

bool ConfigurationView::applyUpdate(const ConfigurationUpdated& update)
{
    bool isNewer = false;
    for (const Configuration& configuration : update.versions) {
        if (configuration.version <= m_configuration.version)
            continue;
        m_configuration = configuration;
        isNewer = true;
    }
    m_knownAt = std::max(m_knownAt.value_or(update.knownAt), update.knownAt);
    return isNewer;
}

bool ConfigurationView::isConfirmed(TimePoint now) const { return isFresh(now, m_maxConfigurationAge); }

bool ConfigurationView::isFresh(TimePoint now, Milliseconds age) const
{
    return hasConfiguration() && m_knownAt && now < *m_knownAt + age;
}

const QueueConfiguration* ConfigurationView::findQueue(std::string_view host, std::string_view path) const
{
    const QueueConfiguration* best = nullptr;
    for (const QueueConfiguration& queue : m_configuration.queues) {
        if (queue.host != host || !path.starts_with(queue.pathPrefix))
            continue;
        if (!best || queue.pathPrefix.size() > best->pathPrefix.size())
            best = &queue;
    }
    return best;
}

const ClientAccountConfiguration* ConfigurationView::findAccount(std::string_view apiKey) const
{
    for (const ClientAccountConfiguration& account : m_configuration.accounts) {
        if (std::find(account.apiKeys.begin(), account.apiKeys.end(), apiKey) != account.apiKeys.end())
            return &account;
    }
    return nullptr;
}

} // namespace anvilmoor::batch
