#pragma once

#include "core/outcome.h"
#include "model/catalogue.h"
#include "model/platform_message.h"
#include "model/upstream.h"
#include "model/vm.h"

#include <string>
#include <vector>

namespace boragelug
{

/// Everything that a platform says, at one version.
struct ViewFile
{
    Catalogue catalogue;
    std::vector<Upstream> upstreams;
    std::vector<Vm> vms;
};

/// Parses one JSON object with a "version" and the items of docs/platform.md under "zones", "services", "entries",
/// "upstreams" and "vms". The reason of a failure names what is wrong. Thread-safe.
Outcome<ViewFile, std::string> parseViewFile(const std::string &text);

/// Reads and parses the file at @p path. Thread-safe.
Outcome<ViewFile, std::string> loadViewFile(const std::string &path);

/// JSON form of a VM, as the "vms" of a view file hold it. Thread-safe.
std::string toJson(const Vm &vm);

/// JSON form of an upstream, as the "upstreams" of a view file hold it. Thread-safe.
std::string toJson(const Upstream &upstream);

} // namespace boragelug
