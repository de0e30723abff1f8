#include "store.h"

#include <array>
#include <cerrno>
#include <cstdlib>
#include <string_view>

#include <sys/socket.h>
#include <unistd.h>

namespace review
{
namespace
{

// Limits of a page: about 500 items or 1 MB.
constexpr std::size_t pageItems = 500;
constexpr std::size_t pageBytes = 1'000'000;
constexpr double answerTime = 0.004;

std::string unescape(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out.push_back(static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
            i += 2;
        } else {
            out.push_back(text[i]);
        }
    }
    return out;
}

std::string queryField(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (part.starts_with(name + "=")) {
            return unescape(part.substr(name.size() + 1));
        }
        at = end;
    }
    return "";
}

std::string itemJson(const std::string &key, const std::string &value, std::uint64_t revision, std::uint64_t created)
{
    return R"({"key":")" + key + R"(","value":")" + base64(value) + R"(","revision":)" + std::to_string(revision)
        + R"(,"created":)" + std::to_string(created) + R"(,"lease":0})";
}

} // namespace

std::string base64(const std::string &bytes)
{
    static constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out.push_back(i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63U]);
        }
    }
    return out;
}

Store::Store(Loop &loop, Record &record, const Address &address)
    : loop_(loop)
    , record_(record)
    , listener_(listenTcp(address))
{
    loop_.watch(listener_, [this] { accept(); });
}

void Store::accept()
{
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        return;
    }
    const auto call = std::make_shared<Call>();
    call->fd = fd;
    loop_.watch(fd, [this, call] { read(call); });
}

void Store::read(const std::shared_ptr<Call> &call)
{
    std::array<char, 4096> buffer {};
    const ssize_t size = recv(call->fd, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
        close(call);
        return;
    }
    call->in.append(buffer.data(), static_cast<std::size_t>(size));
    if (call->answered || call->in.find("\r\n\r\n") == std::string::npos) {
        return;
    }
    const std::size_t start = call->in.find(' ') + 1;
    const std::string target = call->in.substr(start, call->in.find(' ', start) - start);
    call->answered = true;
    loop_.after(answerTime, [this, call, target] { handle(call, target); });
}

void Store::handle(const std::shared_ptr<Call> &call, const std::string &target)
{
    if (call->fd < 0) {
        return;
    }
    if (target.starts_with("/v1/kv-range")) {
        answer(call, 200, page(queryField(target, "prefix"), queryField(target, "after")));
        return;
    }
    if (!target.starts_with("/v1/kv-watch")) {
        answer(call, 404, "{}");
        return;
    }
    call->after = std::strtoull(queryField(target, "after").c_str(), nullptr, 10);
    if (call->after < dropped_) {
        record_.line("store: watch after %llu gets 410: the history up to %llu is gone",
                     static_cast<unsigned long long>(call->after),
                     static_cast<unsigned long long>(dropped_));
        answer(call, 410, "{}");
        return;
    }
    call->waiting = true;
    waiting_.push_back(call);
    const double wait = std::strtod(queryField(target, "wait_ms").c_str(), nullptr) / 1000;
    loop_.after(wait, [this, call] { answerWatch(call); });
    answerWatches();
}

void Store::answer(const std::shared_ptr<Call> &call, int status, const std::string &body)
{
    const std::string head = "HTTP/1.1 " + std::to_string(status)
        + " X\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n";
    const std::string out = head + body;
    std::size_t sent = 0;
    while (sent < out.size()) {
        const ssize_t size = send(call->fd, out.data() + sent, out.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            // The answers of these cases fit into the socket's buffer but for the largest pages.
            usleep(200);
            if (size < 0 && errno != EAGAIN) {
                break;
            }
            continue;
        }
        sent += static_cast<std::size_t>(size);
    }
    shutdown(call->fd, SHUT_WR);
}

void Store::close(const std::shared_ptr<Call> &call)
{
    if (call->fd >= 0) {
        loop_.unwatch(call->fd);
        ::close(call->fd);
        call->fd = -1;
    }
    call->waiting = false;
    waiting_.remove(call);
}

void Store::answerWatch(const std::shared_ptr<Call> &call)
{
    if (!call->waiting || call->fd < 0) {
        return;
    }
    call->waiting = false;
    waiting_.remove(call);
    std::string events;
    for (const Event &event : history_) {
        if (event.revision > call->after) {
            events += (events.empty() ? "" : ",") + event.json;
        }
    }
    answer(call, 200, R"({"events":[)" + events + R"(],"as_of":)" + std::to_string(revision_) + "}");
}

void Store::answerWatches()
{
    const auto waiting = waiting_;
    for (const auto &call : waiting) {
        if (call->after < revision_) {
            answerWatch(call);
        }
    }
}

std::string Store::page(const std::string &prefix, const std::string &after)
{
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (auto it = items_.upper_bound(after); it != items_.end(); ++it) {
        if (!it->first.starts_with(prefix)) {
            continue;
        }
        if (count >= pageItems || items.size() >= pageBytes) {
            more = true;
            break;
        }
        items +=
            (count == 0 ? "" : ",") + itemJson(it->first, it->second.value, it->second.revision, it->second.created);
        ++count;
    }
    record_.line("store: listing after '%s': a page of %zu items as of %llu, more: %s",
                 after.c_str(),
                 count,
                 static_cast<unsigned long long>(revision_),
                 more ? "yes" : "no");
    return R"({"items":[)" + items + R"(],"has_more":)" + (more ? "true" : "false") + R"(,"as_of":)"
        + std::to_string(revision_) + "}";
}

std::uint64_t Store::put(const std::string &key, const std::string &value)
{
    ++revision_;
    Item &item = items_[key];
    item = { .value = value, .revision = revision_, .created = item.created == 0 ? revision_ : item.created };
    history_.push_back({ .revision = revision_, .json = itemJson(key, value, revision_, item.created) });
    answerWatches();
    return revision_;
}

std::uint64_t Store::remove(const std::string &key)
{
    if (items_.erase(key) > 0) {
        ++revision_;
        history_.push_back(
            { .revision = revision_,
              .json = R"({"key":")" + key + R"(","revision":)" + std::to_string(revision_) + R"(,"removed":true})" });
        answerWatches();
    }
    return revision_;
}

void Store::dropHistory()
{
    history_.clear();
    dropped_ = revision_;
    record_.line("store: drops its history up to revision %llu", static_cast<unsigned long long>(revision_));
}

} // namespace review
