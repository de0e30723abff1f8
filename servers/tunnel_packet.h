#pragma once

#include "core/ids.h"
#include "model/endpoint.h"
#include "routing/packet_attributes.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace boragelug
{

/**
 * Marks a caller's request, its cancellation or its outcome that one VM sends to another.
 *
 * Requests and answers exceed the datagrams of peer messages and don't count against the control budget, so they
 * travel as inner UDP packets like any other data.
 */
struct RelayOption
{
    enum class Kind : std::uint8_t { Request, Cancel, Outcome };

    Kind kind = Kind::Request;
    /// The VM that forwards the request and receives its outcome.
    VmId forwarder;
    /// Number of the request at the forwarder.
    std::uint64_t forward = 0;
    /// For a request: what remains of the caller's timeout. The message itself stays unchanged, since the issuer
    /// compares copies that reach it on different ways byte by byte.
    std::uint32_t remainingMilliseconds = 0;

    bool operator==(const RelayOption &) const = default;
};

/// What a VM adds to a packet for another VM; nothing on packets from the fabric and to upstreams.
using TunnelOption = std::variant<std::monostate, RedirectOption, RelayOption>;

/// An inner IPv4 packet with its service, as VMs, fabric and upstreams exchange it.
struct TunnelPacket
{
    /// The VNI; 0 for packets from the fabric, where no service is known yet.
    ServiceId service;
    TunnelOption option;
    std::vector<std::byte> inner;

    bool operator==(const TunnelPacket &) const = default;
};

/// Transport protocol of an inner packet, with its IANA number.
enum class InnerProtocol : std::uint8_t { Tcp = 6, Udp = 17 };

/// Flags of a TCP segment that the load balancer looks at.
struct TcpFlags
{
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;

    bool operator==(const TcpFlags &) const = default;
};

/// Headers of an inner packet; @c payload refers to the parsed bytes.
struct InnerPacket
{
    InnerProtocol protocol = InnerProtocol::Udp;
    Endpoint source;
    Endpoint destination;
    TcpFlags tcp;
    std::span<const std::byte> payload;
};

} // namespace boragelug
