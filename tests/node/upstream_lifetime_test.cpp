#include "core/random.h"
#include "routing/tagged_router.h"
#include "views/directory_mirror.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

constexpr Endpoint entryAddress { .address = { 0xc6120001 }, .port = { 443 } };
constexpr Duration heartbeat = 1200ms;
constexpr Duration step = 50ms;
constexpr Duration runTime = 60s;
constexpr std::uint64_t upstreamCount = 6;
constexpr std::uint64_t maxPauseMilliseconds = 9000;

/// A running upstream. It writes its record when it has registered, and with each heartbeat if the record differs.
struct LiveUpstream
{
    std::uint64_t id = 0;
    std::uint64_t incarnation = 0;
    TimePoint startsAt;
    TimePoint nextHeartbeat;
};

/// One VM without a network: what it read, and its router.
struct Vm
{
    explicit Vm(std::uint64_t seed)
        : mirror({ .zone = "home" })
        , router(routerSettings(seed))
    { }

    static TaggedRouterSettings routerSettings(std::uint64_t seed)
    {
        TaggedRouterSettings settings;
        settings.seed = seed;
        return settings;
    }

    DirectoryMirror mirror;
    TaggedRouter router;
    DirectoryRevision syncedTo;
};

/**
 * Random orders of restarts, late writes, records of other writers, lapses and listings. One VM reads the directory,
 * the other follows it.
 */
class LifetimeSimulation
{
public:
    explicit LifetimeSimulation(std::uint64_t seed)
        : random_(seed)
        , reader_(seed)
        , follower_(seed + 1000)
    {
        CatalogueRecord catalogue;
        catalogue.version = CatalogueVersion { 1 };
        catalogue.entries.push_back({ .name = EntryName { "ledger" },
                                      .address = entryAddress,
                                      .services = { { .service = "ledger", .weight = 1 } },
                                      .idempotent = true });
        write("catalogue", catalogue);
        for (std::uint64_t id = 1; id <= upstreamCount; ++id) {
            upstreams_.push_back({ .id = id, .incarnation = 100, .startsAt = now_, .nextHeartbeat = now_ });
        }
        writeHeartbeats();
        listAll();
    }

    void run()
    {
        for (const TimePoint end = now_ + runTime; now_ < end; now_ += step) {
            writeHeartbeats();
            if (random_.chance(0.04)) {
                injectFault();
            }
            if (random_.chance(0.3)) {
                readChanges();
            }
            if (random_.chance(0.02)) {
                listAll();
            }
            for (Vm *vm : { &reader_, &follower_ }) {
                vm->mirror.tick(now_);
                publish(*vm);
                vm->router.tick(now_);
            }
            if (random_.chance(0.5)) {
                openFlow();
            }
            useFlows();
            checkLivingUpstreams();
        }
    }

    const std::vector<std::string> &violations() const { return violations_; }
    std::size_t served() const { return served_; }

private:
    struct Flow
    {
        FlowPacket opening;
        FlowTag tag;
        std::uint64_t upstream = 0;
        std::uint64_t incarnation = 0;
        std::uint32_t sent = 0;
        TimePoint nextAt;
    };

    static std::string keyOf(std::uint64_t id) { return "hosts/" + std::to_string(id); }

    UpstreamRecord recordOf(const LiveUpstream &upstream) const
    {
        UpstreamRecord record;
        record.id = UpstreamId { upstream.id };
        record.incarnation = Incarnation { upstream.incarnation };
        record.service = "ledger";
        record.zone = "home";
        record.address = { .address = { 0x0a000000 + static_cast<std::uint32_t>(upstream.id) }, .port = { 8080 } };
        record.slots = 3;
        return record;
    }

    void write(const std::string &key, decltype(DirectoryItem::content) content)
    {
        const DirectoryItem item { .key = key, .revision = { ++revision_ }, .content = std::move(content) };
        if (std::holds_alternative<RemovedRecord>(item.content)) {
            store_.erase(key);
        } else {
            store_[key] = item;
        }
        history_.push_back(item);
    }

    void writeHeartbeats()
    {
        for (LiveUpstream &upstream : upstreams_) {
            if (now_ < upstream.nextHeartbeat || now_ < outageUntil_) {
                continue;
            }
            upstream.nextHeartbeat = now_ + heartbeat;
            const auto found = store_.find(keyOf(upstream.id));
            const UpstreamRecord record = recordOf(upstream);
            if (found == store_.end() || found->second.content != decltype(DirectoryItem::content)(record)) {
                write(keyOf(upstream.id), record);
            }
        }
    }

    void injectFault()
    {
        LiveUpstream &upstream = upstreams_[random_.below(upstreams_.size())];
        const std::string key = keyOf(upstream.id);
        UpstreamRecord record = recordOf(upstream);
        switch (random_.below(7)) {
        case 0: // Registers up to one heartbeat after the start.
            upstream.incarnation += 1 + random_.below(1000);
            upstream.startsAt = now_ + std::chrono::milliseconds(random_.below(800));
            upstream.nextHeartbeat = upstream.startsAt + std::chrono::milliseconds(random_.below(1200));
            return;
        case 1:
            record.incarnation = Incarnation { upstream.incarnation - 1 - random_.below(50) };
            record.state = random_.chance(0.5) ? UpstreamState::Draining : UpstreamState::Active;
            write(key, record);
            return;
        case 2:
            write(key, UnreadableRecord { "written by another writer" });
            return;
        case 3:
            record.service = "unknown";
            write(key, record);
            return;
        case 4:
            record.id = UpstreamId { 1000 + revision_ };
            record.service = "unknown";
            record.incarnation = Incarnation { 1'000'000 };
            write("hosts/foreign-" + std::to_string(revision_ % 4), record);
            return;
        case 5:
            write("hosts/foreign-" + std::to_string(revision_ % 4), RemovedRecord {});
            return;
        default: // The directory is away, and some records lapse.
            outageUntil_ = now_ + 800ms;
            for (const LiveUpstream &known : upstreams_) {
                if (random_.chance(0.5) && store_.contains(keyOf(known.id))) {
                    write(keyOf(known.id), RemovedRecord {});
                }
            }
            for (Vm *vm : { &reader_, &follower_ }) {
                vm->mirror.recordOutage(outageUntil_);
            }
            return;
        }
    }

    void readChanges()
    {
        if (now_ < outageUntil_) {
            return;
        }
        DirectoryChanges changes { .items = {}, .asOf = { revision_ } };
        for (const DirectoryItem &item : history_) {
            if (item.revision > reader_.syncedTo) {
                changes.items.push_back(item);
            }
        }
        reader_.mirror.applyChanges(changes, now_);
        reader_.syncedTo = DirectoryRevision { revision_ };
        follow();
    }

    void follow()
    {
        const bool needsAll = !reader_.mirror.knowsRemovalsSince(follower_.syncedTo);
        const DirectoryRevision after = needsAll ? DirectoryRevision {} : follower_.syncedTo;
        const auto items = reader_.mirror.changesSince(after, follower_.mirror.catalogueVersion(), now_);
        if (needsAll) {
            apply(follower_, items);
        } else {
            follower_.mirror.applyChanges({ .items = items, .asOf = reader_.syncedTo }, now_);
        }
        follower_.syncedTo = reader_.syncedTo;
    }

    void listAll()
    {
        if (now_ < outageUntil_) {
            return;
        }
        std::vector<DirectoryItem> items;
        for (const auto &[key, item] : store_) {
            items.push_back(item);
        }
        apply(reader_, items);
        reader_.syncedTo = DirectoryRevision { revision_ };
        follow();
        publish(reader_);
        publish(follower_);
    }

    void apply(Vm &vm, const std::vector<DirectoryItem> &items) const
    {
        const DirectoryRevision asOf { revision_ };
        vm.mirror.beginListing(asOf);
        vm.mirror.applyPage({ .items = items, .more = false, .lastKey = {}, .asOf = asOf }, now_);
        vm.mirror.endListing(now_);
    }

    void publish(Vm &vm) const { vm.router.applyView(vm.mirror.publish(), now_); }

    Vm &anyVm() { return random_.chance(0.5) ? reader_ : follower_; }

    const LiveUpstream *running(std::uint64_t id) const
    {
        const auto found =
            std::find_if(upstreams_.begin(), upstreams_.end(), [&](const auto &known) { return known.id == id; });
        return found != upstreams_.end() && now_ >= found->startsAt ? &*found : nullptr;
    }

    void openFlow()
    {
        FlowPacket packet;
        packet.caller = { .address = { 0x64400001 }, .port = { ++lastPort_ } };
        packet.entry = entryAddress;
        packet.sequence = lastPort_ * 100'000U;
        packet.syn = true;
        const TaggedDecision decision = anyVm().router.route(packet, { .viewIsFresh = true }, now_);
        const auto *forward = std::get_if<ForwardPacket>(&decision);
        const LiveUpstream *upstream = forward != nullptr ? running(forward->upstream.value) : nullptr;
        if (upstream != nullptr) {
            flows_.push_back({ .opening = packet,
                               .tag = forward->tag,
                               .upstream = upstream->id,
                               .incarnation = upstream->incarnation,
                               .sent = 0,
                               .nextAt = now_ });
        }
    }

    void useFlows()
    {
        std::erase_if(flows_, [&](const Flow &flow) {
            const LiveUpstream *upstream = running(flow.upstream);
            return upstream == nullptr || upstream->incarnation != flow.incarnation;
        });
        for (Flow &flow : flows_) {
            if (now_ < flow.nextAt) {
                continue;
            }
            FlowPacket packet = flow.opening;
            packet.syn = false;
            packet.ack = true;
            packet.tag = flow.tag;
            packet.sequence += 1 + flow.sent;
            packet.acknowledged = 1;
            packet.dataBytes = 100;
            const TaggedDecision decision = anyVm().router.route(packet, { .viewIsFresh = true }, now_);
            if (std::holds_alternative<ResetFlow>(decision)) {
                violations_.push_back("reset of a flow of living upstream " + std::to_string(flow.upstream));
                flow.nextAt = now_ + runTime;
                continue;
            }
            const auto *forward = std::get_if<ForwardPacket>(&decision);
            if (forward == nullptr) {
                flow.nextAt = now_ + 200ms; // Dropped: the caller retransmits.
                continue;
            }
            if (forward->upstream.value != flow.upstream) {
                violations_.push_back("a flow left living upstream " + std::to_string(flow.upstream));
            }
            ++served_;
            flow.tag = forward->tag;
            flow.sent += 100;
            flow.nextAt = now_ + std::chrono::milliseconds(random_.below(maxPauseMilliseconds));
        }
    }

    // What a VM has read must list each living upstream whose own record is in the directory.
    void checkLivingUpstreams()
    {
        if (reader_.syncedTo.value != revision_) {
            return;
        }
        for (const LiveUpstream &upstream : upstreams_) {
            const auto found = store_.find(keyOf(upstream.id));
            if (found == store_.end()
                || found->second.content != decltype(DirectoryItem::content)(recordOf(upstream))) {
                continue;
            }
            for (Vm *vm : { &reader_, &follower_ }) {
                const auto view = vm->mirror.publish();
                const bool listed = std::any_of(view->upstreams.begin(), view->upstreams.end(), [&](const auto &known) {
                    return known.upstream.id.value == upstream.id && known.listing == Listing::Listed
                        && known.upstream.incarnation.value == upstream.incarnation
                        && known.upstream.state == UpstreamState::Active;
                });
                if (!listed) {
                    violations_.push_back("living upstream " + std::to_string(upstream.id) + " is not listed");
                }
            }
        }
    }

    Random random_;
    TimePoint now_ { 100s };
    std::uint64_t revision_ = 0;
    std::map<std::string, DirectoryItem> store_;
    std::vector<DirectoryItem> history_;
    TimePoint outageUntil_;
    std::vector<LiveUpstream> upstreams_;
    Vm reader_;
    Vm follower_;
    std::vector<Flow> flows_;
    std::uint16_t lastPort_ = 0;
    std::vector<std::string> violations_;
    std::size_t served_ = 0;
};

// Whatever records say, no flow of a living upstream may be reset or leave it, and a living upstream with a valid
// record must be in use.
TEST(UpstreamLifetimeTest, RecordsAloneEndNoFlowOfALivingUpstream)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        LifetimeSimulation simulation(seed);
        simulation.run();
        EXPECT_EQ(simulation.violations(), std::vector<std::string> {}) << "seed " << seed;
        EXPECT_GT(simulation.served(), 500U) << "seed " << seed;
    }
}

} // namespace
} // namespace boragelug
