#pragma once

#include "core/time_point.h"
#include "model/endpoint.h"

#include <optional>
#include <string>

#include <sys/types.h>

namespace boragelug::soak
{

/// One daemon as a child process. Ends it, by its id, when destroyed. Not synchronized: one thread at a time.
class VmProcess
{
public:
    /// @p folder holds settings and log of this VM.
    VmProcess(std::string program, std::string folder, std::string name);
    ~VmProcess();
    VmProcess(const VmProcess &) = delete;
    VmProcess &operator=(const VmProcess &) = delete;

    /// Starts the process; the settings file has to be there.
    void start(TimePoint now);

    /// Sends @p signal to the process, if it runs.
    void signal(int signal);

    /// Whether the process ran until now; the first call after its end takes its exit status.
    bool poll();

    bool isRunning() const { return pid_ > 0; }
    /// Exit code of the last run; a signal counts as its number with a minus sign.
    int exitStatus() const { return status_; }
    const std::string &name() const { return name_; }
    std::string settingsPath() const { return folder_ + "/" + name_ + ".yaml"; }
    std::string logPath() const { return folder_ + "/" + name_ + ".log"; }

    /// Resident memory in KiB and open descriptors; nothing if the process doesn't run.
    std::optional<std::pair<std::size_t, std::size_t>> resources() const;

private:
    std::string program_;
    std::string folder_;
    std::string name_;
    pid_t pid_ = 0;
    int status_ = 0;
};

} // namespace boragelug::soak
