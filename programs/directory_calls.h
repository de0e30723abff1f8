#pragma once

#include "drivers/asio_runtime.h"
#include "drivers/prometheus_metrics.h"
#include "node/tagged_node.h"
#include "servers/directory.h"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <optional>

namespace boragelug
{

/**
 * Makes the calls to the directory and to relays that a TaggedNode asks for, and passes the answers on to it.
 *
 * Runs on the runtime's thread.
 */
class DirectoryCalls
{
public:
    /// Receives the events of each answer, after the node has taken it.
    using Handler = std::function<void(std::vector<NodeEvent>)>;

    /// @p relays and @p startRelays may be null; then the node must have no relays. They make one call at a time each,
    /// so that the calls of the start need an object of their own. The references must outlive this.
    DirectoryCalls(AsioRuntime &runtime,
                   TaggedNode &node,
                   Directory &directory,
                   Directory *relays,
                   Directory *startRelays,
                   PrometheusMetrics &metrics,
                   Handler handler);

    /// Makes the calls that are due, and later ones when they become due. To be called after every input of the node
    /// that isn't an answer to these calls.
    void update();

private:
    void updateSoon();
    void callDirectory();
    void callRelayForStart();
    void checkListing();
    void handleAnswer(const DirectoryCall &call, TimePoint startedAt, const DirectoryAnswer &answer);
    void handleStartAnswer(const DirectoryAnswer &answer);
    void scheduleUpdate();
    TimePoint now() const { return runtime_.clock().now(); }

    AsioRuntime &runtime_;
    TaggedNode &node_;
    Directory &directory_;
    Directory *relays_;
    Directory *startRelays_;
    PrometheusMetrics &metrics_;
    Handler handler_;
    asio::steady_timer timer_;
    /// Ids of the calls in progress to the directory and, for the start, to a relay.
    std::optional<std::uint64_t> directoryCall_;
    std::optional<std::uint64_t> startCall_;
};

} // namespace boragelug
