#include "drivers/arguments.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <stdexcept>

namespace boragelug
{

Arguments::Arguments(int argc, const char *const *argv, const std::vector<std::string> &known)
{
    for (int i = 1; i < argc; i += 2) {
        const std::string option = argv[i];
        const std::string name = option.starts_with("--") ? option.substr(2) : std::string();
        if (std::find(known.begin(), known.end(), name) == known.end()) {
            throw std::invalid_argument("unknown option " + option);
        }
        if (i + 1 >= argc) {
            throw std::invalid_argument("option " + option + " needs a value");
        }
        values_[name].emplace_back(argv[i + 1]);
    }
}

std::string Arguments::text(const std::string &name, const std::string &fallback) const
{
    const auto found = values_.find(name);
    return found != values_.end() ? found->second.back() : fallback;
}

std::vector<std::string> Arguments::all(const std::string &name) const
{
    const auto found = values_.find(name);
    return found != values_.end() ? found->second : std::vector<std::string> {};
}

std::string Arguments::required(const std::string &name) const
{
    if (!values_.contains(name)) {
        throw std::invalid_argument("option --" + name + " is missing");
    }
    return text(name);
}

std::uint64_t Arguments::number(const std::string &name, std::uint64_t fallback) const
{
    if (!values_.contains(name)) {
        return fallback;
    }
    const std::string value = text(name);
    std::uint64_t number = 0;
    const auto result = std::from_chars(value.data(), value.data() + value.size(), number);
    if (result.ec != std::errc() || result.ptr != value.data() + value.size()) {
        throw std::invalid_argument("option --" + name + " needs a whole number");
    }
    return number;
}

double Arguments::probability(const std::string &name) const
{
    const std::string value = text(name, "0");
    double number = 0;
    const auto result = std::from_chars(value.data(), value.data() + value.size(), number);
    if (result.ec != std::errc() || result.ptr != value.data() + value.size() || !(number >= 0 && number <= 1)) {
        throw std::invalid_argument("option --" + name + " needs a number from 0 to 1");
    }
    return number;
}

Endpoint Arguments::endpoint(const std::string &name, const Endpoint &fallback) const
{
    if (!values_.contains(name)) {
        return fallback;
    }
    const auto endpoint = parseEndpoint(text(name));
    if (!endpoint) {
        throw std::invalid_argument("option --" + name + " needs an address and a port, such as 127.0.0.1:0");
    }
    return *endpoint;
}

void replaceFile(const std::string &path, const std::string &text)
{
    const std::string temporary = path + ".new";
    std::ofstream file(temporary, std::ios::trunc);
    file << text;
    file.close();
    if (!file || std::rename(temporary.c_str(), path.c_str()) != 0) {
        throw std::runtime_error("can't write " + path);
    }
}

} // namespace boragelug
