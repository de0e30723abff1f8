#pragma once

#include "model/endpoint.h"
#include "servers/tunnel_packet.h"

#include <functional>

namespace boragelug
{

/// Exchanges encapsulated packets with the fabric, peers and upstreams. Implementations run on one thread.
class Fabric
{
public:
    /// Called with each packet and the address that it came from.
    using Receiver = std::function<void(const Endpoint &from, TunnelPacket packet)>;

    virtual ~Fabric() = default;

    /// Starts receiving; @p receiver is called for each valid packet until the fabric is destroyed.
    virtual void start(Receiver receiver) = 0;

    /// Sends @p packet to @p to; false if the socket refused it. Delivery is not confirmed.
    virtual bool send(const Endpoint &to, const TunnelPacket &packet) = 0;

    /// Where this fabric receives.
    virtual Endpoint localEndpoint() const = 0;
};

} // namespace boragelug
