#pragma once

#include "model/view.h"
#include "views/upstream_load.h"
#include "views/view_event.h"
#include "views/view_store.h"

#include <memory>
#include <vector>

namespace boragelug
{

/// Builds the successor of @p previous. UpstreamStatus::activeSince carries over while an upstream keeps its service
/// and incarnation and stays active. Upstreams of the first catalogue count as active for a long time, because a new VM
/// can't know since when they are active. Thread-safe.
std::shared_ptr<const View> buildView(const View &previous,
                                      const ViewStore &store,
                                      std::vector<Member> members,
                                      const UpstreamLoad &load,
                                      bool unconfirmed,
                                      TimePoint now);

/// Events for upstreams that appeared, started to drain or were removed between two views; at most @p limit.
/// Thread-safe.
std::vector<ViewEvent> upstreamEvents(const View &before, const View &after, std::size_t limit);

} // namespace boragelug
