#include "standins/platform_standin.h"

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

namespace
{

// Loads each JSON file below @p folder as the value of its relative path: FOLDER/v1/index.json becomes /v1/index.
void loadFolder(boragelug::PlatformStandin &standin, const std::filesystem::path &folder)
{
    for (const auto &file : std::filesystem::recursive_directory_iterator(folder)) {
        if (file.path().extension() != ".json") {
            continue;
        }
        std::ifstream in(file.path());
        std::string body((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
        std::filesystem::path path = std::filesystem::relative(file.path(), folder);
        standin.set("/" + path.replace_extension().generic_string(), std::move(body));
    }
}

} // namespace

// Usage: platform_standin [folder [port]]. Prints the port on which it listens. PUT requests set values;
// POST /control/fault injects faults.
int main(int argc, char **argv)
{
    try {
        asio::io_context context;
        const auto port = static_cast<std::uint16_t>(argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 0);
        boragelug::PlatformStandin standin(context, port);
        if (argc > 1) {
            loadFolder(standin, argv[1]);
        }
        std::cout << standin.port() << std::endl;
        context.run();
    } catch (const std::exception &error) {
        std::cerr << "platform_standin: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
