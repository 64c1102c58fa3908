#include "ctl/table.h"

#include <algorithm>

namespace rattan::ctl {

namespace {

    std::size_t widthOf(const std::string& text)
    {
        constexpr unsigned char continuationMask = 0xc0;
        constexpr unsigned char continuation = 0x80;
        return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char c) { return (static_cast<unsigned char>(c) & continuationMask) != continuation; }));
    }

} // namespace

Table::Table(std::vector<Column> columns)
    : columns(std::move(columns))
{
}

void Table::add(std::vector<std::string> cells)
{
    cells.resize(this->columns.size());
    this->rows.push_back(std::move(cells));
}

std::vector<std::string> Table::lines() const
{
    std::vector<std::string> titles;
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < this->columns.size(); ++i) {
        titles.push_back(this->columns[i].title);
        std::size_t width = widthOf(titles.back());
        for (const auto& row : this->rows)
            width = std::max(width, widthOf(row[i]));
        widths.push_back(width);
    }
    std::vector<std::string> lines { this->format(titles, widths) };
    for (const auto& row : this->rows)
        lines.push_back(this->format(row, widths));
    return lines;
}

std::string Table::format(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths) const
{
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        const std::string padding(widths[i] - widthOf(cells[i]), ' ');
        line += i == 0 ? "" : "  ";
        line += this->columns[i].align == Align::Right ? padding + cells[i] : cells[i] + padding;
    }
    line.erase(line.find_last_not_of(' ') + 1);
    return line;
}

} // namespace rattan::ctl
