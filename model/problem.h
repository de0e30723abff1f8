#pragma once

#include <string>
#include <vector>

namespace boragelug
{

/// A mistake in a file that an operator wrote. Line and column count from 1; 0 is unknown.
struct Problem
{
    std::string file;
    int line = 0;
    int column = 0;
    /// Path of the value, such as "entries[3].service"; empty if the file as a whole is wrong.
    std::string key;
    /// What is wrong and what would be valid.
    std::string message;

    bool operator==(const Problem &) const = default;
};

using Problems = std::vector<Problem>;

/// Text form "file:line:column: key: message", without the parts that are unknown. Thread-safe.
std::string toString(const Problem &problem);

} // namespace boragelug
