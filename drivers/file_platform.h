#pragma once

#include "drivers/asio_runtime.h"
#include "drivers/view_file.h"
#include "servers/platform.h"

#include <map>
#include <optional>
#include <string>

namespace boragelug
{

/// Serves a view file as if it were the platform, for trials without a configuration service. Reads it ten times a
/// second; a file that can't be read or has a lower version leaves the last one in effect.
class FilePlatform : public Platform
{
public:
    FilePlatform(AsioRuntime &runtime, std::string path);

    void call(const PlatformCall &call, Done done) override;
    void cancel(std::uint64_t callId) override;

    /// The last view that was read, if any.
    const std::optional<ViewFile> &current() const { return current_; }

private:
    struct Pending
    {
        PlatformCall call;
        Done done;
        TimePoint until;
    };

    void refresh();
    void answerDue();
    std::optional<PlatformAnswer> answerTo(const Pending &pending) const;

    AsioRuntime &runtime_;
    std::string path_;
    std::optional<ViewFile> current_;
    std::map<std::uint64_t, Pending> pending_;
};

} // namespace boragelug
