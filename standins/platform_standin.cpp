#include "standins/platform_standin.h"

#include <asio/ip/address_v4.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace boragelug
{

namespace
{

constexpr std::size_t hugeBodyBytes = 1'000'000;
constexpr int maxLongPollSeconds = 300;

std::string etagOf(const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    const bool versioned = json.is_object() && json.contains("version");
    return "\"" + (versioned ? json["version"].dump() : std::string("0")) + "\"";
}

int longPollSeconds(const PlatformHttpRequest &request)
{
    const auto prefer = request.fields.find("prefer");
    const std::string prefix = "wait=";
    if (prefer == request.fields.end() || !prefer->second.starts_with(prefix)) {
        return 0;
    }
    std::istringstream text(prefer->second.substr(prefix.size()));
    int seconds = 0;
    text >> seconds;
    return std::clamp(seconds, 0, maxLongPollSeconds);
}

} // namespace

PlatformFault parsePlatformFault(const std::string &name)
{
    static const std::map<std::string, PlatformFault> faults {
        { "slow", PlatformFault::Slow },          { "throttle", PlatformFault::Throttle },
        { "error", PlatformFault::ServerError },  { "older", PlatformFault::OlderVersion },
        { "truncate", PlatformFault::Truncate },  { "huge", PlatformFault::Huge },
        { "cut-watch", PlatformFault::CutWatch }, { "never-fire", PlatformFault::NeverFire },
        { "close", PlatformFault::Close },
    };
    const auto it = faults.find(name);
    return it == faults.end() ? PlatformFault::None : it->second;
}

/// One connection, which serves one request.
class PlatformStandin::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(PlatformStandin &standin, asio::ip::tcp::socket socket)
        : standin_(&standin)
        , socket_(std::move(socket))
        , timer_(standin.context_)
    { }

    void read()
    {
        socket_.async_read_some(
            asio::buffer(buffer_), [self = shared_from_this()](const asio::error_code &error, std::size_t bytes) {
                if (error || self->standin_ == nullptr) {
                    self->close();
                    return;
                }
                const HttpProgress progress = self->reader_.feed(std::string_view(self->buffer_.data(), bytes));
                if (progress == HttpProgress::NeedMore) {
                    self->read();
                } else if (progress == HttpProgress::Complete) {
                    self->handle(self->reader_.take());
                } else {
                    self->close();
                }
            });
    }

    /// Handles a change of the value at @p path: responds to this connection's long poll, if it is for that path.
    void handleValueChange(const std::string &path)
    {
        if (longPollPending_ && path == path_) {
            longPollPending_ = false;
            timer_.cancel();
            respond(standin_->responseFor(path_, etag_, false));
        }
    }

    void close()
    {
        asio::error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
        PlatformStandin *standin = std::exchange(standin_, nullptr);
        if (standin != nullptr) {
            standin->sessions_.remove(shared_from_this());
        }
    }

private:
    void handle(const PlatformHttpRequest &request)
    {
        if (request.method != "GET") {
            const bool handled = standin_->handleControlRequest(request);
            respond({ handled ? 204U : 404U, {}, "" });
            return;
        }
        ++standin_->requests_;
        path_ = request.target;
        const auto etag = request.fields.find("if-none-match");
        etag_ = etag == request.fields.end() ? "" : etag->second;
        fault_ = standin_->consumeFault();
        switch (fault_) {
        case PlatformFault::Close:
            close();
            return;
        case PlatformFault::Throttle:
            respond({ 429, { { "Retry-After", "2" } }, "" });
            return;
        case PlatformFault::ServerError:
            respond({ 503, { { "Retry-After", "1" } }, "" });
            return;
        case PlatformFault::Huge:
            respond({ 200, {}, std::string(hugeBodyBytes, ' ') + "{" });
            return;
        case PlatformFault::Slow:
            respondAfter(standin_->slowResponseDelay);
            return;
        default:
            break;
        }
        respondOrLongPoll(longPollSeconds(request));
    }

    void respondOrLongPoll(int timeoutSeconds)
    {
        PlatformHttpResponse response = standin_->responseFor(path_, etag_, fault_ == PlatformFault::OlderVersion);
        constexpr unsigned notModified = 304;
        if (response.status != notModified || timeoutSeconds == 0) {
            respond(std::move(response));
        } else if (fault_ == PlatformFault::CutWatch) {
            close();
        } else if (fault_ != PlatformFault::NeverFire) {
            longPollPending_ = true;
            respondAfter(std::chrono::seconds(timeoutSeconds));
        }
    }

    void respondAfter(std::chrono::milliseconds delay)
    {
        timer_.expires_after(delay);
        timer_.async_wait([self = shared_from_this()](const asio::error_code &error) {
            if (!error && self->standin_ != nullptr) {
                self->longPollPending_ = false;
                self->respond(self->standin_->responseFor(self->path_, self->etag_, false));
            }
        });
    }

    void respond(PlatformHttpResponse response)
    {
        response.fields["Connection"] = "close";
        bytes_ = serialize(response);
        if (fault_ == PlatformFault::Truncate) {
            bytes_.resize(bytes_.size() - std::min(bytes_.size(), response.body.size() / 2 + 1));
        }
        asio::async_write(socket_,
                          asio::buffer(bytes_),
                          [self = shared_from_this()](const asio::error_code &, std::size_t) { self->close(); });
    }

    PlatformStandin *standin_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    PlatformRequestReader reader_;
    std::array<char, 4096> buffer_ {};
    std::string bytes_;
    std::string path_;
    std::string etag_;
    PlatformFault fault_ = PlatformFault::None;
    bool longPollPending_ = false;
};

PlatformStandin::PlatformStandin(asio::io_context &context, std::uint16_t port)
    : context_(context)
    , acceptor_(context)
    , port_(port)
{
    listen();
}

PlatformStandin::~PlatformStandin()
{
    shutDown();
}

void PlatformStandin::listen()
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port_);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    port_ = acceptor_.local_endpoint().port();
    accept();
}

void PlatformStandin::accept()
{
    acceptor_.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error) {
            // The acceptor was closed; this object may have been destroyed already.
            return;
        }
        sessions_.push_back(std::make_shared<Session>(*this, std::move(socket)));
        sessions_.back()->read();
        accept();
    });
}

void PlatformStandin::set(const std::string &path, std::string body)
{
    Value &value = values_[path];
    value.olderEtag = std::exchange(value.etag, etagOf(body));
    value.olderBody = std::exchange(value.body, std::move(body));
    const auto sessions = sessions_;
    for (const std::shared_ptr<Session> &session : sessions) {
        session->handleValueChange(path);
    }
}

void PlatformStandin::injectFault(PlatformFault fault, std::size_t times)
{
    fault_ = fault;
    remainingFaults_ = times;
}

PlatformFault PlatformStandin::consumeFault()
{
    if (remainingFaults_ == 0) {
        return PlatformFault::None;
    }
    --remainingFaults_;
    return fault_;
}

bool PlatformStandin::handleControlRequest(const PlatformHttpRequest &request)
{
    if (request.method == "PUT") {
        set(request.target, request.body);
        return true;
    }
    if (request.method != "POST" || request.target != "/control/fault") {
        return false;
    }
    std::istringstream text(request.body);
    std::string name;
    std::size_t times = 1;
    text >> name >> times;
    if (name == "go-away") {
        shutDown();
    } else {
        injectFault(parsePlatformFault(name), times);
    }
    return true;
}

PlatformHttpResponse PlatformStandin::responseFor(const std::string &path, const std::string &etag, bool older) const
{
    const auto it = values_.find(path);
    if (it == values_.end()) {
        return { 404, {}, "" };
    }
    const Value &value = it->second;
    const bool useOlder = older && !value.olderEtag.empty();
    const std::string &current = useOlder ? value.olderEtag : value.etag;
    if (etag == current) {
        return { 304, { { "ETag", current } }, "" };
    }
    return { 200,
             { { "ETag", current }, { "Content-Type", "application/json" } },
             useOlder ? value.olderBody : value.body };
}

void PlatformStandin::shutDown()
{
    asio::error_code ignored;
    acceptor_.close(ignored);
    const auto sessions = std::exchange(sessions_, {});
    for (const std::shared_ptr<Session> &session : sessions) {
        session->close();
    }
}

void PlatformStandin::restart()
{
    listen();
}

} // namespace boragelug
