#include "views/view_keeper.h"

#include "views/view_keeper_state.h"

#include <utility>

namespace boragelug
{

ViewKeeper::ViewKeeper(ViewKeeperSettings settings, TimePoint now)
    : state_(std::make_unique<State>(std::move(settings), now))
{ }

ViewKeeper::~ViewKeeper() = default;

void ViewKeeper::handlePlatformAnswer(PlatformAnswer answer, TimePoint now)
{
    state_->handlePlatformAnswer(std::move(answer), now);
}

void ViewKeeper::handleMessage(const PeerMessage &message, VmId from, TimePoint now)
{
    state_->handleMessage(message, from, now);
}

void ViewKeeper::handleLoadReport(const LoadReport &report, TimePoint now)
{
    state_->handleLoadReport(report, now);
}

void ViewKeeper::send(OutgoingMessage message, TimePoint now)
{
    state_->send(std::move(message), now);
}

ViewActions ViewKeeper::tick(TimePoint now, Random &random)
{
    return state_->tick(now, random);
}

std::shared_ptr<const View> ViewKeeper::publish() const
{
    return state_->view();
}

bool ViewKeeper::isReady() const
{
    return state_->isReady();
}

bool ViewKeeper::isReader() const
{
    return state_->isReader();
}

const std::vector<Upstream> &ViewKeeper::polledUpstreams() const
{
    return state_->polledUpstreams();
}

std::optional<Endpoint> ViewKeeper::peerEndpoint(VmId vm) const
{
    return state_->peerEndpoint(vm);
}

void ViewKeeper::leave(TimePoint now)
{
    state_->leave(now);
}

const std::optional<RejectedCatalogue> &ViewKeeper::lastRejected() const
{
    return state_->store().lastRejected();
}

const ViewCounters &ViewKeeper::counters() const
{
    return state_->counters();
}

} // namespace boragelug
