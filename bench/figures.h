#pragma once

// Figures of merit, from single runs to medians over seeds.

#include "simulation.h"

#include <map>
#include <string>
#include <vector>

namespace rattan::bench {

// The results of one workload and seed under the three policies.
struct Comparison {
    RunResult ours;
    RunResult firstFit;
    RunResult backfill;
};

struct Figure {
    std::string name;
    double value { 0 };
    std::string unit;
};

struct Summary {
    std::string name;
    std::string unit;
    double median { 0 };
    double least { 0 };
    double most { 0 };
    std::size_t seeds { 0 };
};

std::vector<Figure> figuresOf(const Workload&, const Comparison&);

// Groups figures of several seeds by name, in the order of the first.
std::vector<Summary> summarize(const std::vector<std::vector<Figure>>&);

// The value that a share of the others do not exceed; 0 of none.
double quantile(std::vector<double> values, double share);

} // namespace rattan::bench
