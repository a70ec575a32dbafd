#include "placement/guarantee_ledger.h"

#include <algorithm>

namespace anvilmoor {

GuaranteeLedger::GuaranteeLedger(const ZoneInventory& inventory, const Configuration& configuration)
{
    for (const ClientAccountConfiguration& account : configuration.accounts) {
        const auto begin = static_cast<std::ptrdiff_t>(m_shapes.size());
        for (const GuaranteeConfiguration& guarantee : account.guarantees) {
            if (guarantee.zone == inventory.zone() && guarantee.accelerators > 0 && guarantee.count > 0)
                m_shapes.push_back({ &account.id, guarantee.accelerators, guarantee.count });
        }
        std::stable_sort(m_shapes.begin() + begin, m_shapes.end(),
            [](const Shape& left, const Shape& right) { return left.accelerators < right.accelerators; });
        // Claiming the smallest sufficient shape for each holding, in ascending order of size, leaves the
        // largest shapes unclaimed.
        for (const int size : inventory.guaranteedSizesOf(account.id))
            claim(account.id, size);
    }
}

// Index of the smallest unclaimed shape of the account that is large enough; m_shapes.size() if there is
// none.
std::size_t GuaranteeLedger::find(const ClientAccountId& account, int accelerators) const
{
    const auto found = std::find_if(m_shapes.begin(), m_shapes.end(), [&](const Shape& shape) {
        return *shape.account == account && shape.accelerators >= accelerators && shape.unclaimed > 0;
    });
    return static_cast<std::size_t>(found - m_shapes.begin());
}

bool GuaranteeLedger::canClaim(const ClientAccountId& account, int accelerators) const
{
    return find(account, accelerators) < m_shapes.size();
}

std::optional<int> GuaranteeLedger::claim(const ClientAccountId& account, int accelerators)
{
    const std::size_t shape = find(account, accelerators);
    if (shape == m_shapes.size())
        return std::nullopt;
    --m_shapes[shape].unclaimed;
    return m_shapes[shape].accelerators;
}

std::vector<int> GuaranteeLedger::unclaimed() const
{
    std::vector<int> sizes;
    for (const Shape& shape : m_shapes)
        sizes.insert(sizes.end(), static_cast<std::size_t>(shape.unclaimed), shape.accelerators);
    return sizes;
}

bool hasGuarantee(const Configuration& configuration, const AvailabilityZoneId& zone,
    const ClientAccountId& accountId, int accelerators)
{
    const ClientAccountConfiguration* account = configuration.findAccount(accountId);
    return account
        && std::any_of(account->guarantees.begin(), account->guarantees.end(),
            [&](const GuaranteeConfiguration& guarantee) {
                return guarantee.zone == zone && guarantee.count > 0
                    && guarantee.accelerators >= accelerators;
            });
}

} // namespace anvilmoor
