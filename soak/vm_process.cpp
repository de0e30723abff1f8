#include "soak/vm_process.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace boragelug::soak
{

VmProcess::VmProcess(std::string program, std::string folder, std::string name)
    : program_(std::move(program))
    , folder_(std::move(folder))
    , name_(std::move(name))
{ }

VmProcess::~VmProcess()
{
    if (pid_ > 0) {
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
}

void VmProcess::start(TimePoint)
{
    const std::string settings = "--settings=" + settingsPath();
    const int log = open(logPath().c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (log < 0) {
        throw std::runtime_error("can't open " + logPath() + ": " + std::strerror(errno));
    }
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) {
        // Kills the daemon if the soak process dies. The parent may have died before prctl(), hence the check.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(EXIT_FAILURE);
        }
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        // Inherited sockets would keep the addresses of the soak's own sockets in use.
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execl(program_.c_str(), program_.c_str(), "--flow-tags", settings.c_str(), nullptr);
        _exit(EXIT_FAILURE);
    }
    close(log);
    if (pid_ < 0) {
        throw std::runtime_error(std::string("can't fork a process for the daemon: ") + std::strerror(errno));
    }
}

void VmProcess::signal(int signal)
{
    if (pid_ > 0) {
        kill(pid_, signal);
    }
}

bool VmProcess::poll()
{
    int status = 0;
    if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) {
        return pid_ > 0;
    }
    status_ = WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
    pid_ = 0;
    return false;
}

std::optional<std::pair<std::size_t, std::size_t>> VmProcess::resources() const
{
    std::ifstream statm("/proc/" + std::to_string(pid_) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    if (pid_ <= 0 || !(statm >> total >> resident)) {
        return std::nullopt;
    }
    std::error_code error;
    const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(pid_) + "/fd", error);
    if (error) {
        return std::nullopt;
    }
    const auto count = static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
    return std::pair { resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) / 1024, count };
}

} // namespace boragelug::soak
