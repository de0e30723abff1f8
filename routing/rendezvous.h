#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace boragelug
{

/// A node that keys are distributed to.
struct RendezvousNode
{
    std::uint64_t id = 0;
    /// Fraction of the keys relative to other nodes; a node of weight 0 gets none.
    double weight = 1;
};

/// Score of node @p id for @p key with equal weights; the node with the highest score gets the key. Thread-safe.
std::uint64_t rendezvousScore(std::uint64_t key, std::uint64_t id);

/// Score with weights: each node has the highest score for a fraction of the keys proportional to its weight.
/// Thread-safe.
double weightedRendezvousScore(std::uint64_t key, const RendezvousNode &node);

/// Index of the node that @p key maps to; std::nullopt if no node has a positive weight. Thread-safe.
std::optional<std::size_t> rendezvousPick(std::uint64_t key, std::span<const RendezvousNode> nodes);

} // namespace boragelug
