#pragma once

// An aligned table.
//
//     Table table({ { "domain" }, { "used", Align::Right } });
//     table.add({ "sapporo", "112" });
//     for (const std::string& line : table.lines())
//         console.line(line);
//
// Widths count characters of UTF-8, not bytes.

#include <string>
#include <vector>

namespace rattan::ctl {

enum class Align {
    Left,
    Right,
};

struct Column {
    std::string title;
    Align align { Align::Left };
};

class Table {
public:
    explicit Table(std::vector<Column> columns);

    // One cell for each column.
    void add(std::vector<std::string> cells);
    bool empty() const { return this->rows.empty(); }

    // The titles and a line for each row.
    std::vector<std::string> lines() const;

private:
    std::string format(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths) const;

    std::vector<Column> columns;
    std::vector<std::vector<std::string>> rows;
};

} // namespace rattan::ctl
