// Prints a reference page: rattan-pages events|settings.

#include "pages/pages.h"

#include <cstdio>
#include <fmt/core.h>
#include <string_view>

int main(int argc, char** argv)
{
    const std::string_view page = argc == 2 ? argv[1] : "";
    if (page != "events" && page != "settings") {
        fmt::print(stderr, "usage: rattan-pages events|settings\n");
        return 2;
    }
    fmt::print("{}", page == "events" ? rattan::testing::eventsPage() : rattan::testing::settingsPage());
    return 0;
}
