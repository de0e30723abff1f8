#pragma once

#include "core/outcome.h"
#include "model/problem.h"

#include <array>
#include <cstddef>
#include <string>

namespace boragelug
{

/// Key shared by the fleet for the HMACs of peer messages and request ids. Never log or print it.
struct FleetKey
{
    std::array<std::byte, 32> bytes {};
};

/**
 * Reads a key: 64 hexadecimal digits, optionally followed by one line end.
 *
 * Refuses a file whose mode isn't exactly 0600, that another user owns, or that isn't a regular file. The check is
 * made on the open file, so that the file can't be exchanged after it. Problems never contain key material.
 * Thread-safe.
 */
Outcome<FleetKey, Problem> loadKey(const std::string &path);

} // namespace boragelug
