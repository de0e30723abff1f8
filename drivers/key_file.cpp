#include "drivers/key_file.h"

#include <cerrno>
#include <charconv>
#include <cstring>
#include <fcntl.h>
#include <optional>
#include <string_view>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

namespace boragelug
{

namespace
{

using KeyOutcome = Outcome<FleetKey, Problem>;

/// Closes a file descriptor at the end of its scope.
class OpenFile
{
public:
    explicit OpenFile(const std::string &path)
        : descriptor_(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK))
    { }
    ~OpenFile()
    {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
        }
    }
    OpenFile(const OpenFile &) = delete;
    OpenFile &operator=(const OpenFile &) = delete;

    int descriptor() const { return descriptor_; }

private:
    int descriptor_;
};

std::string modeText(mode_t mode)
{
    std::array<char, 16> text {};
    const auto result = std::to_chars(text.data(), text.data() + text.size(), mode & 07777U, 8);
    return '0' + std::string(text.data(), result.ptr);
}

std::optional<std::string> checkFile(int descriptor)
{
    struct stat status
    { };
    if (::fstat(descriptor, &status) != 0) {
        return "can't be examined: " + std::system_category().message(errno);
    }
    if (!S_ISREG(status.st_mode)) {
        return "must be a regular file";
    }
    if (status.st_uid != ::geteuid()) {
        return "must belong to the user that runs the process";
    }
    if ((status.st_mode & 07777U) != 0600U) {
        return "must have mode 0600, not " + modeText(status.st_mode);
    }
    return std::nullopt;
}

std::optional<FleetKey> parseKey(std::string_view text)
{
    FleetKey key;
    if (text.ends_with('\n')) {
        text.remove_suffix(1);
    }
    if (text.size() != 2 * key.bytes.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < key.bytes.size(); ++i) {
        unsigned value = 0;
        const char *const digits = text.data() + 2 * i;
        const auto [end, error] = std::from_chars(digits, digits + 2, value, 16);
        if (error != std::errc() || end != digits + 2) {
            return std::nullopt;
        }
        key.bytes[i] = static_cast<std::byte>(value);
    }
    return key;
}

} // namespace

Outcome<FleetKey, Problem> loadKey(const std::string &path)
{
    const OpenFile file(path);
    if (file.descriptor() < 0) {
        return KeyOutcome::failure({ path, 0, 0, "", "can't be opened: " + std::system_category().message(errno) });
    }
    if (auto reason = checkFile(file.descriptor())) {
        return KeyOutcome::failure({ path, 0, 0, "", "key file " + *reason });
    }
    std::array<char, 128> buffer {};
    const ssize_t length = ::read(file.descriptor(), buffer.data(), buffer.size());
    if (length < 0) {
        return KeyOutcome::failure({ path, 0, 0, "", "can't be read: " + std::system_category().message(errno) });
    }
    const auto key = parseKey({ buffer.data(), static_cast<std::size_t>(length) });
    ::explicit_bzero(buffer.data(), buffer.size());
    if (!key) {
        return KeyOutcome::failure({ path, 0, 0, "", "key file must hold exactly 64 hexadecimal digits" });
    }
    return *key;
}

} // namespace boragelug
