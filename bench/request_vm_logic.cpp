#include "bench/request_world.h"

#include <algorithm>

namespace boragelug
{

namespace
{

class DispatcherLogic : public VmLogic
{
public:
    DispatcherLogic(const DispatcherConfig &config, VmId self, Incarnation incarnation, std::uint64_t seed)
        : dispatcher_(config, self, incarnation, seed)
    { }
    RequestActions applyView(std::shared_ptr<const View> view, TimePoint now) override
    {
        return dispatcher_.applyView(std::move(view), now);
    }
    std::string issue(const Endpoint &entry, TimePoint now) override
    {
        const auto id = dispatcher_.issueRequestId(entry, now);
        return id ? *id : std::string();
    }
    RequestActions request(CallerRequest request, TimePoint now) override
    {
        return dispatcher_.handleCallerRequest(std::move(request), now);
    }
    RequestActions answer(AttemptId attempt, Incarnation incarnation, UpstreamAnswer answer, TimePoint now) override
    {
        return dispatcher_.handleAnswer(attempt, incarnation, std::move(answer), now);
    }
    RequestActions failed(AttemptId attempt, AttemptFailure failure, TimePoint now) override
    {
        return dispatcher_.handleAttemptFailed(attempt, failure, now);
    }
    RequestActions forwarded(std::uint64_t forward, RequestOutcome outcome, TimePoint now) override
    {
        return dispatcher_.handleForwardedOutcome(forward, std::move(outcome), now);
    }
    RequestActions cancel(const std::string &idText, const ReplyAddress &replyTo, TimePoint now) override
    {
        return dispatcher_.handleCancel(idText, replyTo, now);
    }
    RequestActions peer(VmId from, const PeerMessage &message, TimePoint now) override
    {
        return dispatcher_.handlePeer(from, message, now);
    }
    RequestActions tick(TimePoint now) override { return dispatcher_.tick(now); }
    RequestActions slept(TimePoint now) override { return dispatcher_.notifySuspension(now); }
    RequestActions drain(TimePoint now) override { return dispatcher_.beginDrain(now); }
    std::optional<TimePoint> nextTick(TimePoint now) const override { return dispatcher_.nextTick(now); }
    const DispatcherCounters &counters() const override { return dispatcher_.counters(); }

private:
    RequestDispatcher dispatcher_;
};

class NaiveLogic : public VmLogic
{
public:
    explicit NaiveLogic(VmId self)
        : next_(self.value)
    { }
    RequestActions applyView(std::shared_ptr<const View> view, TimePoint) override
    {
        view_ = std::move(view);
        return {};
    }
    std::string issue(const Endpoint &, TimePoint) override { return {}; }
    RequestActions request(CallerRequest request, TimePoint now) override
    {
        const std::uint64_t number = ++number_;
        open_[number] = { std::move(request), now, now, 0 };
        return send(number, now);
    }
    RequestActions answer(AttemptId attempt, Incarnation, UpstreamAnswer answer, TimePoint now) override
    {
        const auto found = open_.find(attempt.request);
        if (found == open_.end()) {
            return {};
        }
        if (answer.status == 503) {
            return send(attempt.request, now);
        }
        const AnsweredOutcome outcome { std::make_shared<const UpstreamAnswer>(std::move(answer)) };
        return finish(attempt.request, outcome);
    }
    RequestActions failed(AttemptId attempt, AttemptFailure, TimePoint now) override
    {
        return open_.contains(attempt.request) ? send(attempt.request, now) : RequestActions {};
    }
    RequestActions forwarded(std::uint64_t, RequestOutcome, TimePoint) override { return {}; }
    RequestActions cancel(const std::string &, const ReplyAddress &, TimePoint) override { return {}; }
    RequestActions peer(VmId, const PeerMessage &, TimePoint) override { return {}; }
    RequestActions tick(TimePoint now) override
    {
        RequestActions out;
        std::vector<std::uint64_t> due;
        for (const auto &[number, open] : open_) {
            if (open.sentAt + open.request.timeout / maxTries <= now) {
                due.push_back(number);
            }
        }
        for (const std::uint64_t number : due) {
            const RequestActions more = send(number, now);
            out.insert(out.end(), more.begin(), more.end());
        }
        return out;
    }
    RequestActions slept(TimePoint) override { return {}; }
    RequestActions drain(TimePoint) override { return {}; }
    std::optional<TimePoint> nextTick(TimePoint now) const override
    {
        return open_.empty() ? std::nullopt : std::optional(now + milliseconds(10));
    }
    const DispatcherCounters &counters() const override { return counters_; }

private:
    static constexpr int maxTries = 3;
    struct Open
    {
        CallerRequest request;
        TimePoint since;
        TimePoint sentAt;
        int tries = 0;
    };

    RequestActions finish(std::uint64_t number, RequestOutcome outcome)
    {
        const auto found = open_.find(number);
        RequestActions out { ReplyToCaller { found->second.request.replyTo, {}, std::move(outcome) } };
        open_.erase(found);
        return out;
    }
    RequestActions send(std::uint64_t number, TimePoint now)
    {
        Open &open = open_.at(number);
        if (open.tries++ >= maxTries || view_->upstreams.empty()) {
            return finish(number, RefusedOutcome { RefusalReason::NoUpstream, {} });
        }
        open.sentAt = now;
        const Upstream &upstream = view_->upstreams[next_++ % view_->upstreams.size()].upstream;
        return { DispatchAttempt { { number, static_cast<std::uint32_t>(open.tries) },
                                   upstream.id,
                                   upstream.incarnation,
                                   upstream.httpEndpoint,
                                   open.request.timeout,
                                   TimePoint::max(),
                                   open.request.payload } };
    }

    std::shared_ptr<const View> view_;
    std::map<std::uint64_t, Open> open_;
    std::uint64_t number_ = 0;
    std::size_t next_;
    DispatcherCounters counters_;
};

} // namespace

std::unique_ptr<VmLogic>
makeDispatcherLogic(const DispatcherConfig &config, VmId self, Incarnation incarnation, std::uint64_t seed)
{
    return std::make_unique<DispatcherLogic>(config, self, incarnation, seed);
}

std::unique_ptr<VmLogic> makeNaiveLogic(VmId self)
{
    return std::make_unique<NaiveLogic>(self);
}

} // namespace boragelug
