#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "model/endpoint.h"

#include <cstdint>

namespace boragelug
{

/// State of a VM in the platform's list.
enum class VmState : std::uint8_t { Live, Leaving };

/// An entry VM as the platform or a peer describes it.
struct Vm
{
    VmId id;
    Incarnation incarnation;
    ZoneId zone;
    /// Receives packets from the fabric and redirected packets (Geneve).
    Endpoint packetEndpoint;
    /// Receives messages from peers (Thrift).
    Endpoint peerEndpoint;
    VmState state = VmState::Live;

    bool operator==(const Vm &) const = default;
};

/// What a VM believes of a peer.
enum class MemberHealth : std::uint8_t { Alive, Suspect, Dead };

/// A peer in a VM's view.
struct Member
{
    Vm vm;
    MemberHealth health = MemberHealth::Alive;
    /// When this VM first heard of this incarnation.
    TimePoint knownSince;

    bool operator==(const Member &) const = default;
};

} // namespace boragelug
