#pragma once

#include "servers/clock.h"
#include "servers/metric_sink.h"
#include "servers/upstream_client.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <map>
#include <memory>

namespace boragelug
{

/// HTTP/1.1 over TCP with one connection for each attempt; closing it cancels the attempt.
class HttpUpstreamClient : public UpstreamClient
{
public:
    /// @p clock and @p metrics must outlive the client.
    HttpUpstreamClient(asio::io_context &context, const Clock &clock, MetricSink &metrics);
    ~HttpUpstreamClient() override;
    HttpUpstreamClient(const HttpUpstreamClient &) = delete;
    HttpUpstreamClient &operator=(const HttpUpstreamClient &) = delete;

    void send(const DispatchAttempt &attempt, Done done) override;
    void cancel(const AttemptId &attempt) override;

    /// Attempts in progress.
    std::size_t inProgress() const { return attempts_.size(); }

private:
    class Attempt;
    void finish(const AttemptId &attempt, const Done &done, AttemptResult result);

    asio::io_context &context_;
    const Clock &clock_;
    MetricSink &metrics_;
    std::map<AttemptId, std::shared_ptr<Attempt>> attempts_;
};

} // namespace boragelug
