#include "fleet.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <random>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{
namespace
{

constexpr double probeInterval = 0.5;
constexpr double probeTimeout = 0.45;
constexpr unsigned graceSeconds = 6;

bool isFree(std::uint32_t network, std::uint16_t port)
{
    for (const unsigned group : { 10U, 20U, 30U, 40U }) {
        const Address address { .ip = network | group << 8U | 1U, .port = port };
        try {
            close(bindUdp(address));
            close(listenTcp(address));
        } catch (const std::exception &) {
            return false;
        }
    }
    return true;
}

} // namespace

Fleet::Fleet(Loop &loop, Record &record)
    : loop_(loop)
    , record_(record)
    , network_(0x7f000000U | (16U + static_cast<std::uint32_t>(getpid()) % 200U) << 16U)
{
    std::mt19937 random(static_cast<unsigned>(getpid()));
    std::vector<std::uint16_t> found;
    for (int attempt = 0; found.size() < 6 && attempt < 200; ++attempt) {
        const auto port = static_cast<std::uint16_t>(20'000 + random() % 10'000);
        if (isFree(network_, port) && std::find(found.begin(), found.end(), port) == found.end()) {
            found.push_back(port);
        }
    }
    if (found.size() < 6) {
        throw std::runtime_error("no free ports");
    }
    ports_ = { .data = found[0],
               .ready = found[1],
               .control = found[2],
               .metrics = found[3],
               .store = found[4],
               .host = found[5] };
    std::string pattern = (std::filesystem::temp_directory_path() / "boragelug-review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    folder_ = pattern;
}

Fleet::~Fleet()
{
    for (Machine &machine : machines_) {
        if (machine.pid > 0) {
            kill(machine.pid, SIGCONT);
            kill(machine.pid, SIGKILL);
            waitpid(machine.pid, nullptr, 0);
        }
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    } else {
        record_.line("logs are in %s", folder_.c_str());
    }
}

// platform/settings.yaml, filled in.
std::string Fleet::settings(const Machine &machine) const
{
    const auto at = [](std::uint32_t ip, std::uint16_t port) { return "\"" + text({ .ip = ip, .port = port }) + "\""; };
    std::string seeds;
    for (unsigned i = 0; i < seeds_; ++i) {
        seeds += (i == 0 ? "" : ",") + at(machines_[i].ip, ports_.control);
    }
    return "vm: \"" + machine.name + "\"\nzone: \"north\"\nendpoints:\n  packet: " + at(machine.ip, ports_.data)
        + "\n  admin: " + at(machine.ip, ports_.ready) + "\n  metrics: " + at(machine.ip, ports_.metrics)
        + "\n  relay: " + at(machine.ip, ports_.control) + "\ndirectory: \"" + text(storeAddress()) + "\"\nrelays: ["
        + seeds + "]\nlog_level: debug\nchange_bound: 3000ms\nstop_grace: " + grace_ + "s\nlink_mbps: 1000.0\n";
}

void Fleet::start(unsigned count, unsigned seeds)
{
    seeds_ = seeds;
    for (unsigned i = 0; i < count; ++i) {
        machines_.push_back({ .name = "front-north-" + std::to_string(i + 1), .ip = ip(10, i + 1) });
    }
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        startMachine(machines_[i]);
        loop_.every(probeInterval, [this, i] { checkReady(i); });
    }
}

std::string Fleet::settingsPath(const Machine &machine) const
{
    return folder_ + "/" + machine.name + ".yaml";
}

// In one step, so that no process reads a part.
void Fleet::writeSettings(const Machine &machine) const
{
    const std::string path = settingsPath(machine);
    std::ofstream(path + ".new") << settings(machine);
    std::filesystem::rename(path + ".new", path);
}

void Fleet::changeGrace(const std::string &seconds)
{
    grace_ = seconds;
    for (const Machine &machine : machines_) {
        writeSettings(machine);
        if (machine.pid > 0) {
            kill(machine.pid, SIGHUP);
        }
    }
    record_.line("settings change: grace_s = %s; SIGHUP to all machines", seconds.c_str());
}

void Fleet::killAll(double downTime)
{
    record_.line("all processes are killed");
    for (Machine &machine : machines_) {
        if (machine.pid > 0) {
            kill(machine.pid, SIGKILL);
            waitpid(machine.pid, nullptr, 0);
            machine.pid = -1;
        }
    }
    loop_.after(downTime, [this] { startAgain(); });
}

void Fleet::startAgain()
{
    constexpr double restartDelay = 0.5;
    for (Machine &machine : machines_) {
        int status = 0;
        if (machine.pid > 0 && waitpid(machine.pid, &status, WNOHANG) == machine.pid) {
            ++ends_;
            machine.pid = -1;
            record_.line("%s ended by itself with status %d",
                         machine.name.c_str(),
                         WIFEXITED(status) ? WEXITSTATUS(status) : -1);
        }
        if (machine.pid <= 0) {
            startMachine(machine);
        }
    }
    loop_.after(restartDelay, [this] { startAgain(); });
}

void Fleet::startMachine(Machine &machine)
{
    const std::string path = settingsPath(machine);
    writeSettings(machine);
    const std::string log = folder_ + "/" + machine.name + ".log";
    machine.pid = fork();
    if (machine.pid == 0) {
        // No process outlives the case.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        const std::string option = "--settings=" + path;
        execl("target/programs/boragelugd", "boragelugd", "--flow-tags", option.c_str(), nullptr);
        _exit(127);
    }
    record_.line("start %s", machine.name.c_str());
}

void Fleet::stop(std::size_t machine)
{
    record_.line("SIGTERM to %s", machines_[machine].name.c_str());
    const pid_t pid = machines_[machine].pid;
    kill(pid, SIGTERM);
    loop_.after(graceSeconds, [this, machine, pid] {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
        machines_[machine].pid = -1;
        record_.line("%s has ended", machines_[machine].name.c_str());
    });
}

bool Fleet::hasCrashed()
{
    return std::any_of(machines_.begin(), machines_.end(), [](Machine &machine) {
        if (machine.pid <= 0 || waitpid(machine.pid, nullptr, WNOHANG) != machine.pid) {
            return false;
        }
        machine.pid = -1;
        return true;
    });
}

// GET of the ready address, twice a second; two misses take a machine out of rotation, a 200 puts it back.
void Fleet::checkReady(std::size_t machine)
{
    const int fd = connectTcp({ .ip = machines_[machine].ip, .port = ports_.ready });
    const auto done = std::make_shared<bool>(false);
    const auto end = [this, fd, done, machine](bool ready) {
        if (*done) {
            return;
        }
        *done = true;
        if (fd >= 0) {
            loop_.unwatch(fd);
            close(fd);
        }
        Machine &checked = machines_[machine];
        const bool was = checked.inRotation;
        checked.misses = ready ? 0 : checked.misses + 1;
        checked.inRotation = ready || (checked.inRotation && checked.misses < 2);
        if (was != checked.inRotation) {
            record_.line("%s is %s rotation", checked.name.c_str(), checked.inRotation ? "in" : "out of");
        }
    };
    if (fd < 0) {
        end(false);
        return;
    }
    loop_.after(probeTimeout, [end] { end(false); });
    loop_.watch(
        fd,
        [this, fd, end] {
            static constexpr std::string_view request = "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
            if (send(fd, request.data(), request.size(), MSG_NOSIGNAL) <= 0) {
                end(false);
                return;
            }
            loop_.watch(fd, [fd, end] {
                std::array<char, 256> buffer {};
                const ssize_t size = recv(fd, buffer.data(), buffer.size(), 0);
                end(size > 12 && std::string_view(buffer.data(), 12) == "HTTP/1.1 200");
            });
        },
        true);
}

bool Fleet::allReady() const
{
    return std::all_of(machines_.begin(), machines_.end(), [](const Machine &machine) { return machine.inRotation; });
}

const Fleet::Machine *Fleet::route(const Address &caller, const Address &entry) const
{
    const Machine *best = nullptr;
    std::size_t bestHash = 0;
    for (const Machine &machine : machines_) {
        const std::string key = text(caller) + text(entry) + machine.name;
        const std::size_t hash = std::hash<std::string> {}(key);
        if (machine.inRotation && (best == nullptr || hash > bestHash)) {
            best = &machine;
            bestHash = hash;
        }
    }
    return best;
}

} // namespace review
