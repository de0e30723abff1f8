#pragma once

#include <string_view>

namespace boragelug
{

/// What an operator or caller changes to avoid a refusal or unknown outcome with this reason. Accepts the reason names
/// of requests and packets; a general advice for others. Thread-safe.
std::string_view refusalAdvice(std::string_view reason);

} // namespace boragelug
