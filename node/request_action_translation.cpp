#include "node/request_action_translation.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <limits>
#include <string>
#include <utility>

namespace boragelug
{
namespace
{

constexpr std::int64_t maxRelayedMilliseconds = std::numeric_limits<std::uint32_t>::max();

struct Translator
{
    VmId self;
    const PacketEndpointLookup &endpointOf;

    std::optional<NodeAction> operator()(DispatchAttempt &&action) const { return std::move(action); }
    std::optional<NodeAction> operator()(CancelAttempt &&action) const { return action; }

    std::optional<NodeAction> operator()(ReplyToCaller &&action) const
    {
        if (!action.to.forwardedBy) {
            return std::move(action);
        }
        const auto endpoint = endpointOf(*action.to.forwardedBy);
        if (!endpoint) {
            return std::nullopt;
        }
        const RelayOption option {
            .kind = RelayOption::Kind::Outcome,
            .forwarder = *action.to.forwardedBy,
            .forward = action.to.token,
        };
        return RelayOutcome { .to = *endpoint, .option = option, .reply = std::move(action) };
    }

    std::optional<NodeAction> operator()(ForwardToIssuer &&action) const
    {
        const auto endpoint = endpointOf(action.issuer);
        if (!endpoint) {
            return std::nullopt;
        }
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(action.request.timeout).count();
        const RelayOption option {
            .kind = action.cancel ? RelayOption::Kind::Cancel : RelayOption::Kind::Request,
            .forwarder = self,
            .forward = action.forward,
            .remainingMilliseconds =
                static_cast<std::uint32_t>(std::clamp<std::int64_t>(remaining, 0, maxRelayedMilliseconds)),
        };
        return RelayRequest { .to = *endpoint, .option = option, .request = std::move(action.request) };
    }

    std::optional<NodeAction> operator()(OutgoingMessage &&) const
    {
        assert(false);
        return std::nullopt;
    }

    std::optional<NodeAction> operator()(RequestEvent &&action) const
    {
        NodeEvent event { .number = action.number, .causeId = action.causeId, .fields = {} };
        if (action.upstream.value != 0) {
            event.fields.emplace_back("upstream", std::to_string(action.upstream.value));
        }
        if (!action.detail.empty()) {
            event.fields.emplace_back("detail", std::string(action.detail));
        }
        return event;
    }
};

} // namespace

std::optional<NodeAction> translate(RequestAction action, VmId self, const PacketEndpointLookup &endpointOf)
{
    return std::visit(Translator { .self = self, .endpointOf = endpointOf }, std::move(action));
}

} // namespace boragelug
