#include "programs/total_exporter.h"

namespace boragelug
{

void TotalExporter::add(const std::string &counter, std::uint64_t total, const MetricLabels &labels)
{
    std::uint64_t &last = exported_[{ counter, labels }];
    metrics_.add(counter, static_cast<double>(total - last), labels);
    last = total;
}

} // namespace boragelug
