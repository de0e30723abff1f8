#include "drivers/directory_json.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <limits>
#include <stdexcept>
#include <utility>

namespace boragelug
{
namespace
{

using nlohmann::json;

/// Durations are nanoseconds, so that those that are no whole milliseconds compare equal.
json toNanoseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(duration).count();
}

/// Integer of @p value from 0 to @p most. Throws std::runtime_error.
std::uint64_t readInteger(const json &value, std::uint64_t most)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > most) {
        throw std::runtime_error("a number is not an integer in its range");
    }
    return value.get<std::uint64_t>();
}

Duration readDuration(const json &value)
{
    const std::uint64_t count = readInteger(value, std::numeric_limits<std::int64_t>::max());
    return std::chrono::nanoseconds(static_cast<std::int64_t>(count));
}

std::uint32_t readWord(const json &value)
{
    return static_cast<std::uint32_t>(readInteger(value, std::numeric_limits<std::uint32_t>::max()));
}

json entryToJson(const EntryRecord &entry)
{
    json services = json::array();
    for (const ServiceShare &share : entry.services) {
        services.push_back({ { "service", share.service }, { "weight", share.weight } });
    }
    return { { "name", entry.name.value },
             { "address", toString(entry.address) },
             { "services", std::move(services) },
             { "idempotent", entry.idempotent },
             { "latency_objective_ns", toNanoseconds(entry.latencyObjective) },
             { "timeout_ns", toNanoseconds(entry.timeout) },
             { "priority", entry.priority } };
}

EntryRecord readEntry(const json &object)
{
    const auto address = parseEndpoint(object.at("address").get<std::string>());
    if (!address) {
        throw std::runtime_error("an entry has no valid address");
    }
    EntryRecord entry;
    entry.name = EntryName { object.at("name").get<std::string>() };
    entry.address = *address;
    for (const json &share : object.at("services")) {
        entry.services.push_back(
            { .service = share.at("service").get<std::string>(), .weight = readWord(share.at("weight")) });
    }
    entry.idempotent = object.at("idempotent").get<bool>();
    entry.latencyObjective = readDuration(object.at("latency_objective_ns"));
    entry.timeout = readDuration(object.at("timeout_ns"));
    entry.priority = readWord(object.at("priority"));
    return entry;
}

ServiceRecord readService(const json &object)
{
    const auto perSecond = object.at("cold_requests_per_second").get<double>();
    if (!std::isfinite(perSecond) || perSecond <= 0) {
        throw std::runtime_error("the limit of a service is not positive");
    }
    return { .name = object.at("name").get<std::string>(),
             .coldStart = readDuration(object.at("cold_start_ns")),
             .coldRequestsPerSecond = perSecond };
}

CataloguePage readPage(const json &object)
{
    CataloguePage page;
    CatalogueRecord &record = page.record;
    record.version = CatalogueVersion { readInteger(object.at("version"), std::numeric_limits<std::uint64_t>::max()) };
    if (const json &idle = object.at("flow_idle_timeout_ns"); !idle.is_null()) {
        record.flowIdleTimeout = readDuration(idle);
    }
    for (const json &service : object.at("services")) {
        record.services.push_back(readService(service));
    }
    for (const json &entry : object.at("entries")) {
        record.entries.push_back(readEntry(entry));
    }
    page.more = object.at("more").get<bool>();
    return page;
}

} // namespace

std::string cataloguePageToJson(const CataloguePage &page)
{
    json entries = json::array();
    for (const EntryRecord &entry : page.record.entries) {
        entries.push_back(entryToJson(entry));
    }
    json services = json::array();
    for (const ServiceRecord &service : page.record.services) {
        services.push_back({ { "name", service.name },
                             { "cold_start_ns", toNanoseconds(service.coldStart) },
                             { "cold_requests_per_second", service.coldRequestsPerSecond } });
    }
    const auto &idle = page.record.flowIdleTimeout;
    return json {
        { "version", page.record.version.value },
        { "flow_idle_timeout_ns", idle ? toNanoseconds(*idle) : json() },
        { "services", std::move(services) },
        { "entries", std::move(entries) },
        { "more", page.more }
    }.dump(-1, ' ', false, json::error_handler_t::replace)
        + '\n';
}

Outcome<CataloguePage, std::string> cataloguePageFromJson(std::string_view text)
{
    using Result = Outcome<CataloguePage, std::string>;
    try {
        return readPage(json::parse(text));
    } catch (const json::exception &error) {
        return Result::failure(error.what());
    } catch (const std::runtime_error &error) {
        return Result::failure(error.what());
    }
}

} // namespace boragelug
