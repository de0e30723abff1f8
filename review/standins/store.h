#pragma once

#include "loop.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review
{

/// Stand-in of the platform's metadata store: listings in pages, watches and a history that can be dropped. It answers
/// with its newest revision always, also to "serializable" calls.
class Store
{
public:
    Store(Loop &loop, Record &record, const Address &address);

    /// Both return the revision of the change, which is acknowledged at once.
    std::uint64_t put(const std::string &key, const std::string &value);
    std::uint64_t remove(const std::string &key);

    /// Drops the history of changes: a watch that continues from an earlier revision gets 410.
    void dropHistory();

private:
    struct Call
    {
        int fd = -1;
        std::string in;
        std::uint64_t after = 0;
        bool waiting = false;
        bool answered = false;
    };

    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };

    struct Event
    {
        std::uint64_t revision = 0;
        std::string json;
    };

    void accept();
    void read(const std::shared_ptr<Call> &call);
    void handle(const std::shared_ptr<Call> &call, const std::string &target);
    void answer(const std::shared_ptr<Call> &call, int status, const std::string &body);
    void close(const std::shared_ptr<Call> &call);
    void answerWatch(const std::shared_ptr<Call> &call);
    void answerWatches();
    std::string page(const std::string &prefix, const std::string &after);

    Loop &loop_;
    Record &record_;
    int listener_;
    std::uint64_t revision_ = 10;
    std::uint64_t dropped_ = 0;
    std::map<std::string, Item> items_;
    std::vector<Event> history_;
    std::list<std::shared_ptr<Call>> waiting_;
};

std::string base64(const std::string &bytes);

} // namespace review
