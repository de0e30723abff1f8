#pragma once

#include "servers/directory.h"

#include <asio/io_context.hpp>

#include <memory>

namespace boragelug
{

/**
 * Asks other VMs for what they read of the directory: Follow calls, one at a time. The connection to a VM is kept until
 * a call fails or goes to another one. Runs on the context's thread.
 */
class TcpRelayDirectory : public Directory
{
public:
    /// @p self is told to the asked VM as the place where this one passes on. @p context must outlive the object.
    TcpRelayDirectory(asio::io_context &context, const Endpoint &self);
    ~TcpRelayDirectory() override;
    TcpRelayDirectory(const TcpRelayDirectory &) = delete;
    TcpRelayDirectory &operator=(const TcpRelayDirectory &) = delete;

    void call(const DirectoryCall &call, Done done) override;

private:
    class Connection;

    asio::io_context &context_;
    Endpoint self_;
    std::shared_ptr<Connection> connection_;
};

} // namespace boragelug
