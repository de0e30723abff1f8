#include "views/view_builder.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace boragelug
{

namespace
{

bool byServiceAndId(const UpstreamStatus &left, const UpstreamStatus &right)
{
    return std::tie(left.upstream.service, left.upstream.id) < std::tie(right.upstream.service, right.upstream.id);
}

std::vector<UpstreamStatus> collectUpstreams(const ViewStore &store)
{
    std::size_t count = 0;
    for (const auto &[part, state] : store.parts()) {
        count += parts::isUpstreams(part) ? state->items.size() : 0;
    }
    std::vector<UpstreamStatus> upstreams;
    upstreams.reserve(count);
    for (const auto &[part, state] : store.parts()) {
        if (!parts::isUpstreams(part)) {
            continue;
        }
        for (const StoredItem &stored : state->items) {
            if (const auto *upstream = std::get_if<Upstream>(&stored.item)) {
                upstreams.push_back({ *upstream, {}, true, {} });
            }
        }
    }
    std::sort(upstreams.begin(), upstreams.end(), byServiceAndId);
    return upstreams;
}

// Merges two sorted lists: calls both(a, b) for each pair of equal keys, onlyLeft(a) or onlyRight(b) for the others.
template<class Both, class OnlyLeft, class OnlyRight>
void merge(const std::vector<UpstreamStatus> &left,
           std::vector<UpstreamStatus> &right,
           Both both,
           OnlyLeft onlyLeft,
           OnlyRight onlyRight)
{
    auto a = left.begin();
    auto b = right.begin();
    while (a != left.end() || b != right.end()) {
        if (b == right.end() || (a != left.end() && byServiceAndId(*a, *b))) {
            onlyLeft(*a++);
        } else if (a == left.end() || byServiceAndId(*b, *a)) {
            onlyRight(*b++);
        } else {
            both(*a++, *b++);
        }
    }
}

ViewEvent eventOf(EventNumber number, const Upstream &upstream)
{
    return { number,
             upstream.id.value,
             { { "upstream", std::to_string(upstream.id.value) },
               { "incarnation", std::to_string(upstream.incarnation.value) },
               { "service", std::to_string(upstream.service.value) } } };
}

} // namespace

std::shared_ptr<const View> buildView(const View &previous,
                                      const ViewStore &store,
                                      std::vector<Member> members,
                                      const UpstreamLoad &load,
                                      bool unconfirmed,
                                      TimePoint now)
{
    auto view = std::make_shared<View>();
    view->self = previous.self;
    view->selfIncarnation = previous.selfIncarnation;
    view->selfZone = previous.selfZone;
    view->generation = previous.generation + 1;
    view->publishedAt = now;
    view->unconfirmed = unconfirmed;
    view->catalogue = store.catalogue();
    view->members = std::move(members);
    view->upstreams = collectUpstreams(store);
    const bool first = previous.catalogue.version.value == 0;
    merge(
        previous.upstreams,
        view->upstreams,
        [now](const UpstreamStatus &old, UpstreamStatus &status) {
            const bool reactivated = old.upstream.incarnation != status.upstream.incarnation
                || (old.upstream.state != UpstreamState::Active && status.upstream.state == UpstreamState::Active);
            status.activeSince = reactivated ? now : old.activeSince;
        },
        [](const UpstreamStatus &) {},
        [now, first](UpstreamStatus &status) { status.activeSince = first ? TimePoint {} : now; });
    for (UpstreamStatus &status : view->upstreams) {
        if (const std::optional<LoadReport> report = load.find(status.upstream.id, now)) {
            status.load = *report;
        }
    }
    return view;
}

std::vector<ViewEvent> upstreamEvents(const View &before, const View &after, std::size_t limit)
{
    std::vector<ViewEvent> events;
    if (before.catalogue.version.value == 0) {
        return events;
    }
    const auto add = [&events, limit](EventNumber number, const Upstream &upstream) {
        if (events.size() < limit) {
            events.push_back(eventOf(number, upstream));
        }
    };
    std::vector<UpstreamStatus> current = after.upstreams;
    merge(
        before.upstreams,
        current,
        [&add](const UpstreamStatus &old, const UpstreamStatus &status) {
            if (old.upstream.incarnation != status.upstream.incarnation) {
                add(EventNumber::UpstreamAppeared, status.upstream);
            } else if (old.upstream.state == UpstreamState::Active && status.upstream.state != UpstreamState::Active) {
                add(EventNumber::UpstreamDraining, status.upstream);
            }
        },
        [&add](const UpstreamStatus &old) { add(EventNumber::UpstreamGone, old.upstream); },
        [&add](const UpstreamStatus &status) { add(EventNumber::UpstreamAppeared, status.upstream); });
    return events;
}

} // namespace boragelug
