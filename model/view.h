#pragma once

#include "model/catalogue.h"
#include "model/upstream.h"
#include "model/vm.h"

#include <cstdint>
#include <vector>

namespace boragelug
{

/// An upstream in a VM's view, with what this VM has learned of it.
struct UpstreamStatus
{
    Upstream upstream;
    /// When this VM first saw this incarnation as active; slow start counts from here.
    TimePoint activeSince;
    /// False while the host is ejected because of its outcomes.
    bool usable = true;
    /// Last report; ignored when old.
    LoadReport load;
};

/**
 * What one VM knows at one moment. Immutable once published: readers share it by pointer to const.
 *
 * Vectors are sorted: members by VM id, upstreams by service and then id, entries by address.
 */
struct View
{
    VmId self;
    Incarnation selfIncarnation;
    ZoneId selfZone;
    /// Grows by one with each published view of this VM.
    std::uint64_t generation = 0;
    TimePoint publishedAt;
    /// True while the VM can't confirm that the view is current: it is partitioned from its peers, other zones or the
    /// configuration service, or has not yet compared its version with peers after a start or a suspension.
    bool unconfirmed = false;
    Catalogue catalogue;
    std::vector<Member> members;
    std::vector<UpstreamStatus> upstreams;
};

} // namespace boragelug
