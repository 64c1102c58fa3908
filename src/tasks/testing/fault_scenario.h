#pragma once

// A day on which one fault follows the other, on a site of several hundred workers with a
// planner that has its turn rarely. At its end traffic stops, and nothing is wrong any more.
//
//     BusyDay day({ .seed = 7, .turnGap = 250 });
//     day.play();
//     ... day.site.broken

#include "tasks/testing/virtual_site.h"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace rattan::tasks::testing {

class BusyDay {
public:
    struct Options {
        std::uint64_t seed { 1 };
        int workers { 200 };
        Millis turnGap { 250 };
        Millis roundTime { 0 };
        bool pollsBetweenTurns { true };
        Millis until { 58000 };
        double load { 0.5 }; // Of all accelerators, by jobs as they come without the burst.
    };

    explicit BusyDay(Options);

    void play();

    VirtualSite site;

private:
    void schedule();
    void each(Millis from, Millis until, int times, const std::function<void(int)>& event);
    void scheduleFaults();
    void arrive();
    void submitPatient(int number);
    Job jobOf(std::int64_t priority);
    Millis below(Millis bound) { return static_cast<Millis>(this->random() % static_cast<std::uint64_t>(bound)); }
    std::string worker(int number) const;
    void another();

    Options options;
    std::mt19937_64 random;
    std::multimap<Millis, std::function<void()>> events;
    std::uint64_t jobs { 0 };
    std::vector<std::string> mayGiveUp;
};

} // namespace rattan::tasks::testing
