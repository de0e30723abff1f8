#pragma once

#include "routing/packet_facts.h"

#include <string_view>

namespace boragelug
{

/// Name of @p reason in logs and metric labels. Thread-safe.
std::string_view refuseReasonName(RefuseReason reason);

} // namespace boragelug
