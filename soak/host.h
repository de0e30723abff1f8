#pragma once

#include "core/time_point.h"
#include "drivers/udp_socket.h"
#include "platform/standins/wire.h"
#include "soak/promises.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace boragelug::soak
{

/// One host: answers packets of its flows straight to the callers, and accepts connections. Dies with the object.
class Host
{
public:
    /// What a host asks of its surroundings.
    struct World
    {
        std::function<TimePoint()> now;
        /// Sends bytes to a caller.
        std::function<void(const Endpoint &caller, std::vector<std::byte>)> toCaller;
        /// The service of an entry, and when it was removed; empty for an entry that never was.
        std::function<std::pair<std::string, std::optional<TimePoint>>(const Endpoint &entry)> entry;
        /// The number of the VM at an address.
        std::function<std::size_t(const Endpoint &vm)> vm;
    };

    Host(asio::io_context &context,
         std::uint64_t id,
         std::string service,
         const Endpoint &address,
         World world,
         Promises &promises);
    ~Host();
    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    void setDraining(TimePoint now) { draining_ = now; }
    bool isDraining() const { return draining_.has_value(); }
    std::uint64_t id() const { return id_; }
    const std::string &service() const { return service_; }
    const Endpoint &address() const { return address_; }

private:
    struct Flow
    {
        std::uint32_t sent = 0;
        std::uint32_t expected = 0;
        bool open = false;
    };

    void receive(const Endpoint &from, std::span<const std::byte> datagram);
    void handleSyn(const Packet &packet, std::size_t vm);
    void handleData(const Packet &packet, Flow &flow);
    Packet answerTo(const Packet &packet) const;
    void send(const Packet &packet);

    std::uint64_t id_;
    std::string service_;
    Endpoint address_;
    World world_;
    Promises &promises_;
    UdpSocket socket_;
    asio::ip::tcp::acceptor acceptor_;
    std::optional<TimePoint> draining_;
    std::map<FlowEnds, Flow> flows_;
};

} // namespace boragelug::soak
