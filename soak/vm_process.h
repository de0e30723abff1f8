#pragma once

#include "core/time_point.h"
#include "model/endpoint.h"

#include <optional>
#include <string>

#include <sys/types.h>

namespace boragelug::soak
{

/// One daemon as a child process, which the destructor kills by its process id. Not synchronized: use it from one
/// thread at a time.
class VmProcess
{
public:
    /// The settings and the log of the VM are files in @p folder, named after @p name.
    VmProcess(std::string program, std::string folder, std::string name);
    ~VmProcess();
    VmProcess(const VmProcess &) = delete;
    VmProcess &operator=(const VmProcess &) = delete;

    /// Starts the process; the settings file must exist. Throws std::runtime_error if the log can't be opened or
    /// the fork fails.
    void start(TimePoint now);

    /// Sends @p signal to the process if it is running.
    void signal(int signal);

    /// Whether the process is still running; the first call after it exited reaps it and stores its exit status.
    bool poll();

    bool isRunning() const { return pid_ > 0; }
    /// Exit code of the last run; the negated signal number if a signal ended it.
    int exitStatus() const { return status_; }
    const std::string &name() const { return name_; }
    std::string settingsPath() const { return folder_ + "/" + name_ + ".yaml"; }
    std::string logPath() const { return folder_ + "/" + name_ + ".log"; }

    /// Resident memory in KiB and number of open descriptors; std::nullopt if the process isn't running.
    std::optional<std::pair<std::size_t, std::size_t>> resources() const;

private:
    std::string program_;
    std::string folder_;
    std::string name_;
    pid_t pid_ = 0;
    int status_ = 0;
};

} // namespace boragelug::soak
