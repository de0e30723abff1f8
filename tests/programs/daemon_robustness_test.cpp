#include "core/random.h"
#include "daemon_test.h"
#include "drivers/relay_codec.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <chrono>
#include <deque>
#include <set>
#include <utility>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

class DaemonRobustnessTest : public DaemonTest
{
protected:
    void handleHostPacket(std::span<const std::byte> bytes) override
    {
        // The host's id precedes the packet.
        const auto packet = soak::decode(bytes.subspan(8));
        if (packet && packet->syn) {
            opened_.insert(packet->from.port.value);
        }
    }

    /// Sends @p bytes over a connection of their own, and closes it.
    void sendOverTcp(const Endpoint &to, std::span<const std::byte> bytes)
    {
        asio::ip::tcp::socket socket(context_);
        asio::error_code error;
        socket.connect(toTcpEndpoint(to), error);
        ASSERT_FALSE(error) << error.message();
        // The daemon may close the connection while it is written to.
        asio::write(socket, asio::buffer(bytes.data(), bytes.size()), error);
    }

    std::vector<std::byte> randomBytes(std::size_t size)
    {
        std::vector<std::byte> bytes(size);
        for (std::byte &byte : bytes) {
            byte = static_cast<std::byte>(random_.below(256));
        }
        return bytes;
    }

    /// Ports of the callers whose SYN reached the host.
    std::set<std::uint16_t> opened_;
    Random random_ { 5 };
};

// Guards against one malformed message that ends the process, and with it all flows of the VM.
TEST_F(DaemonRobustnessTest, ServesAfterMalformedMessages)
{
    ASSERT_TRUE(logsAfter("process_ready"));
    constexpr std::size_t messages = 60;
    const std::vector<std::byte> longest(relayLengthBytes, std::byte { 0xff });
    for (std::size_t i = 0; i < messages; ++i) {
        caller_.send(at(10, packetPort), randomBytes(random_.below(1400)));
        sendOverTcp(at(10, adminPort), randomBytes(random_.below(2000)));
        sendOverTcp(at(10, relayPort), i % 2 == 0 ? randomBytes(random_.below(2000)) : longest);
        runFor(2ms);
    }
    store_.set("servers/i-2b", "{\"service\":[]}");
    store_.set("servers/not-an-id", std::string("\xff\x00\x7f", 3));
    ASSERT_TRUE(logsAfter("record_unreadable"));
    ASSERT_TRUE(holdsAfter([&] { return opened_.contains(2000); }, [&] { sendSyn(2000, at(50, 443), 0); }));
    EXPECT_TRUE(vm_.poll());
}

// Guards against requests that are accepted just before a planned stop and then cut off: those that are queued because
// the service is at its concurrency limit, and those that arrive until the fabric uses other VMs.
TEST_F(DaemonRobustnessTest, ForwardsAllItAcceptedBeforeAPlannedStop)
{
    ASSERT_TRUE(logsAfter("process_ready"));
    std::uint16_t sent = 0;
    std::deque<std::pair<std::uint16_t, std::chrono::steady_clock::time_point>> uncopied;
    const auto sendFor = [&](std::chrono::milliseconds length) {
        for (std::chrono::milliseconds at = 0ms; at < length; at += 5ms) {
            const auto port = static_cast<std::uint16_t>(2000 + sent++);
            const auto now = std::chrono::steady_clock::now();
            sendSyn(port, this->at(50, 443), 0);
            uncopied.emplace_back(port, now);
            // Callers send a SYN without an answer again.
            for (; now - uncopied.front().second >= 200ms; uncopied.pop_front()) {
                sendSyn(uncopied.front().first, this->at(50, 443), 1);
            }
            runFor(5ms);
        }
    };
    sendFor(300ms);
    ASSERT_LT(opened_.size(), sent) << "the host never answers, so that the limit is reached";
    vm_.signal(SIGTERM);
    // The fabric detects the drain after two health checks.
    sendFor(1000ms);
    ASSERT_TRUE(holdsAfter([&] { return !vm_.poll(); }));
    EXPECT_EQ(vm_.exitStatus(), 0);
    runFor(50ms);
    EXPECT_EQ(opened_.size(), sent);
}

} // namespace
} // namespace boragelug
