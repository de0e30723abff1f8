#pragma once

#include "model/catalogue_diff.h"
#include "model/directory_record.h"

namespace boragelug
{

/**
 * Compares two catalogues of the directory, as VMs use them: of entries with the same address, the last one counts.
 *
 * Entries are matched by name, those without a unique name by address. Items are "entry", "service" (its slow start
 * only) and "flows" (the idle timeout). Sorted by item, name and address. Thread-safe.
 */
CatalogueDiff diffDirectoryCatalogues(const CatalogueRecord &before, const CatalogueRecord &after);

} // namespace boragelug
