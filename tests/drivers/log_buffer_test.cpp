#include "drivers/log_buffer.h"

#include <gtest/gtest.h>

#include <array>
#include <ostream>
#include <string>

#include <fcntl.h>
#include <unistd.h>

namespace boragelug
{
namespace
{

// Guards packets against a pipe that nobody reads: writing never waits, and lost lines are counted.
TEST(LogBuffer, NeverWaitsForItsReader)
{
    std::array<int, 2> ends {};
    ASSERT_EQ(pipe(ends.data()), 0);
    LogBuffer buffer(ends[1], 10'000);
    std::ostream stream(&buffer);
    const std::string line(99, 'x');
    for (int i = 0; i < 5000; ++i) {
        stream << line << '\n';
        buffer.drain();
    }
    EXPECT_GT(buffer.droppedLines(), 0U);
    std::size_t bytes = 0;
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::array<char, 65536> text {};
    for (ssize_t got = 0; (got = read(ends[0], text.data(), text.size())) > 0;) {
        for (ssize_t i = 0; i < got; ++i, ++bytes) {
            ASSERT_EQ(text[static_cast<std::size_t>(i)], bytes % 100 == 99 ? '\n' : 'x') << "a line is torn";
        }
        buffer.drain();
    }
    EXPECT_EQ(bytes, (5000 - buffer.droppedLines()) * 100);
    close(ends[0]);
    close(ends[1]);
}

} // namespace
} // namespace boragelug
