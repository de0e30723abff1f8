#include "routing/flow_tag.h"

#include "core/hash.h"

namespace boragelug
{

FlowTag flowTagOf(UpstreamId upstream, Incarnation incarnation)
{
    const auto folded = static_cast<std::uint32_t>(combineHash(upstream.value, incarnation.value));
    return FlowTag { folded == 0 ? 1 : folded };
}

std::uint64_t flowCause(const Endpoint &caller, const Endpoint &entry)
{
    return combineHash(combineHash(caller.address.value, caller.port.value),
                       combineHash(entry.address.value, entry.port.value));
}

} // namespace boragelug
