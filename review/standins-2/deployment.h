// A small deployment: the system's processes, the platform's routers and store, hosts and consumers.
#pragma once

#include "flows.h"
#include "store.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include <sys/prctl.h>
#include <sys/wait.h>

namespace review
{

/// Fills in a template of settings: {{name}}, {{name|json}} and {{#name}} .. {{/name}}, with {{.}} inside.
inline std::string fillIn(std::string text, const std::map<std::string, std::string> &fields)
{
    const auto valueOf = [&fields](const std::string &name) {
        const auto found = fields.find(name);
        return found != fields.end() ? found->second : std::string();
    };
    for (auto at = text.find("{{#"); at != std::string::npos; at = text.find("{{#", at)) {
        const std::string name = text.substr(at + 3, text.find("}}", at) - at - 3);
        const std::string end = "{{/" + name + "}}";
        const auto from = at + name.size() + 5;
        std::string part = text.substr(from, text.find(end, from) - from);
        const std::size_t length = 2 * name.size() + 10 + part.size();
        const std::string value = valueOf(name);
        for (auto dot = part.find("{{.}}"); dot != std::string::npos; dot = part.find("{{.}}", dot)) {
            part.replace(dot, 5, value);
        }
        text.replace(at, length, value.empty() ? std::string() : part);
    }
    for (auto at = text.find("{{"); at != std::string::npos; at = text.find("{{", at)) {
        const auto end = text.find("}}", at);
        std::string name = text.substr(at + 2, end - at - 2);
        name = name.substr(0, name.find('|'));
        text.replace(at, end + 2 - at, valueOf(name));
    }
    return text;
}

struct Route
{
    Address address;
    std::string service;
    std::string kind;
};

struct Options
{
    std::string program;
    std::string settingsTemplate;
    std::string folder;
    std::string record;
    bool trouble = true;
};

class Deployment
{
public:
    static constexpr std::uint16_t dataPort = 8172, readyPort = 8167, controlPort = 8166, storePort = 8169;

    explicit Deployment(const Options &options)
        : options_(options)
        , record_(options.record)
        , network_(0x7f000000U | (32U + static_cast<std::uint32_t>(getpid()) % 190U) << 16U
                   | (static_cast<std::uint32_t>(getpid()) / 190U % 16U) << 12U)
        , fabric_(openSocket(SOCK_DGRAM, address(1, 2, 0)))
        , store_(loop_, address(1, 1, storePort))
    { }

    ~Deployment()
    {
        for (Vm &vm : vms_) {
            if (vm.process > 0) {
                kill(vm.process, SIGKILL);
                waitpid(vm.process, nullptr, 0);
            }
        }
    }
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    Loop &loop() { return loop_; }
    Store &store() { return store_; }
    Record &record() { return record_; }
    const std::vector<std::unique_ptr<Host>> &hosts() const { return hosts_; }
    std::vector<Route> &routes() { return routes_; }

    Address address(std::uint32_t group, std::uint32_t number, std::uint16_t port) const
    {
        return { network_ | group << 8U | number, port };
    }

    /// Starts a host, which writes its entry at once if @p entersAtOnce, and else within one heartbeat.
    Host &addHost(const std::string &service,
                  const std::string &zone,
                  Milliseconds work,
                  Host::Callbacks callbacks,
                  bool entersAtOnce = false,
                  std::size_t slots = 100,
                  std::size_t queue = 1000)
    {
        const auto number = static_cast<std::uint32_t>(hosts_.size() + 1);
        const auto born = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
        Host::Settings settings { .id = 0xe600000000ULL + mix(number) % 0xffffffffULL,
                                  .service = service,
                                  .zone = zone,
                                  .address = address(3, number, 8080),
                                  .born = static_cast<std::uint64_t>(born.count()),
                                  .consumerPort = dataPort,
                                  .work = work,
                                  .slots = slots,
                                  .queue = queue };
        hosts_.push_back(std::make_unique<Host>(loop_, std::move(settings), std::move(callbacks)));
        Host &host = *hosts_.back();
        canRun_ = canRun_ && host.isOpen();
        states_[&host] = "ready";
        // The heartbeats of hosts are spread over their interval.
        const auto delay = entersAtOnce ? 0 : heartbeat.count() * (number - 1) / 16 % heartbeat.count();
        loop_.after(Milliseconds(delay), [this, &host] { beat(host); });
        return host;
    }

    /// Changes the state of a host and reports it to the store at once.
    void setState(const Host &host, const std::string &state)
    {
        states_[&host] = state;
        writeEntry(host);
    }

    /// Ends a host and removes its entry.
    void endHost(Host &host)
    {
        host.end();
        store_.remove(host.key());
        record_.line("host " + host.key() + " has left");
    }

    /// Calls @p handler right after a heartbeat of @p host.
    void afterBeat(const Host &host, Loop::Handler handler) { afterBeat_[&host] = std::move(handler); }

    void writeConfig(std::uint64_t version)
    {
        std::string routes;
        for (const Route &route : routes_) {
            routes += (routes.empty() ? "" : ",") + std::string(R"({"name":"r-)")
                + std::to_string(route.address.ip & 255U) + R"(","host":")" + ipText(route.address) + R"(","prefix":"/)"
                + std::to_string(route.address.port) + R"(/","route_type":")" + route.kind
                + R"(","timeout_ms":2500,"target_latency_ms":250,"priority":1,"service":")" + route.service
                + R"(","max_attempts":2})";
        }
        std::set<std::string> names;
        for (const auto &host : hosts_) {
            names.insert(host->settings().service);
        }
        std::string services;
        for (const std::string &name : names) {
            services += (services.empty() ? "" : ",") + std::string(R"({"name":")") + name
                + R"(","health_path":"/health","max_conns":2000,"protocol":"h1","tls":false})";
        }
        store_.set("op/config",
                   R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"services":[)"
                       + services + R"(],"limits":{"idle_timeout_ms":15000}})");
    }

    void addVm(const std::string &zone)
    {
        const auto number = static_cast<std::uint32_t>(vms_.size() + 1);
        Vm vm;
        vm.name = "front-" + zone + "-" + std::to_string(number);
        vm.zone = zone;
        vm.number = number;
        vms_.push_back(vm);
    }

    void addConsumer(const std::string &zone)
    {
        const auto number = static_cast<std::uint32_t>(consumers_.size() + 1);
        consumers_.push_back(std::make_unique<Consumer>(
            loop_, address(2, number, dataPort), record_, [this, zone](const std::string &packet) {
                routePacket(zone, packet);
            }));
        canRun_ = canRun_ && consumers_.back()->isOpen();
    }

    Consumer &consumer(std::size_t number) { return *consumers_[number % consumers_.size()]; }
    std::size_t consumers() const { return consumers_.size(); }

    /// Starts all VMs; false if they aren't ready within 10 s.
    bool start()
    {
        if (!canRun_ || fabric_ < 0 || !store_.isOpen()) {
            fprintf(stderr, "an address is in use\n");
            return false;
        }
        for (Vm &vm : vms_) {
            startVm(vm);
            checkReady(vm.number - 1);
        }
        const Time limit = loop_.now() + std::chrono::seconds(10);
        while (loop_.now() < limit) {
            loop_.runUntil(loop_.now() + Milliseconds(100));
            if (std::all_of(vms_.begin(), vms_.end(), [](const Vm &vm) { return vm.inRotation; })) {
                record_.line("all VMs are in rotation");
                return true;
            }
        }
        fprintf(stderr, "the VMs didn't get ready\n");
        return false;
    }

    /// Sends SIGTERM to all VMs and waits until they have exited; false if one had ended before or doesn't exit.
    bool stop()
    {
        bool clean = true;
        for (Vm &vm : vms_) {
            kill(vm.process, SIGTERM);
        }
        const Time limit = loop_.now() + std::chrono::seconds(6);
        for (Vm &vm : vms_) {
            int status = 0;
            while (waitpid(vm.process, &status, WNOHANG) == 0 && loop_.now() < limit) {
                loop_.runUntil(loop_.now() + Milliseconds(50));
            }
            clean = clean && WIFEXITED(status) && WEXITSTATUS(status) == 0;
            record_.line(vm.name + " ended with status " + std::to_string(status));
            vm.process = kill(vm.process, 0) == 0 ? vm.process : 0;
        }
        return clean;
    }

    Consumer::Counts counts() const
    {
        Consumer::Counts all;
        for (const auto &consumer : consumers_) {
            all.sent += consumer->counts().sent;
            all.served += consumer->counts().served;
            all.reset += consumer->counts().reset;
            all.unanswered += consumer->counts().unanswered;
        }
        return all;
    }

private:
    static constexpr Milliseconds heartbeat { 1200 };

    struct Vm
    {
        std::string name;
        std::string zone;
        std::uint32_t number = 0;
        pid_t process = 0;
        bool inRotation = false;
        int misses = 0;
    };

    void beat(const Host &host)
    {
        if (!host.isOpen()) {
            return;
        }
        writeEntry(host);
        if (const auto found = afterBeat_.find(&host); found != afterBeat_.end()) {
            const auto handler = std::move(found->second);
            afterBeat_.erase(found);
            handler();
        }
        loop_.after(heartbeat, [this, &host] { beat(host); });
    }

    // The entry changes only if more than its sequence does.
    void writeEntry(const Host &host)
    {
        const std::string entry = host.entryWithoutSequence(host.settings().service, states_[&host]);
        ++sequences_[&host];
        if (!store_.value(host.key()).starts_with(entry + R"(,"sequence":)")) {
            store_.set(host.key(), entry + R"(,"sequence":)" + std::to_string(sequences_[&host]) + '}');
            record_.line("host " + host.key() + " writes its entry: " + host.settings().service + ", "
                         + states_[&host]);
        }
    }

    void startVm(Vm &vm)
    {
        const std::string path = options_.folder + '/' + vm.name;
        std::ifstream in(options_.settingsTemplate);
        std::stringstream text;
        text << in.rdbuf();
        std::string seeds;
        for (std::uint32_t i = 1; i <= std::min<std::size_t>(3, vms_.size()); ++i) {
            seeds += (seeds.empty() ? "\"" : ",\"") + review::text(address(4, i, controlPort)) + '"';
        }
        std::ofstream(path + ".settings")
            << fillIn(text.str(),
                      { { "node_name", vm.name },
                        { "zone", vm.zone },
                        { "ip", ipText(address(4, vm.number, 0)) },
                        { "listen_addrs.data_addr", review::text(address(4, vm.number, dataPort)) },
                        { "listen_addrs.ready", review::text(address(4, vm.number, readyPort)) },
                        { "listen_addrs.control_plane", review::text(address(4, vm.number, controlPort)) },
                        { "platform.address", review::text(address(1, 1, storePort)) },
                        { "seeds", '[' + seeds + ']' },
                        { "bounds.config_apply_ms", "3000" },
                        { "bounds.grace_s", "6" },
                        { "limits.link_mbps", "1000.0" } });
        const std::string settings = "--settings=" + path + ".settings";
        const std::string log = path + ".log";
        const pid_t parent = getpid();
        vm.process = fork();
        if (vm.process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
            dup2(out, STDOUT_FILENO);
            dup2(out, STDERR_FILENO);
            close_range(STDERR_FILENO + 1, ~0U, 0);
            if (getppid() == parent) {
                execl(options_.program.c_str(), options_.program.c_str(), "--flow-tags", settings.c_str(), nullptr);
            }
            _exit(127);
        }
    }

    // Two checks a second; two misses take a VM out of rotation. deploy/wire.toml maps the call to /readyz.
    void checkReady(std::size_t index)
    {
        loop_.after(Milliseconds(500), [this, index] { checkReady(index); });
        Vm &vm = vms_[index];
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in remote = native(address(4, vm.number, readyPort));
        connect(descriptor, reinterpret_cast<const sockaddr *>(&remote), sizeof remote);
        const auto answer = std::make_shared<std::string>();
        loop_.watch(descriptor, POLLOUT, [this, descriptor, answer] {
            const std::string request = "GET /readyz HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n";
            send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
            loop_.watch(descriptor, POLLIN, [this, descriptor, answer] {
                char buffer[2048];
                const ssize_t size = recv(descriptor, buffer, sizeof buffer, 0);
                if (size > 0) {
                    answer->append(buffer, static_cast<std::size_t>(size));
                } else if (size == 0 || errno != EAGAIN) {
                    loop_.unwatch(descriptor);
                }
            });
        });
        loop_.after(Milliseconds(400), [this, index, descriptor, answer] {
            loop_.unwatch(descriptor);
            close(descriptor);
            Vm &checked = vms_[index];
            const bool ready = answer->starts_with("HTTP/1.1 200");
            checked.misses = ready ? 0 : checked.misses + 1;
            checked.inRotation = ready || (checked.inRotation && checked.misses < 2);
        });
    }

    // Chooses among the VMs of the zone that are in rotation, or among all of the zone if fewer than half are.
    void routePacket(const std::string &zone, const std::string &packet)
    {
        std::size_t all = 0;
        std::size_t ready = 0;
        for (const Vm &vm : vms_) {
            all += vm.zone == zone ? 1 : 0;
            ready += vm.zone == zone && vm.inRotation ? 1 : 0;
        }
        const Vm *chosen = nullptr;
        std::uint64_t highest = 0;
        for (const Vm &vm : vms_) {
            if (vm.zone != zone || (!vm.inRotation && 2 * ready >= all)) {
                continue;
            }
            // The addresses and ports of both ends.
            const std::uint64_t rank = mix(mix(take<std::uint64_t>(packet, 10)) ^ mix(take<std::uint32_t>(packet, 18))
                                           ^ mix(0x9e3779b97f4a7c15ULL * vm.number));
            if (chosen == nullptr || rank > highest) {
                chosen = &vm;
                highest = rank;
            }
        }
        if (chosen != nullptr) {
            sendDatagram(fabric_, address(4, chosen->number, dataPort), packet);
        }
    }

    Options options_;
    Loop loop_;
    Record record_;
    std::uint32_t network_;
    int fabric_;
    Store store_;
    bool canRun_ = true;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::map<const Host *, std::string> states_;
    std::map<const Host *, std::uint64_t> sequences_;
    std::map<const Host *, Loop::Handler> afterBeat_;
    std::vector<std::unique_ptr<Consumer>> consumers_;
    std::vector<Vm> vms_;
    std::vector<Route> routes_;
};

/// Reads the command line of a case: PROGRAM TEMPLATE FOLDER RECORD TROUBLE.
inline Options readOptions(int argc, char **argv)
{
    if (argc != 6) {
        fprintf(stderr, "usage: %s PROGRAM TEMPLATE FOLDER RECORD TROUBLE\n", argv[0]);
        exit(2);
    }
    return { argv[1], argv[2], argv[3], argv[4], std::string(argv[5]) != "0" };
}

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

} // namespace review
