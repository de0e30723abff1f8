#include "core/hash.h"
#include "core/random.h"
#include "routing/flow_router.h"
#include "routing/owner_table.h"

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <new>

namespace
{

std::size_t allocations = 0;

} // namespace

// Counts allocations of the whole process, to show that a known flow needs none.
[[gnu::noinline]] void *operator new(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace
{

using namespace boragelug;
using std::chrono::seconds;

const TimePoint start { seconds(1000) };

struct Size
{
    std::size_t flows = 1;
    std::size_t hosts = 14;
    std::size_t vms = 8;
    std::size_t services = 2;
    /// Whether the measured VM is the only one, and so the primary of all flows.
    bool alone = false;
};

Endpoint addressOf(std::size_t service)
{
    return { { static_cast<std::uint32_t>(0x0a000000 + service) }, { 80 } };
}

std::shared_ptr<View> makeView(const Size &size)
{
    auto view = std::make_shared<View>();
    view->self = { 1 };
    view->selfZone = { 1 };
    for (std::uint16_t zone = 1; zone <= 4; ++zone) {
        view->catalogue.zones.push_back({ { zone }, "zone", "region" });
    }
    for (std::size_t i = 1; i <= size.services; ++i) {
        const ServiceId service { static_cast<std::uint32_t>(i) };
        view->catalogue.services.push_back({ service, "service", 3, 1'000'000, {} });
        Entry entry;
        entry.service = service;
        entry.address = addressOf(i);
        entry.allowSpill = true;
        view->catalogue.entries.push_back(entry);
        for (std::size_t host = 0; host < size.hosts; ++host) {
            UpstreamStatus status;
            status.upstream.id = { i * 100'000 + host };
            status.upstream.incarnation = { 1 };
            status.upstream.service = service;
            status.upstream.zone = { static_cast<std::uint16_t>(1 + host % 4) };
            view->upstreams.push_back(status);
        }
    }
    for (std::size_t i = 1; i <= (size.alone ? 1 : size.vms); ++i) {
        Member member;
        member.vm.id = { i };
        member.vm.zone = { static_cast<std::uint16_t>(1 + i % 4) };
        view->members.push_back(member);
    }
    view->members[0].vm.zone = { 1 };
    return view;
}

PacketAttributes packetOf(std::size_t flow, FlowStart flowStart)
{
    PacketAttributes attributes;
    attributes.key = { mix64(flow) };
    attributes.entry = addressOf(1);
    attributes.flowStart = flowStart;
    return attributes;
}

FlowRouter makeRouter(const Size &size)
{
    FlowRouter router({ std::max<std::size_t>(1024, size.flows + size.flows / 8), 1 });
    router.applyView(makeView(size), start);
    for (std::size_t flow = 0; size.alone && flow < size.flows; ++flow) {
        router.route(packetOf(flow, FlowStart::Yes), start);
        router.route(packetOf(flow, FlowStart::No), start);
    }
    return router;
}

/// Packets of known flows at their primary, by number of flows.
void knownFlow(benchmark::State &state)
{
    Size size;
    size.alone = true;
    size.flows = static_cast<std::size_t>(state.range(0));
    FlowRouter router = makeRouter(size);
    Random random(1);
    const std::size_t before = allocations;
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(router.route(packetOf(random.below(size.flows), FlowStart::No), start));
    }
    state.counters["allocations"] = static_cast<double>(allocations - before);
    state.counters["bytes/flow"] = static_cast<double>(router.gauges().tableBytes) / static_cast<double>(size.flows);
}
BENCHMARK(knownFlow)->Arg(1'000)->Arg(10'000)->Arg(100'000)->Arg(400'000)->Arg(1'000'000);

/// Packets of unknown flows, which are redirected, by number of VMs of the region.
void unknownFlow(benchmark::State &state)
{
    Size size;
    size.vms = static_cast<std::size_t>(state.range(0));
    FlowRouter router = makeRouter(size);
    std::size_t flow = 0;
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(router.route(packetOf(++flow, FlowStart::No), start));
    }
}
BENCHMARK(unknownFlow)->Arg(8)->Arg(64)->Arg(512)->Arg(2100);

/// Placement of new flows by number of hosts of the service.
void placeFlowAmongHosts(benchmark::State &state)
{
    Size size;
    size.alone = true;
    size.flows = 100'000;
    size.hosts = static_cast<std::size_t>(state.range(0));
    FlowRouter router({ size.flows, 1 });
    router.applyView(makeView(size), start);
    std::size_t flow = 0;
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(router.route(packetOf(++flow, FlowStart::Yes), start));
    }
}
BENCHMARK(placeFlowAmongHosts)->Arg(4)->Arg(14)->Arg(64)->Arg(256)->Arg(1024);

/// A new view without a change of members, by number of services of four hosts and one entry each.
void applyViewByServices(benchmark::State &state)
{
    Size size;
    size.services = static_cast<std::size_t>(state.range(0));
    size.hosts = 4;
    FlowRouter router = makeRouter(size);
    const auto view = makeView(size);
    while (state.KeepRunning()) {
        router.applyView(view, start);
    }
}
BENCHMARK(applyViewByServices)->Arg(2)->Arg(100)->Arg(1000)->Arg(8000)->Unit(benchmark::kMillisecond);

/// A view in which one VM has joined or left, by number of VMs of the region.
void applyViewMemberChange(benchmark::State &state)
{
    Size size;
    size.vms = static_cast<std::size_t>(state.range(0));
    FlowRouter router = makeRouter(size);
    const auto with = makeView(size);
    const auto without = std::make_shared<View>(*with);
    without->members.pop_back();
    TimePoint now = start;
    bool leaves = true;
    while (state.KeepRunning()) {
        now += seconds(20);
        router.applyView(leaves ? without : with, now);
        leaves = !leaves;
    }
}
BENCHMARK(applyViewMemberChange)->Arg(8)->Arg(64)->Arg(512)->Arg(2100)->Unit(benchmark::kMillisecond);

/// The first ranking, and the memory of one owner table, by number of VMs of the region.
void rankOwners(benchmark::State &state)
{
    std::vector<OwnerCandidate> vms;
    for (std::uint64_t i = 1; i <= static_cast<std::uint64_t>(state.range(0)); ++i) {
        vms.push_back({ { i }, { static_cast<std::uint16_t>(1 + i % 4) } });
    }
    std::size_t bytes = 0;
    while (state.KeepRunning()) {
        bytes = OwnerTable(vms, nullptr).memoryBytes();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(rankOwners)->Arg(8)->Arg(64)->Arg(512)->Arg(2100)->Unit(benchmark::kMillisecond);

/// Background work of one tick, by number of flows.
void backgroundTick(benchmark::State &state)
{
    Size size;
    size.alone = true;
    size.flows = static_cast<std::size_t>(state.range(0));
    FlowRouter router = makeRouter(size);
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(router.tick(start, 400));
    }
}
BENCHMARK(backgroundTick)->Arg(10'000)->Arg(400'000)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
