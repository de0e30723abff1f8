#include "routing/flow_tag.h"

#include "core/hash.h"

namespace boragelug
{

FlowTag flowTagOf(UpstreamId upstream, Incarnation incarnation)
{
    const auto folded = static_cast<std::uint32_t>(combineHash(upstream.value, incarnation.value));
    return FlowTag { folded == 0 ? 1 : folded };
}

} // namespace boragelug
