#include "config/keys.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <fstream>

namespace rattan::config {

class KeysTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(KeysTest);
    CPPUNIT_TEST(pageHasEveryKeyInOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    void pageHasEveryKeyInOrder()
    {
        std::ifstream file(std::string(RATTAN_SOURCE_DIR) + "/docs/CONFIG.md");
        std::vector<std::string> rows;
        for (std::string line; std::getline(file, line);) {
            if (line.rfind("| ", 0) == 0 && line.find("| `") != std::string::npos)
                rows.push_back(line);
        }
        CPPUNIT_ASSERT_EQUAL(allKeys().size(), rows.size());
        for (std::size_t i = 0; i < rows.size(); ++i) {
            const Key& key = allKeys()[i];
            const std::string_view section = key.section == Section::TopLevel ? "(top)" : nameOf(key.section);
            const std::string start = fmt::format("| {} | `{}` | ", section, key.name);
            CPPUNIT_ASSERT_EQUAL(start, rows[i].substr(0, start.size()));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(rows[i], key.required, rows[i].find(" | required | ") != std::string::npos);
            if (key.kind == ValueKind::Number && key.min != key.max)
                CPPUNIT_ASSERT_MESSAGE(rows[i], rows[i].find(fmt::format("| {} to {} |", key.min, key.max)) != std::string::npos);
            if (key.kind == ValueKind::Items)
                CPPUNIT_ASSERT_MESSAGE(rows[i], rows[i].find(fmt::format("| {} to {} items |", key.min, key.max)) != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeysTest);

} // namespace rattan::config
