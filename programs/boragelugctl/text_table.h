#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace boragelug
{

/// Lines of text cells that are printed in aligned columns.
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> header) { rows_.push_back(std::move(header)); }

    void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

    /// The first column is aligned left, all others right.
    void print(std::ostream &out) const;

private:
    std::vector<std::vector<std::string>> rows_;
};

/// @p value with @p decimals digits after the point. Thread-safe.
std::string decimalText(double value, int decimals);

} // namespace boragelug
