#include "drivers/arguments.h"
#include "drivers/file_platform.h"
#include "drivers/http_platform.h"
#include "drivers/prometheus_metrics.h"
#include "drivers/tcp_reachability_probe.h"
#include "drivers/tcp_relay_directory.h"
#include "drivers/tcp_relay_listener.h"
#include "drivers/yaml_settings.h"
#include "drivers/yaml_tagged_settings.h"
#include "platform/store_directory.h"
#include "platform/udp_flow_fabric.h"
#include "programs/entry_process.h"
#include "programs/fault_reporter.h"
#include "programs/tagged_process.h"

#include <array>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <getopt.h>
#include <sysexits.h>
#include <unistd.h>

namespace
{

using namespace boragelug;

/// Log lines that wait for a slow reader; more are dropped.
constexpr std::size_t maxWaitingLogBytes = 256UL * 1024;

/// Passes stderr to the log, which wants shared ownership of its stream.
std::shared_ptr<std::ostream> errorStream()
{
    return std::shared_ptr<std::ostream>(&std::cerr, [](std::ostream *) {});
}

/// For trials and tests on one machine: keeps the addresses of the settings, but not the ports.
void letKernelChoosePorts(Settings &settings)
{
    settings.packetEndpoint.port = Port { 0 };
    settings.peerEndpoint.port = Port { 0 };
    settings.adminEndpoint.port = Port { 0 };
}

/// A view file replaces the platform in trials without a configuration service.
std::unique_ptr<Platform> makePlatform(AsioRuntime &runtime, const Settings &settings, const std::string &viewFile)
{
    if (!viewFile.empty()) {
        return std::make_unique<FilePlatform>(runtime, viewFile);
    }
    HttpPlatformSettings http;
    http.servers = settings.platformEndpoints;
    return std::make_unique<HttpPlatform>(runtime.context(), http);
}

constexpr const char *helpText = R"(Usage: boragelugd --settings FILE [OPTION]...
Runs one entry VM: forwards flows and dispatches requests.

  -s, --settings=FILE    settings in YAML, see docs/OPERATIONS.md
  -t, --flow-tags        the fabric carries a flow tag: forward flows only, with the settings of that mode
  -c, --check            check settings and key file, then exit
  -h, --help             show this text
  -V, --version          show the version

For trials and tests on one machine:
      --ports=kernel     keep the addresses of the settings, but let the kernel choose the ports
      --ports-file=FILE  write the ports in use to FILE
      --view-file=FILE   read the view from FILE instead of the platform

SIGTERM drains and stops, a second one stops at once. SIGHUP reads log_level and drain_bound again.
Exit codes: 0 stopped or checked, 64 wrong usage, 66 settings not readable, 70 internal error, 78 wrong settings.
)";

/// The command line.
struct Options
{
    std::string settings;
    std::string viewFile;
    std::string portsFile;
    bool kernelPorts = false;
    bool check = false;
    bool flowTags = false;
    /// Set when the process has nothing more to do.
    std::optional<int> exitCode;
};

int usageError(const std::string &message)
{
    std::cerr << "boragelugd: " << message << "; try --help\n";
    return EX_USAGE;
}

void applyOption(int option, Options &options)
{
    switch (option) {
    case 's':
        options.settings = optarg;
        break;
    case 'c':
        options.check = true;
        break;
    case 't':
        options.flowTags = true;
        break;
    case 'h':
        std::cout << helpText;
        options.exitCode = EX_OK;
        break;
    case 'V':
        std::cout << "boragelugd " << BORAGELUG_VERSION << '\n';
        options.exitCode = EX_OK;
        break;
    case 'p':
        options.kernelPorts = true;
        if (std::string_view(optarg) != "kernel") {
            options.exitCode = usageError("--ports must be 'kernel'");
        }
        break;
    case 'f':
        options.portsFile = optarg;
        break;
    case 'v':
        options.viewFile = optarg;
        break;
    default:
        // getopt_long has already named the wrong option.
        options.exitCode = EX_USAGE;
    }
}

Options parseOptions(int argc, char **argv)
{
    static const std::array<option, 9> known { {
        { "settings", required_argument, nullptr, 's' },
        { "check", no_argument, nullptr, 'c' },
        { "flow-tags", no_argument, nullptr, 't' },
        { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, 'V' },
        { "ports", required_argument, nullptr, 'p' },
        { "ports-file", required_argument, nullptr, 'f' },
        { "view-file", required_argument, nullptr, 'v' },
        { nullptr, 0, nullptr, 0 },
    } };
    Options options;
    while (!options.exitCode) {
        const int option = getopt_long(argc, argv, "s:chtV", known.data(), nullptr);
        if (option < 0) {
            break;
        }
        applyOption(option, options);
    }
    if (!options.exitCode && optind < argc) {
        options.exitCode = usageError(std::string("unexpected argument '") + argv[optind] + "'");
    } else if (!options.exitCode && options.settings.empty()) {
        options.exitCode = usageError("--settings is missing");
    }
    return options;
}

int settingsError(const Problems &problems)
{
    for (const Problem &problem : problems) {
        std::cerr << "boragelugd: " << toString(problem) << '\n';
    }
    return EX_CONFIG;
}

int runTagged(const Options &options)
{
    const auto settings = loadTaggedSettings(options.settings);
    if (!settings) {
        return settingsError(settings.lastReason());
    }
    if (options.check) {
        std::cout << options.settings << ": settings are valid\n";
        return EX_OK;
    }
    AsioRuntime runtime;
    const Incarnation incarnation { runtime.clock().wallMicroseconds() };
    PrometheusMetrics metrics;
    LogBuffer logBuffer(STDOUT_FILENO, maxWaitingLogBytes);
    BoostLogSink log(std::make_shared<std::ostream>(&logBuffer), static_cast<EventSeverity>(settings->logLevel));
    EventRecorder events(vmNumber(settings->vm), incarnation, settings->eventRingEntries, runtime.clock(), &log);
    UdpFlowFabric fabric(runtime.context(), settings->packetEndpoint, metrics);
    StoreDirectory directory(runtime.context(), settings->directoryEndpoint);
    TcpReachabilityProbe probe(runtime.context(), runtime.clock());
    std::optional<TcpRelayDirectory> relays;
    std::optional<TcpRelayDirectory> startRelays;
    std::optional<TcpRelayListener> relayListener;
    if (settings->relayEndpoint) {
        relays.emplace(runtime.context(), *settings->relayEndpoint, settings->zone);
        startRelays.emplace(runtime.context(), *settings->relayEndpoint, settings->zone);
        relayListener.emplace(runtime.context(), *settings->relayEndpoint, metrics);
    }
    TaggedProcess process({ .runtime = runtime,
                            .fabric = fabric,
                            .probe = probe,
                            .directory = directory,
                            .relays = relays ? &*relays : nullptr,
                            .startRelays = startRelays ? &*startRelays : nullptr,
                            .relayListener = relayListener ? &*relayListener : nullptr,
                            .metrics = metrics,
                            .events = events,
                            .log = log,
                            .logBuffer = logBuffer },
                          *settings,
                          options.settings,
                          incarnation);
    FaultReporter faults(events, metrics, runtime.clock());
    runtime.onFault([&faults](std::string_view reason) { faults.report(reason); });
    process.start();
    runtime.run();
    return EX_OK;
}

int runDaemon(const Options &options)
{
    if (access(options.settings.c_str(), R_OK) != 0) {
        std::cerr << "boragelugd: " << options.settings << " is not readable\n";
        return EX_NOINPUT;
    }
    if (options.flowTags) {
        return runTagged(options);
    }
    auto settings = loadSettings(options.settings);
    if (!settings) {
        return settingsError(settings.lastReason());
    }
    const auto key = loadKey(settings->keyFile);
    if (!key) {
        std::cerr << "boragelugd: " << toString(key.lastReason()) << '\n';
        return EX_CONFIG;
    }
    if (options.check) {
        std::cout << options.settings << ": settings and key file are valid\n";
        return EX_OK;
    }
    if (options.kernelPorts) {
        letKernelChoosePorts(settings.value());
    }
    AsioRuntime runtime;
    const Incarnation incarnation { runtime.clock().wallMicroseconds() };
    PrometheusMetrics metrics;
    BoostLogSink log(errorStream(), static_cast<EventSeverity>(settings->logLevel));
    EventRecorder events(settings->vm, incarnation, settings->eventRingEntries, runtime.clock(), &log);
    const auto platform = makePlatform(runtime, *settings, options.viewFile);
    EntryProcess process(
        { .runtime = runtime, .platform = *platform, .metrics = metrics, .events = events, .log = log },
        *settings,
        options.settings,
        *key,
        incarnation);
    FaultReporter faults(events, metrics, runtime.clock());
    runtime.onFault([&faults](std::string_view reason) { faults.report(reason); });
    process.start();
    if (!options.portsFile.empty()) {
        replaceFile(options.portsFile, toJson(process.describe()) + "\n");
    }
    runtime.run();
    return EX_OK;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const Options options = parseOptions(argc, argv);
        return options.exitCode ? *options.exitCode : runDaemon(options);
    } catch (const std::exception &error) {
        std::cerr << "boragelugd: " << error.what() << '\n';
        return EX_SOFTWARE;
    }
}
