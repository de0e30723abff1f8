#pragma once

#include <cstdint>
#include <streambuf>
#include <string>

namespace boragelug
{

/**
 * Collects log lines and writes them to a file descriptor without ever waiting for its reader.
 *
 * Whole lines are dropped and counted when the reader is slow. Not synchronized: one thread at a time.
 */
class LogBuffer : public std::streambuf
{
public:
    /// Lines beyond @p maxBytes of waiting text are dropped. @p descriptor must outlive the buffer.
    LogBuffer(int descriptor, std::size_t maxBytes);

    /// Writes as much as the descriptor takes at once.
    void drain();

    /// Lines that were dropped since the start.
    std::uint64_t droppedLines() const { return dropped_; }

protected:
    std::streamsize xsputn(const char *text, std::streamsize count) override;
    int_type overflow(int_type character) override;

private:
    void add(char character);

    int descriptor_;
    std::size_t maxBytes_;
    std::string line_;
    std::string waiting_;
    std::uint64_t dropped_ = 0;
};

} // namespace boragelug
