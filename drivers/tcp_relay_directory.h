#pragma once

#include "servers/directory.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace boragelug
{

/**
 * Asks other VMs for what they read of the directory: Follow calls, one at a time; a call that starts while another is
 * in progress ends that one with a failure. The connection to a VM is kept until a call fails or goes to another one.
 * Runs on the context's thread.
 */
class TcpRelayDirectory : public Directory
{
public:
    /// @p self and @p zone tell the asked VM where this one serves its own followers. @p context must outlive the
    /// object.
    TcpRelayDirectory(asio::io_context &context, const Endpoint &self, std::string zone);
    ~TcpRelayDirectory() override;
    TcpRelayDirectory(const TcpRelayDirectory &) = delete;
    TcpRelayDirectory &operator=(const TcpRelayDirectory &) = delete;

    void call(const DirectoryCall &call, Done done) override;
    void cancel(std::uint64_t callId) override;
    std::size_t receivedBytes(std::uint64_t callId) const override;

private:
    class Connection;

    asio::io_context &context_;
    Endpoint self_;
    std::string zone_;
    std::shared_ptr<Connection> connection_;
};

} // namespace boragelug
