#include "programs/directory_calls.h"

#include <absl/cleanup/cleanup.h>
#include <asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace boragelug
{

DirectoryCalls::DirectoryCalls(AsioRuntime &runtime,
                               TaggedNode &node,
                               Directory &directory,
                               Directory *relays,
                               Directory *startRelays,
                               PrometheusMetrics &metrics,
                               Handler handler)
    : runtime_(runtime)
    , node_(node)
    , directory_(directory)
    , relays_(relays)
    , startRelays_(startRelays)
    , metrics_(metrics)
    , handler_(std::move(handler))
    , timer_(runtime.context())
{ }

void DirectoryCalls::update()
{
    checkListing();
    callDirectory();
    callRelayForStart();
    scheduleUpdate();
}

// Posted, so that it is also safe while an exception is handled: there must always be a next call.
void DirectoryCalls::updateSoon()
{
    asio::post(runtime_.context(), [this] { update(); });
}

void DirectoryCalls::callDirectory()
{
    const auto call = node_.nextCall(now());
    if (!call) {
        return;
    }
    const bool follows = call->kind == DirectoryCall::Kind::Follow;
    metrics_.add(follows ? "boragelug_relay_calls_total" : "boragelug_directory_calls_total", 1, {});
    if (!follows) {
        directoryCall_ = call->id;
    }
    Directory &directory = follows ? *relays_ : directory_;
    directory.call(*call, [this, call = *call, startedAt = now()](const DirectoryAnswer &answer) {
        handleAnswer(call, startedAt, answer);
    });
}

void DirectoryCalls::handleAnswer(const DirectoryCall &call, TimePoint startedAt, const DirectoryAnswer &answer)
{
    if (directoryCall_ == call.id) {
        directoryCall_.reset();
    }
    if (const auto *failure = std::get_if<DirectoryFailure>(&answer.result)) {
        metrics_.add("boragelug_directory_failures_total", 1, { { "reason", failure->detail } });
    } else if (call.wait == Duration::zero()) {
        const std::chrono::duration<double> seconds = now() - startedAt;
        metrics_.observe("boragelug_directory_read_seconds", seconds.count(), {});
    }
    const absl::Cleanup next = [this] { updateSoon(); };
    handler_(node_.handleDirectoryAnswer(answer, now()));
}

void DirectoryCalls::callRelayForStart()
{
    const auto call = node_.nextStartCall(now());
    if (!call) {
        return;
    }
    // The node has given up the call in progress.
    if (startCall_) {
        startRelays_->cancel(*startCall_);
    }
    metrics_.add("boragelug_relay_calls_total", 1, {});
    startCall_ = call->id;
    startRelays_->call(*call, [this](const DirectoryAnswer &answer) { handleStartAnswer(answer); });
}

void DirectoryCalls::handleStartAnswer(const DirectoryAnswer &answer)
{
    if (startCall_ == answer.callId) {
        startCall_.reset();
    }
    const absl::Cleanup next = [this] { updateSoon(); };
    handler_(node_.handleStartAnswer(answer, now()));
    // The records of a relay replace a listing in progress. The answer to an announcement replaces nothing.
    if (directoryCall_ && node_.directoryCallInProgress() != directoryCall_) {
        directory_.cancel(*std::exchange(directoryCall_, std::nullopt));
    }
}

void DirectoryCalls::checkListing()
{
    const auto at = node_.listingCheckAt();
    if (!at || now() < *at || !directoryCall_) {
        return;
    }
    if (node_.abandonsListing(directory_.receivedBytes(*directoryCall_), now())) {
        metrics_.add("boragelug_directory_listings_abandoned_total", 1, {});
        directory_.cancel(*std::exchange(directoryCall_, std::nullopt));
    }
}

void DirectoryCalls::scheduleUpdate()
{
    std::optional<TimePoint> next;
    for (const auto &at : { node_.nextCallAt(), node_.nextStartCallAt(), node_.listingCheckAt() }) {
        next = at ? std::min(next.value_or(*at), *at) : next;
    }
    if (!next) {
        timer_.cancel();
        return;
    }
    timer_.expires_after(std::max(*next - now(), Duration::zero()));
    timer_.async_wait([this](const asio::error_code &error) {
        if (!error) {
            update();
        }
    });
}

} // namespace boragelug
