#include "routing/rendezvous.h"

#include "core/hash.h"

#include <cmath>

namespace boragelug
{

std::uint64_t rendezvousScore(std::uint64_t key, std::uint64_t id)
{
    return combineHash(key, id);
}

double weightedRendezvousScore(std::uint64_t key, const RendezvousNode &node)
{
    if (node.weight <= 0) {
        return 0;
    }
    // 53 bits give an exact double in (0, 1); -w / ln(u) makes the fractions of keys proportional to the weights.
    const auto bits = rendezvousScore(key, node.id) >> 11U;
    const double unit = (static_cast<double>(bits) + 0.5) * 0x1p-53;
    return -node.weight / std::log(unit);
}

std::optional<std::size_t> rendezvousPick(std::uint64_t key, std::span<const RendezvousNode> nodes)
{
    std::optional<std::size_t> best;
    double bestScore = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const double score = weightedRendezvousScore(key, nodes[i]);
        if (score > bestScore) {
            best = i;
            bestScore = score;
        }
    }
    return best;
}

} // namespace boragelug
