#include "programs/boragelugctl/commands.h"

#include <iostream>

int main(int argc, char **argv)
{
    const boragelug::CommandWords words(argv + (argc > 0 ? 1 : 0), argv + argc);
    return boragelug::runProgram(words, { std::cout, std::cerr });
}
