#pragma once

// Orders to workers, at most a few at once to each: ten starts for one worker go
// over the connections that are there, one after the other, instead of opening
// ten. A worker that does not answer holds up only its own lane.

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace rattan::delivery {

class OrderLanes {
public:
    // Sends the order; done() has to be called once it was answered.
    using Order = std::function<void()>;

    explicit OrderLanes(std::size_t width)
        : width(width)
    {
    }

    void add(const std::string& worker, Order order)
    {
        Lane& lane = this->lanes[worker];
        lane.waiting.push_back(std::move(order));
        this->move(lane);
    }

    void done(const std::string& worker)
    {
        Lane& lane = this->lanes[worker];
        --lane.underWay;
        this->move(lane);
    }

private:
    struct Lane {
        std::size_t underWay { 0 };
        std::deque<Order> waiting;
    };

    void move(Lane& lane)
    {
        while (lane.underWay < this->width && !lane.waiting.empty()) {
            const Order order = std::move(lane.waiting.front());
            lane.waiting.pop_front();
            ++lane.underWay;
            order();
        }
    }

    const std::size_t width;
    std::map<std::string, Lane> lanes;
};

} // namespace rattan::delivery
