#include "programs/caller_packets.h"

#include "drivers/http_codec.h"
#include "drivers/ip_packet.h"

#include <span>

namespace boragelug
{
namespace
{

TunnelPacket
makePacket(const Endpoint &source, const Endpoint &destination, const std::string &message, TunnelOption option)
{
    return {
        .service = ServiceId { 0 },
        .option = option,
        .inner = buildUdpPacket(source, destination, std::as_bytes(std::span(message))),
    };
}

std::string cancelMessage(const CallerRequest &request)
{
    CallerMessage message;
    message.method = "POST";
    message.target = http_names::cancelTarget;
    message.host = "boragelug";
    message.requestId = request.idText;
    return encodeCallerMessage(message);
}

} // namespace

TunnelPacket makeAnswerPacket(const ReplyAddress &to, const std::string &message)
{
    return makePacket(to.entry, to.caller, message, std::monostate {});
}

std::optional<TunnelPacket> makeRelayPacket(const RelayRequest &action)
{
    const CallerRequest &request = action.request;
    if (action.option.kind == RelayOption::Kind::Cancel) {
        return makePacket(request.replyTo.caller, request.entry, cancelMessage(request), action.option);
    }
    if (!request.payload) {
        return std::nullopt;
    }
    return makePacket(request.replyTo.caller, request.entry, *request.payload, action.option);
}

TunnelPacket makeRelayPacket(const RelayOutcome &action)
{
    const auto &reply = action.reply;
    const std::string message = encodeOutcome(reply.idText, reply.to.token, reply.outcome);
    return makePacket(reply.to.entry, reply.to.caller, message, action.option);
}

std::string_view payloadText(const InnerPacket &inner)
{
    return { reinterpret_cast<const char *>(inner.payload.data()), inner.payload.size() };
}

} // namespace boragelug
