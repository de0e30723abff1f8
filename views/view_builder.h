#pragma once

#include "model/view.h"
#include "views/upstream_load.h"
#include "views/view_event.h"
#include "views/view_store.h"

#include <memory>
#include <vector>

namespace boragelug
{

/// Builds the successor of @p previous. The time since which a host is active carries over while service and
/// incarnation stay; hosts of the first catalogue count as active since long ago, because a new VM can't know.
/// Thread-safe.
std::shared_ptr<const View> buildView(const View &previous,
                                      const ViewStore &store,
                                      std::vector<Member> members,
                                      const UpstreamLoad &load,
                                      bool unconfirmed,
                                      TimePoint now);

/// Events for hosts that appeared, started to drain or went between two views; at most @p limit. Thread-safe.
std::vector<ViewEvent> upstreamEvents(const View &before, const View &after, std::size_t limit);

} // namespace boragelug
