#include "drivers/log_buffer.h"

#include <algorithm>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace boragelug
{
namespace
{

bool isWritable(int descriptor)
{
    pollfd entry { .fd = descriptor, .events = POLLOUT, .revents = 0 };
    return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

} // namespace

LogBuffer::LogBuffer(int descriptor, std::size_t maxBytes)
    : descriptor_(descriptor)
    , maxBytes_(maxBytes)
{ }

std::streamsize LogBuffer::xsputn(const char *text, std::streamsize count)
{
    for (std::streamsize i = 0; i < count; ++i) {
        add(text[i]);
    }
    return count;
}

LogBuffer::int_type LogBuffer::overflow(int_type character)
{
    if (!traits_type::eq_int_type(character, traits_type::eof())) {
        add(traits_type::to_char_type(character));
    }
    return traits_type::not_eof(character);
}

void LogBuffer::add(char character)
{
    line_.push_back(character);
    if (character != '\n') {
        return;
    }
    if (waiting_.size() + line_.size() > maxBytes_) {
        ++dropped_;
    } else {
        waiting_ += line_;
    }
    line_.clear();
}

void LogBuffer::drain()
{
    // A descriptor that polls as writable takes PIPE_BUF bytes without blocking, even if the mode is blocking.
    while (!waiting_.empty() && isWritable(descriptor_)) {
        const ssize_t written = write(descriptor_, waiting_.data(), std::min<std::size_t>(waiting_.size(), PIPE_BUF));
        if (written <= 0) {
            return;
        }
        waiting_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace boragelug
