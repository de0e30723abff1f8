#pragma once

#include "directory_records.h"
#include "views/directory_relay.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <utility>
#include <vector>

namespace boragelug
{

/// VMs and records for tests of relays and their followers.
namespace relay
{

inline const Endpoint firstRelay { .address = { 1 }, .port = { 80 } };
inline const Endpoint secondRelay { .address = { 2 }, .port = { 80 } };
inline const Endpoint plainVm { .address = { 9 }, .port = { 80 } };

inline DirectoryItem catalogue(std::uint64_t version, std::uint64_t revision)
{
    CatalogueRecord record;
    record.version = CatalogueVersion { version };
    record.entries = { { .name = EntryName { "entry" },
                         .address = { .address = { 100 }, .port = { 443 } },
                         .services = { { .service = "ledger", .weight = 1 } } } };
    return { .key = "catalogue", .revision = { revision }, .content = record };
}

/// A VM that reads the directory, or follows a relay, and serves followers.
struct Vm
{
    explicit Vm(const Endpoint &self, RelaySettings relaySettings = {}, MirrorSettings mirrorSettings = { "kgd-north" })
        : mirror(std::move(mirrorSettings))
        , reader(mirror, readerSettings(self))
        , relay(mirror, reader, relaySettings)
    { }

    static ReaderSettings readerSettings(const Endpoint &self)
    {
        ReaderSettings settings;
        settings.follow.relays = { firstRelay, secondRelay };
        settings.follow.self = self;
        settings.follow.relayHeadStart = Duration::zero();
        return settings;
    }

    /// Answers the call that is due with @p result; the call's kind must be @p kind.
    ReaderOutcome answer(DirectoryCall::Kind kind, decltype(DirectoryAnswer::result) result, TimePoint now)
    {
        const auto call = reader.nextCall(now);
        EXPECT_TRUE(call);
        if (!call) {
            return {};
        }
        EXPECT_EQ(call->kind, kind);
        return reader.handleAnswer({ .callId = call->id, .result = std::move(result) }, now, random);
    }

    void list(std::vector<DirectoryItem> items, std::uint64_t asOf, TimePoint now)
    {
        answer(DirectoryCall::Kind::List,
               DirectoryPage { .items = std::move(items), .more = false, .lastKey = {}, .asOf = { asOf } },
               now);
    }

    DirectoryMirror mirror;
    DirectoryReader reader;
    DirectoryRelay relay;
    Random random { 1 };
};

inline DirectoryChanges changes(std::vector<DirectoryItem> items, std::uint64_t asOf, Duration age = Duration::zero())
{
    DirectoryChanges made;
    made.items = std::move(items);
    made.asOf = DirectoryRevision { asOf };
    made.age = age;
    return made;
}

/// The answer as its follower receives it.
inline DirectoryChanges wholeAnswer(const RelayAnswer &answer)
{
    DirectoryChanges whole = answer.changes;
    if (answer.records) {
        whole.items = *answer.records;
    }
    return whole;
}

} // namespace relay
} // namespace boragelug
