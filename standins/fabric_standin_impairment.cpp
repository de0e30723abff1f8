#include "standins/fabric_standin_impairment.h"

#include <asio/steady_timer.hpp>

#include <memory>

namespace boragelug
{

Impairment::Impairment(asio::io_context &context, const ImpairmentSettings &settings, std::uint64_t seed)
    : context_(context)
    , settings_(settings)
    , random_(seed)
{ }

void Impairment::apply(const std::function<void()> &deliver)
{
    if (random_.chance(settings_.drop)) {
        return;
    }
    schedule(deliver);
    if (random_.chance(settings_.duplicate)) {
        schedule(deliver);
    }
}

void Impairment::schedule(const std::function<void()> &deliver)
{
    Duration delay = settings_.delay;
    if (random_.chance(settings_.reorder)) {
        delay += settings_.reorderDelay;
    }
    if (delay == Duration::zero()) {
        deliver();
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([timer, deliver](const asio::error_code &error) {
        if (!error) {
            deliver();
        }
    });
}

} // namespace boragelug
