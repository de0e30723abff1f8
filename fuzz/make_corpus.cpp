#include "drivers/directory_json.h"
#include "drivers/http_codec.h"
#include "drivers/peer_codec.h"
#include "drivers/relay_codec.h"
#include "platform/packet_codec.h"
#include "platform/standins/store_records.h"

#include <absl/strings/escaping.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>

namespace
{

using namespace boragelug;

UpstreamRecord upstream()
{
    UpstreamRecord record;
    record.id = UpstreamId { 0x7f3a91c2 };
    record.incarnation = Incarnation { 1'782'377'952'000 };
    record.service = "ledger";
    record.zone = "kgd-north";
    record.address = { .address = { 0x0a000001 }, .port = { 8080 } };
    record.slots = 3;
    return record;
}

CatalogueRecord catalogue()
{
    CatalogueRecord record;
    record.version = CatalogueVersion { 7 };
    record.flowIdleTimeout = std::chrono::seconds(15);
    record.entries = { { .name = EntryName { "board" },
                         .address = { .address = { 0xc6120001 }, .port = { 443 } },
                         .services = { { .service = "ledger", .weight = 90 }, { .service = "scans", .weight = 10 } },
                         .idempotent = true,
                         .latencyObjective = std::chrono::milliseconds(250),
                         .timeout = std::chrono::milliseconds(2500),
                         .priority = 2 } };
    return record;
}

std::string textOf(std::span<const std::byte> bytes)
{
    return { reinterpret_cast<const char *>(bytes.data()), bytes.size() };
}

/// An item of the store's responses.
std::string storeItem(const std::string &key, const std::string &value, int revision)
{
    return R"({"key":")" + key + R"(","value":")" + absl::Base64Escape(value) + R"(","revision":)"
        + std::to_string(revision) + R"(,"created":1,"lease":0})";
}

std::string relayAnswer(bool packed)
{
    RelayAnswerMessage message { .changes = {}, .requestId = 5 };
    message.changes.asOf = DirectoryRevision { 9 };
    message.changes.age = std::chrono::milliseconds(20);
    message.changes.slowUpstreams = std::make_shared<const std::vector<SlowUpstream>>(
        std::vector<SlowUpstream> { { FlowTag { 0xfedcba98 }, 4.75 }, { FlowTag { 1 }, 1.5 } });
    const std::vector<DirectoryItem> items {
        { .key = soak::catalogueKey(), .revision = { 7 }, .content = catalogue() },
        { .key = soak::hostKey({ 1 }), .revision = { 8 }, .content = upstream() },
        { .key = soak::evacuationKey("kgd-north"),
          .revision = { 6 },
          .content = EvacuationRecord { .zone = "kgd-north" } },
        { .key = soak::hostKey({ 2 }), .revision = { 9 }, .content = RemovedRecord {} }
    };
    if (!packed) {
        message.changes.items = items;
    }
    const auto bytes = encodeRelayAnswer(message, packed ? packRelayRecords(items) : std::string());
    return textOf(std::span(bytes).subspan(relayLengthBytes));
}

class CorpusWriter
{
public:
    explicit CorpusWriter(std::filesystem::path folder)
        : folder_(std::move(folder))
    { }

    /// Writes one input of the fuzz target @p target.
    void write(const std::string &target, const std::string &bytes)
    {
        const std::filesystem::path folder = folder_ / target;
        std::filesystem::create_directories(folder);
        std::ofstream(folder / std::to_string(++count_), std::ios::binary) << bytes;
    }

private:
    std::filesystem::path folder_;
    int count_ = 0;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "Usage: make_corpus FOLDER\n";
        return EXIT_FAILURE;
    }
    CorpusWriter corpus(argv[1]);
    std::string packet(packetHeaderBytes, '\0');
    packet[packetHeaderBytes - 6] = 2;
    corpus.write("packet", packet);
    const RelayRequestMessage request { .request = { .after = { 5 },
                                                     .catalogue = { 7 },
                                                     .wait = std::chrono::milliseconds(500),
                                                     .listening = upstream().address,
                                                     .zone = "kgd-north",
                                                     .speeds = { { FlowTag { 0xfedcba98 }, 7, 10.5 } } },
                                        .id = 3,
                                        .acceptsPacked = true };
    const auto requestBytes = encodeRelayRequest(request);
    corpus.write("relay", textOf(std::span(requestBytes).subspan(relayLengthBytes)));
    corpus.write("relay", relayAnswer(false));
    corpus.write("relay", relayAnswer(true));
    const std::string items = storeItem(soak::catalogueKey(), soak::catalogueValue(catalogue()), 4) + ","
        + storeItem(soak::evacuationKey("kgd-north"), "{}", 3) + ","
        + storeItem(soak::hostKey(upstream().id), soak::hostValue(upstream()), 5);
    corpus.write("store", R"({"items":[)" + items + R"(],"has_more":false,"as_of":9})");
    corpus.write("store",
                 R"({"events":[)" + items + R"(,{"key":")" + soak::hostKey({ 1 })
                     + R"(","revision":6,"removed":true}],"as_of":9})");
    corpus.write("store", soak::catalogueValue(catalogue()));
    corpus.write("store", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    const auto sealed = sealPeerMessage(
        { .sender = { 1 }, .incarnation = { 2 }, .sequence = 3, .sentAt = {} }, PeerMessage {}, PeerKey {});
    corpus.write("peer", textOf(sealed));
    corpus.write("http",
                 encodeCallerMessage({ .intent = CallerIntent::Request, .method = "GET", .target = "/", .host = "a" }));
    corpus.write("http", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    corpus.write("http", R"({"version":1,"parts":[]})");
    corpus.write("admin", cataloguePageToJson({ .record = catalogue(), .more = true }));
    corpus.write("admin", "GET /events?cause=2a&since=2026-12-04T05:22:56Z HTTP/1.1\r\nHost: vm\r\n\r\n");
    corpus.write("settings",
                 "vm: a\nzone: b\nendpoints: {packet: 127.0.0.1:1, admin: 127.0.0.1:2}\ndirectory: 127.0.0.1:3\n"
                 "change_bound: 5s\nevacuation_bound: 4s\nlink_mbps: 12.5\nrelays: [127.0.0.1:4]\n");
    corpus.write("settings",
                 "version: 1\nzones: [{id: 1, name: a, region: b}]\nservices: [{id: 1, name: s, connections_per_host: "
                 "9}]\nentries: []\n");
    return EXIT_SUCCESS;
}
