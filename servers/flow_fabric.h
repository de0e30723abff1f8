#pragma once

#include "core/ids.h"
#include "model/endpoint.h"
#include "model/flow_packet.h"

#include <cstddef>
#include <functional>
#include <span>

namespace boragelug
{

/// Exchanges the packets of a fabric that carries a flow tag. Implementations run on one thread.
class FlowFabric
{
public:
    /// Called with the head of each valid packet and the whole packet, which is valid during the call only.
    using Receiver = std::function<void(const FlowPacket &head, std::span<const std::byte> packet)>;

    virtual ~FlowFabric() = default;

    /// Starts receiving; to be called once.
    virtual void start(Receiver receiver) = 0;

    /// Sends @p packet with @p tag to the host @p upstream at @p address; false if the socket refused it.
    virtual bool
    forward(std::span<const std::byte> packet, FlowTag tag, UpstreamId upstream, const Endpoint &address) = 0;

    /// Sends the caller of @p head a reset of its flow; false if the socket refused it.
    virtual bool reset(const FlowPacket &head) = 0;
};

} // namespace boragelug
