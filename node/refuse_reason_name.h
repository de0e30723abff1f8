#pragma once

#include "routing/packet_attributes.h"

#include <string_view>

namespace boragelug
{

/// Name of @p reason in logs and metric labels. Thread-safe.
std::string_view refuseReasonName(RefuseReason reason);

} // namespace boragelug
