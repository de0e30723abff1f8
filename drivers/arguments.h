#pragma once

#include "model/endpoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace boragelug
{

/// Command-line options in the form "--name value"; a name may be given several times.
class Arguments
{
public:
    /// Throws std::invalid_argument on anything else, or on a name that isn't in @p known.
    Arguments(int argc, const char *const *argv, const std::vector<std::string> &known);

    /// The last value of @p name, or @p fallback. Thread-safe, like the other getters.
    std::string text(const std::string &name, const std::string &fallback = {}) const;
    /// All values of @p name.
    std::vector<std::string> all(const std::string &name) const;
    /// The last value of @p name; throws std::invalid_argument if it is missing.
    std::string required(const std::string &name) const;
    /// A number; throws std::invalid_argument if the value isn't one.
    std::uint64_t number(const std::string &name, std::uint64_t fallback) const;
    /// A number from 0 to 1; throws std::invalid_argument if the value isn't one.
    double probability(const std::string &name) const;
    /// An endpoint; throws std::invalid_argument if the value isn't one.
    Endpoint endpoint(const std::string &name, const Endpoint &fallback) const;

private:
    std::map<std::string, std::vector<std::string>> values_;
};

/// Writes @p text to @p path by way of a rename, so that readers never see a part. Throws std::runtime_error if that
/// fails. Thread-safe.
void replaceFile(const std::string &path, const std::string &text);

} // namespace boragelug
