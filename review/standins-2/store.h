// The platform's metadata store: an HTTP server with /v1/kv-range, /v1/kv-watch and /v1/kv-key.
#pragma once

#include "net.h"

#include <utility>

namespace review
{

inline std::string base64(const std::string &in)
{
    static const char *const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out.push_back(i + j <= in.size() ? digits[(group >> (18 - 6 * j)) & 63U] : '=');
        }
    }
    return out;
}

class Store
{
public:
    struct Item
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        bool removed = false;
        Time writtenAt {};
    };

    Store(Loop &loop, const Address &address)
        : loop_(loop)
        , listener_(openSocket(SOCK_STREAM, address))
    {
        if (listener_ >= 0) {
            loop_.watch(listener_, POLLIN, [this] { accept(); });
        }
    }

    bool isOpen() const { return listener_ >= 0; }

    /// Value of @p key; empty if there is none.
    std::string value(const std::string &key) const
    {
        const auto found = items_.find(key);
        return found != items_.end() ? found->second.value : std::string();
    }

    void set(const std::string &key, const std::string &value)
    {
        const auto found = items_.find(key);
        const std::uint64_t created = found != items_.end() ? found->second.created : revision_ + 1;
        record({ .key = key, .value = value, .revision = ++revision_, .created = created });
    }

    void remove(const std::string &key)
    {
        if (items_.erase(key) > 0) {
            record({ .key = key, .value = {}, .revision = ++revision_, .created = 0, .removed = true });
        }
    }

    /// Calls with serializable=1 see what was written at least this long ago, as on a replica that lags.
    void setReplicaLag(Milliseconds lag) { replicaLag_ = lag; }

    /// Calls that were answered.
    std::uint64_t calls() const { return calls_; }

private:
    struct Session
    {
        int descriptor = -1;
        std::string in;
        std::string out;
        std::uint64_t after = 0;
        bool answered = false;
    };
    using SessionPointer = std::shared_ptr<Session>;

    void record(Item item)
    {
        item.writtenAt = loop_.now();
        if (!item.removed) {
            items_[item.key] = item;
        }
        history_.push_back(item);
        const auto watches = std::move(watches_);
        watches_.clear();
        for (const SessionPointer &session : watches) {
            if (!session->answered) {
                answer(session, watchBody(session->after));
            }
        }
    }

    static std::string query(const std::string &target, const std::string &name)
    {
        const auto at = target.find(name + '=');
        if (at == std::string::npos || (target[at - 1] != '?' && target[at - 1] != '&')) {
            return {};
        }
        const auto from = at + name.size() + 1;
        const std::string encoded = target.substr(from, target.find('&', from) - from);
        std::string out;
        for (std::size_t i = 0; i < encoded.size(); ++i) {
            const bool escaped = encoded[i] == '%' && i + 2 < encoded.size();
            out.push_back(escaped ? static_cast<char>(std::stoi(encoded.substr(i + 1, 2), nullptr, 16)) : encoded[i]);
            i += escaped ? 2 : 0;
        }
        return out;
    }

    static std::uint64_t number(const std::string &text) { return text.empty() ? 0 : std::stoull(text); }

    static std::string itemBody(const Item &item)
    {
        if (item.removed) {
            return R"({"key":")" + item.key + R"(","revision":)" + std::to_string(item.revision)
                + R"(,"removed":true})";
        }
        return R"({"key":")" + item.key + R"(","value":")" + base64(item.value) + R"(","revision":)"
            + std::to_string(item.revision) + R"(,"created":)" + std::to_string(item.created) + R"(,"lease":0})";
    }

    std::string rangeBody(const std::string &prefix, const std::string &after) const
    {
        constexpr std::size_t pageItems = 500;
        constexpr std::size_t pageBytes = 1'048'576;
        std::string items;
        std::size_t count = 0;
        std::size_t bytes = 0;
        bool more = false;
        for (const auto &[key, item] : items_) {
            if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
                continue;
            }
            if (count == pageItems || (count > 0 && bytes + item.value.size() > pageBytes)) {
                more = true;
                break;
            }
            items += (count++ > 0 ? "," : "") + itemBody(item);
            bytes += item.value.size();
        }
        return R"({"items":[)" + items + R"(],"has_more":)" + (more ? "true" : "false") + R"(,"as_of":)"
            + std::to_string(revision_) + '}';
    }

    std::string watchBody(std::uint64_t after) const
    {
        std::string events;
        for (const Item &item : history_) {
            if (item.revision > after) {
                events += (events.empty() ? "" : ",") + itemBody(item);
            }
        }
        return R"({"events":[)" + events + R"(],"as_of":)" + std::to_string(revision_) + '}';
    }

    void watchReplica(const SessionPointer &session, Time end)
    {
        if (session->answered) {
            return;
        }
        std::string events;
        std::uint64_t asOf = session->after;
        for (const Item &item : history_) {
            if (item.revision > session->after && item.writtenAt + replicaLag_ <= loop_.now()) {
                events += (events.empty() ? "" : ",") + itemBody(item);
                asOf = item.revision;
            }
        }
        if (!events.empty() || loop_.now() >= end) {
            answer(session, R"({"events":[)" + events + R"(],"as_of":)" + std::to_string(asOf) + '}');
            return;
        }
        loop_.after(Milliseconds(5), [this, session, end] { watchReplica(session, end); });
    }

    void accept()
    {
        while (true) {
            const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor < 0) {
                return;
            }
            const auto session = std::make_shared<Session>();
            session->descriptor = descriptor;
            loop_.watch(descriptor, POLLIN, [this, session] { read(session); });
        }
    }

    void read(const SessionPointer &session)
    {
        char buffer[4096];
        const ssize_t size = recv(session->descriptor, buffer, sizeof buffer, 0);
        if (size == 0 || (size < 0 && errno != EAGAIN)) {
            end(session);
            return;
        }
        if (size < 0 || session->answered) {
            return;
        }
        session->in.append(buffer, static_cast<std::size_t>(size));
        const auto headEnd = session->in.find("\r\n\r\n");
        if (headEnd != std::string::npos) {
            const std::string request = std::exchange(session->in, session->in.substr(headEnd + 4));
            handle(session, request.substr(4, request.find(' ', 4) - 4));
        }
    }

    void handle(const SessionPointer &session, const std::string &target)
    {
        if (target.starts_with("/v1/kv-range?")) {
            answer(session, rangeBody(query(target, "prefix"), query(target, "after")));
        } else if (target.starts_with("/v1/kv-watch?")) {
            session->after = number(query(target, "after"));
            const Milliseconds wait(number(query(target, "wait_ms")));
            if (query(target, "serializable") == "1") {
                watchReplica(session, loop_.now() + wait);
                return;
            }
            if (session->after < revision_) {
                answer(session, watchBody(session->after));
                return;
            }
            watches_.push_back(session);
            loop_.after(wait, [this, session] {
                if (!session->answered) {
                    std::erase(watches_, session);
                    answer(session, watchBody(session->after));
                }
            });
        } else {
            answer(session, "{}", "404 Not Found");
        }
    }

    void answer(const SessionPointer &session, const std::string &body, const std::string &status = "200 OK")
    {
        ++calls_;
        session->answered = true;
        session->out = "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
        // An answer takes 4 ms.
        loop_.after(Milliseconds(4), [this, session] { write(session); });
    }

    void write(const SessionPointer &session)
    {
        if (session->descriptor < 0) {
            return;
        }
        const ssize_t size = send(session->descriptor, session->out.data(), session->out.size(), MSG_NOSIGNAL);
        if (size > 0) {
            session->out.erase(0, static_cast<std::size_t>(size));
        }
        if (size < 0 && errno != EAGAIN) {
            end(session);
        } else if (session->out.empty()) {
            // The reader closes the connection.
            shutdown(session->descriptor, SHUT_WR);
            loop_.watch(session->descriptor, POLLIN, [this, session] { read(session); });
        } else {
            loop_.watch(session->descriptor, POLLOUT, [this, session] { write(session); });
        }
    }

    void end(const SessionPointer &session)
    {
        std::erase(watches_, session);
        session->answered = true;
        loop_.unwatch(session->descriptor);
        close(session->descriptor);
        session->descriptor = -1;
    }

    Loop &loop_;
    int listener_;
    std::uint64_t revision_ = 100;
    std::uint64_t calls_ = 0;
    Milliseconds replicaLag_ { 0 };
    std::map<std::string, Item> items_;
    std::vector<Item> history_;
    std::vector<SessionPointer> watches_;
};

} // namespace review
