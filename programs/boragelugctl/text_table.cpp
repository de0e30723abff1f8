#include "programs/boragelugctl/text_table.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace boragelug
{

void TextTable::print(std::ostream &out) const
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows_) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto &row : rows_) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            const std::string padding(widths[i] - row[i].size(), ' ');
            line += i == 0 ? row[i] + padding : "  " + padding + row[i];
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

std::string decimalText(double value, int decimals)
{
    std::array<char, 64> text {};
    std::snprintf(text.data(), text.size(), "%.*f", decimals, value);
    return text.data();
}

} // namespace boragelug
