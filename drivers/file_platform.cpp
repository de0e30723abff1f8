#include "drivers/file_platform.h"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace boragelug
{
namespace
{

// A file needs no sharding, so all entries and all upstreams are in the first part of their kind.
constexpr std::uint16_t servedParts[] = { parts::zones, parts::services, parts::firstEntries, parts::firstUpstreams };

template<class T>
std::vector<PartItem> toItems(const std::vector<T> &values)
{
    return { values.begin(), values.end() };
}

std::vector<PartItem> itemsOf(const ViewFile &file, std::uint16_t part)
{
    switch (part) {
    case parts::zones:
        return toItems(file.catalogue.zones);
    case parts::services:
        return toItems(file.catalogue.services);
    case parts::firstEntries:
        return toItems(file.catalogue.entries);
    default:
        return toItems(file.upstreams);
    }
}

PlatformIndex indexOf(const ViewFile &file)
{
    PlatformIndex index { .version = file.catalogue.version, .parts = {} };
    for (const std::uint16_t part : servedParts) {
        index.parts.push_back({ .part = part, .version = file.catalogue.version.value });
    }
    return index;
}

VmList vmsOf(const ViewFile &file, ZoneId zone)
{
    VmList list { .zone = zone, .version = file.catalogue.version.value, .vms = {} };
    std::copy_if(
        file.vms.begin(), file.vms.end(), std::back_inserter(list.vms), [&](const Vm &vm) { return vm.zone == zone; });
    return list;
}

} // namespace

FilePlatform::FilePlatform(AsioRuntime &runtime, std::string path)
    : runtime_(runtime)
    , path_(std::move(path))
{
    refresh();
    runtime_.every(std::chrono::milliseconds(100), [this] {
        refresh();
        answerDue();
    });
}

void FilePlatform::call(const PlatformCall &call, Done done)
{
    const TimePoint until = runtime_.clock().now() + call.wait;
    pending_.insert_or_assign(call.id, Pending { .call = call, .done = std::move(done), .until = until });
    asio::post(runtime_.context(), [this] { answerDue(); });
}

void FilePlatform::cancel(std::uint64_t callId)
{
    const auto found = pending_.find(callId);
    if (found == pending_.end()) {
        return;
    }
    asio::post(runtime_.context(), [done = std::move(found->second.done), callId] {
        done({ .callId = callId, .result = PlatformFailure { .error = PlatformError::Cancelled, .detail = {} } });
    });
    pending_.erase(found);
}

void FilePlatform::refresh()
{
    auto loaded = loadViewFile(path_);
    if (loaded && (!current_ || loaded->catalogue.version > current_->catalogue.version)) {
        current_ = std::move(loaded.value());
    }
}

std::optional<PlatformAnswer> FilePlatform::answerTo(const Pending &pending) const
{
    PlatformAnswer answer { .callId = pending.call.id, .result = PlatformUnchanged {} };
    if (!current_) {
        answer.result = PlatformFailure { .error = PlatformError::Unreachable, .detail = "no view file" };
        return answer;
    }
    if (pending.call.knownVersion == current_->catalogue.version.value) {
        return runtime_.clock().now() >= pending.until ? std::optional(answer) : std::nullopt;
    }
    const std::uint16_t part = pending.call.part;
    switch (pending.call.resource) {
    case PlatformResource::Index:
        answer.result = indexOf(*current_);
        break;
    case PlatformResource::VmList:
        answer.result = vmsOf(*current_, pending.call.zone);
        break;
    case PlatformResource::Part:
        if (std::find(std::begin(servedParts), std::end(servedParts), part) == std::end(servedParts)) {
            answer.result = PlatformFailure { .error = PlatformError::NotFound, .detail = {} };
        } else {
            answer.result = PartContent { .part = part,
                                          .version = current_->catalogue.version.value,
                                          .items = itemsOf(*current_, part) };
        }
        break;
    }
    return answer;
}

void FilePlatform::answerDue()
{
    // Collected first, since a callback may start further calls.
    std::vector<std::pair<Done, PlatformAnswer>> due;
    for (auto it = pending_.begin(); it != pending_.end();) {
        auto answer = answerTo(it->second);
        if (answer) {
            due.emplace_back(std::move(it->second.done), std::move(*answer));
            it = pending_.erase(it);
        } else {
            ++it;
        }
    }
    for (auto &[done, answer] : due) {
        done(std::move(answer));
    }
}

} // namespace boragelug
