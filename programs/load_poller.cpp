#include "programs/load_poller.h"

#include "drivers/http_codec.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cmath>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace boragelug
{
namespace
{

constexpr Duration readTimeout = std::chrono::seconds(1);

std::optional<LoadReport> parseReport(const Upstream &host, const UpstreamAnswer &answer, TimePoint now)
{
    const auto decoded = decodeCallerAnswer(*answer.payload);
    if (!decoded || decoded->status != 200) {
        return std::nullopt;
    }
    const auto object = nlohmann::json::parse(decoded->body, nullptr, false);
    if (!object.is_object() || !object.contains("load") || !object["load"].is_number()) {
        return std::nullopt;
    }
    const double load = object["load"].get<double>();
    const bool healthy = !object.contains("healthy") || object["healthy"] == true;
    if (!std::isfinite(load) || load < 0) {
        return std::nullopt;
    }
    return LoadReport {
        .upstream = host.id, .incarnation = host.incarnation, .load = load, .healthy = healthy, .reportedAt = now
    };
}

} // namespace

LoadPoller::LoadPoller(AsioRuntime &runtime, MetricSink &metrics, Receiver receiver)
    : runtime_(runtime)
    , client_(runtime.context(), runtime.clock(), metrics)
    , receiver_(std::move(receiver))
{ }

void LoadPoller::poll(const std::vector<Upstream> &hosts)
{
    for (const AttemptId &read : std::exchange(reads_, {})) {
        client_.cancel(read);
    }
    static const auto request =
        std::make_shared<const std::string>("GET /load HTTP/1.1\r\nHost: boragelug\r\nContent-Length: 0\r\n\r\n");
    for (const Upstream &host : hosts) {
        const DispatchAttempt attempt {
            .attempt = { .request = ++lastRead_, .number = 1 },
            .upstream = host.id,
            .upstreamIncarnation = host.incarnation,
            .endpoint = host.httpEndpoint,
            .remaining = readTimeout,
            .sendBy = runtime_.clock().now() + readTimeout,
            .payload = request,
        };
        reads_.push_back(attempt.attempt);
        client_.send(attempt, [this, host](const AttemptResult &result) { received(host, result); });
    }
}

void LoadPoller::received(const Upstream &host, const AttemptResult &result)
{
    // A host that can't be read isn't reported: the design takes own outcomes before this hint.
    if (const auto *answer = std::get_if<UpstreamAnswer>(&result)) {
        if (const auto report = parseReport(host, *answer, runtime_.clock().now())) {
            receiver_(*report);
        }
    }
}

} // namespace boragelug
