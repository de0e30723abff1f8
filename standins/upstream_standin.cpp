// Stand-in for an upstream. Its tunnel endpoint accepts only Geneve packets with the VNI of its service and sends
// answers directly to the source of the inner packet. Its HTTP endpoint serves requests, health and load.
#include "drivers/arguments.h"
#include "drivers/asio_runtime.h"
#include "drivers/geneve_codec.h"
#include "drivers/http_codec.h"
#include "drivers/ip_packet.h"
#include "drivers/udp_socket.h"
#include "drivers/view_file.h"
#include "standins/upstream_standin_state.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <csignal>
#include <exception>
#include <iostream>
#include <memory>
#include <string>

namespace
{

using namespace boragelug;

constexpr Endpoint anyLoopbackPort { .address = Ipv4Address { 0x7F000001 }, .port = Port { 0 } };

/// One connection, which serves one request.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(asio::ip::tcp::socket socket, UpstreamStandinState &state)
        : socket_(std::move(socket))
        , timer_(socket_.get_executor())
        , state_(state)
    { }

    ~Session()
    {
        if (holdsSlot_) {
            state_.releaseSlot();
        }
    }

    void read()
    {
        socket_.async_read_some(asio::buffer(buffer_),
                                [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
                                    if (!error) {
                                        self->handleBytes(size);
                                    } else {
                                        // The peer closed the connection, which cancels the request: stop its work.
                                        self->timer_.cancel();
                                    }
                                });
    }

private:
    void handleBytes(std::size_t size)
    {
        request_.append(buffer_.data(), size);
        const auto message = decodeCallerMessage(request_);
        if (message) {
            handleRequest(*message);
            // Keeps reading to detect that the peer closes the connection.
            read();
        } else if (message.lastReason() == HttpError::Incomplete) {
            read();
        }
    }

    void handleRequest(const CallerMessage &message)
    {
        UpstreamResponse response = state_.handleRequest(message);
        holdsSlot_ = response.takesSlot;
        answer_ = std::move(response.answer);
        if (response.kind == UpstreamResponse::Kind::NoAnswer) {
            return;
        }
        timer_.expires_after(response.delay);
        timer_.async_wait([self = shared_from_this(), kind = response.kind](const asio::error_code &error) {
            if (!error) {
                self->finish(kind);
            }
        });
    }

    void finish(UpstreamResponse::Kind kind)
    {
        if (kind == UpstreamResponse::Kind::LoseAnswer) {
            close();
            return;
        }
        asio::async_write(socket_,
                          asio::buffer(answer_),
                          [self = shared_from_this()](const asio::error_code &, std::size_t) { self->close(); });
    }

    void close()
    {
        asio::error_code ignored;
        socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
    }

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    UpstreamStandinState &state_;
    std::array<char, 4096> buffer_ {};
    std::string request_;
    std::string answer_;
    bool holdsSlot_ = false;
};

class UpstreamStandin
{
public:
    UpstreamStandin(AsioRuntime &runtime, const Arguments &arguments)
        : runtime_(runtime)
        , state_(parseBehaviour(arguments), arguments.number("seed", 1))
        , tunnelSocket_(runtime.context(), anyLoopbackPort)
        , acceptor_(runtime.context(), toTcpEndpoint(anyLoopbackPort))
    {
        upstream_.id = UpstreamId { arguments.number("host", 0) };
        upstream_.incarnation = Incarnation { arguments.number("incarnation", 1) };
        upstream_.service = ServiceId { static_cast<std::uint32_t>(arguments.number("vni", 0) & maxVni) };
        upstream_.zone = ZoneId { static_cast<std::uint16_t>(arguments.number("zone", 1)) };
        upstream_.tunnelEndpoint = tunnelSocket_.localEndpoint();
        upstream_.httpEndpoint = fromTcpEndpoint(acceptor_.local_endpoint());
    }

    void run(const std::string &portsFile)
    {
        tunnelSocket_.start([this](const Endpoint &, std::span<const std::byte> datagram) { receivePacket(datagram); });
        accept();
        replaceFile(portsFile, toJson(upstream_) + "\n");
        runtime_.onSignal(SIGTERM, [this] { runtime_.stop(); });
        runtime_.run();
        std::cout << state_.counts() << '\n';
    }

private:
    static UpstreamBehaviour parseBehaviour(const Arguments &arguments)
    {
        UpstreamBehaviour behaviour;
        behaviour.service = arguments.required("service");
        behaviour.host = arguments.number("host", 0);
        behaviour.slots = arguments.number("slots", behaviour.slots);
        behaviour.work = std::chrono::milliseconds(arguments.number("work-ms", 5));
        behaviour.coldRequests = arguments.number("cold-requests", 0);
        behaviour.shed = arguments.probability("shed");
        behaviour.loseAnswers = arguments.probability("lose-answers");
        return behaviour;
    }

    void receivePacket(std::span<const std::byte> datagram)
    {
        const auto packet = decodeGeneve(datagram);
        if (!packet || packet->service != upstream_.service) {
            state_.countForeignPacket();
            return;
        }
        const auto inner = parseInnerPacket(packet->inner);
        if (!inner) {
            return;
        }
        const std::string payload(reinterpret_cast<const char *>(inner->payload.data()), inner->payload.size());
        const std::string answer = state_.answerPacket(toString(inner->source), payload);
        if (!answer.empty()) {
            tunnelSocket_.send(inner->source, std::as_bytes(std::span(answer)));
        }
    }

    void accept()
    {
        acceptor_.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
            if (!error) {
                std::make_shared<Session>(std::move(socket), state_)->read();
            }
            accept();
        });
    }

    AsioRuntime &runtime_;
    UpstreamStandinState state_;
    Upstream upstream_;
    UdpSocket tunnelSocket_;
    asio::ip::tcp::acceptor acceptor_;
};

} // namespace

int main(int argc, char **argv)
{
    try {
        const Arguments arguments(argc,
                                  argv,
                                  { "service",
                                    "host",
                                    "incarnation",
                                    "vni",
                                    "zone",
                                    "slots",
                                    "work-ms",
                                    "cold-requests",
                                    "shed",
                                    "lose-answers",
                                    "seed",
                                    "ports-file" });
        AsioRuntime runtime;
        UpstreamStandin(runtime, arguments).run(arguments.required("ports-file"));
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "upstream_standin: " << error.what() << '\n';
        return 2;
    }
}
