#pragma once

#include "drivers/asio_runtime.h"
#include "drivers/http_upstream_client.h"
#include "model/upstream.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace boragelug
{

/// Reads the load endpoint of upstreams: GET /load answers {"load": 0.5, "healthy": true}.
class LoadPoller
{
public:
    using Receiver = std::function<void(const LoadReport &)>;

    LoadPoller(AsioRuntime &runtime, MetricSink &metrics, Receiver receiver);

    /// Starts one read of each of @p hosts. A read of the previous round that hasn't ended is given up.
    void poll(const std::vector<Upstream> &hosts);

private:
    void received(const Upstream &host, const AttemptResult &result);

    AsioRuntime &runtime_;
    HttpUpstreamClient client_;
    Receiver receiver_;
    std::uint64_t lastRead_ = 0;
    std::vector<AttemptId> reads_;
};

} // namespace boragelug
