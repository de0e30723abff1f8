#include "standins/caller_standin_flow.h"

#include "drivers/geneve_codec.h"
#include "drivers/ip_packet.h"

#include <utility>

namespace boragelug
{
namespace
{

constexpr Endpoint anyLoopbackPort { .address = Ipv4Address { 0x7F000001 }, .port = Port { 0 } };

} // namespace

std::string fieldValue(const std::string &line, const std::string &name)
{
    const std::size_t start = line.find(name + "=");
    if (start == std::string::npos) {
        return {};
    }
    const std::size_t value = start + name.size() + 1;
    return line.substr(value, line.find(' ', value) - value);
}

std::string echoedText(const std::string &line)
{
    constexpr std::string_view prefix = "echo=";
    const std::size_t start = line.find(prefix);
    return start == std::string::npos ? std::string() : line.substr(start + prefix.size());
}

CallerFlow::CallerFlow(AsioRuntime &runtime, CallerEntry entry, bool tcp, std::uint64_t number)
    : entry_(std::move(entry))
    , tcp_(tcp)
    , name_("flow-" + std::to_string(number))
    , socket_(runtime.context(), anyLoopbackPort)
{
    socket_.start([this](const Endpoint &, std::span<const std::byte> datagram) { receive(datagram); });
}

void CallerFlow::sendNext()
{
    const std::string payload = name_ + "/" + std::to_string(++counts_.sent);
    if (tcp_) {
        sendSegment(payload);
    } else {
        socket_.send(entry_.fabricEndpoint, std::as_bytes(std::span(payload)));
    }
}

void CallerFlow::sendSegment(const std::string &payload)
{
    // Sets SYN on every segment until the first answer arrives, as a caller's kernel retransmits its SYN.
    const TcpFlags flags { .syn = counts_.answered == 0, .ack = counts_.answered != 0 };
    const TunnelPacket packet {
        .service = ServiceId { 0 },
        .option = std::monostate {},
        .inner = buildTcpPacket(socket_.localEndpoint(), entry_.address, flags, std::as_bytes(std::span(payload))),
    };
    socket_.send(entry_.gatewayEndpoint, encodeGeneve(packet));
}

void CallerFlow::receive(std::span<const std::byte> datagram)
{
    const std::string line(reinterpret_cast<const char *>(datagram.data()), datagram.size());
    if (fieldValue(line, "service") != entry_.service || !echoedText(line).starts_with(name_ + "/")) {
        ++counts_.foreignAnswers;
        return;
    }
    ++counts_.answered;
    const std::string host = fieldValue(line, "host");
    if (!lastHost_.empty() && host != lastHost_) {
        ++counts_.hostChanges;
    }
    lastHost_ = host;
    hosts_.insert(host);
}

} // namespace boragelug
