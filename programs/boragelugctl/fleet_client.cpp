#include "programs/boragelugctl/fleet_client.h"

#include "core/duration_text.h"

#include <array>
#include <fstream>
#include <memory>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <sysexits.h>

namespace boragelug
{

namespace
{

constexpr std::size_t maxConcurrent = 64;
constexpr std::size_t maxAnswerBytes = 64UL * 1024 * 1024;

/// One connection that sends a query and reads up to the end of the stream.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    using Done = std::function<void(FleetAnswer)>;

    Exchange(asio::io_context &context, const FleetQuery &query, Done done)
        : socket_(context)
        , timer_(context)
        , query_(query)
        , request_(encodeAdminRequest(query.target, toString(query.vm)))
        , done_(std::move(done))
    { }

    void start(Duration timeout)
    {
        timer_.expires_after(timeout);
        timer_.async_wait([self = shared_from_this()](const std::error_code &error) {
            if (!error) {
                self->finish(FleetAnswer::failure("no answer in time"));
            }
        });
        const asio::ip::tcp::endpoint remote(asio::ip::address_v4(query_.vm.address.value), query_.vm.port.value);
        socket_.async_connect(remote, [self = shared_from_this()](const std::error_code &error) {
            error ? self->finish(FleetAnswer::failure(error.message())) : self->write();
        });
    }

private:
    void write()
    {
        asio::async_write(
            socket_, asio::buffer(request_), [self = shared_from_this()](const std::error_code &error, std::size_t) {
                error ? self->finish(FleetAnswer::failure(error.message())) : self->read();
            });
    }

    void read()
    {
        socket_.async_read_some(asio::buffer(chunk_),
                                [self = shared_from_this()](const std::error_code &error, std::size_t length) {
                                    self->received_.append(self->chunk_.data(), length);
                                    const bool tooLong = self->received_.size() > maxAnswerBytes;
                                    error || tooLong ? self->decode() : self->read();
                                });
    }

    void decode()
    {
        auto answer = decodeAdminAnswer(received_, maxAnswerBytes);
        if (answer && answer->status != 200) {
            const std::string firstLine = answer->body.substr(0, answer->body.find('\n'));
            finish(FleetAnswer::failure("status " + std::to_string(answer->status) + ": " + firstLine));
            return;
        }
        finish(std::move(answer));
    }

    /// Reports the first result only; closing the socket ends what is still in progress.
    void finish(FleetAnswer answer)
    {
        std::error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
        if (const Done done = std::exchange(done_, nullptr)) {
            done(std::move(answer));
        }
    }

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    FleetQuery query_;
    std::string request_;
    Done done_;
    std::array<char, 16384> chunk_ {};
    std::string received_;
};

/// Keeps up to maxConcurrent exchanges in progress until all queries are answered.
class FleetRun
{
public:
    FleetRun(const std::vector<FleetQuery> &queries, Duration timeout)
        : queries_(queries)
        , timeout_(timeout)
        , answers_(queries.size(), FleetAnswer::failure("not asked"))
    { }

    std::vector<FleetAnswer> run()
    {
        for (std::size_t i = 0; i < maxConcurrent; ++i) {
            startNext();
        }
        context_.run();
        return std::move(answers_);
    }

private:
    void startNext()
    {
        if (next_ == queries_.size()) {
            return;
        }
        const std::size_t index = next_++;
        std::make_shared<Exchange>(context_, queries_[index], [this, index](FleetAnswer answer) {
            answers_[index] = std::move(answer);
            startNext();
        })->start(timeout_);
    }

    const std::vector<FleetQuery> &queries_;
    Duration timeout_;
    asio::io_context context_;
    std::size_t next_ = 0;
    std::vector<FleetAnswer> answers_;
};

Endpoint parseVm(const std::string &text)
{
    const auto endpoint = parseEndpoint(text);
    if (!endpoint) {
        throw UsageError("'" + text + "' is no admin endpoint such as 10.0.0.1:9100");
    }
    return *endpoint;
}

void readVms(const std::string &path, std::vector<Endpoint> &vms)
{
    std::ifstream stream(path);
    if (!stream) {
        throw UsageError("can't open the list of VMs '" + path + '\'');
    }
    std::string line;
    while (std::getline(stream, line)) {
        if (!line.empty() && line.front() != '#') {
            vms.push_back(parseVm(line));
        }
    }
}

} // namespace

std::vector<FleetAnswer> askFleet(const std::vector<FleetQuery> &queries, Duration timeout)
{
    return FleetRun(queries, timeout).run();
}

std::vector<OptionSpec> fleetOptions()
{
    return {
        { "vm", 'v', "ADDRESS:PORT", "admin endpoint of a VM; may be given several times" },
        { "vms", 'V', "FILE", "file with one admin endpoint on each line" },
        { "timeout", 't', "TIME", "longest time to wait for a VM, such as 500ms; 3s by default" },
    };
}

std::vector<Endpoint> fleetFrom(const ParsedOptions &options)
{
    std::vector<Endpoint> vms;
    for (const std::string &text : options.all("vm")) {
        vms.push_back(parseVm(text));
    }
    for (const std::string &path : options.all("vms")) {
        readVms(path, vms);
    }
    if (vms.empty()) {
        throw UsageError("name at least one VM with --vm or --vms");
    }
    return vms;
}

Duration timeoutFrom(const ParsedOptions &options)
{
    const auto timeout = parseDuration(options.value("timeout").value_or("3s"));
    if (!timeout || *timeout == Duration::zero()) {
        throw UsageError("--timeout must be a time over 0 such as 500ms or 3s");
    }
    return *timeout;
}

int fleetExitCode(std::size_t asked, std::size_t answered)
{
    if (answered == asked) {
        return EX_OK;
    }
    return answered == 0 ? EX_UNAVAILABLE : EX_TEMPFAIL;
}

} // namespace boragelug
