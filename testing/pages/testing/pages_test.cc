#include "pages/pages.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <sstream>

namespace rattan::testing {

class PagesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PagesTest);
    CPPUNIT_TEST(eventsAreAsInTheCode);
    CPPUNIT_TEST(settingsAreAsInTheCode);
    CPPUNIT_TEST_SUITE_END();

    static std::string read(const std::string& path)
    {
        std::ifstream file(std::string(RATTAN_SOURCE_DIR) + "/" + path);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

public:
    void eventsAreAsInTheCode() { CPPUNIT_ASSERT_MESSAGE("run docs/update", read("docs/EVENTS.md") == eventsPage()); }

    void settingsAreAsInTheCode() { CPPUNIT_ASSERT_MESSAGE("run docs/update", read("docs/SETTINGS.md") == settingsPage()); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PagesTest);

} // namespace rattan::testing
