#pragma once

#include "routing/packet_attributes.h"

#include <string_view>

namespace boragelug
{

/// Name of a reason for logs and metric labels. Thread-safe.
std::string_view refuseReasonName(RefuseReason reason);

} // namespace boragelug
