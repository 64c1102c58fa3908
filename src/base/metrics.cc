#include "base/metrics.h"

#include <array>
#include <fmt/format.h>

namespace rattan {

namespace acc = boost::accumulators;

namespace {

    constexpr std::array<double, 3> quantileLevels { 0.5, 0.9, 0.99 };

    std::string escapeLabelValue(const std::string& value)
    {
        std::string text;
        for (const char c : value) {
            if (c == '\\' || c == '"')
                text += '\\';
            text += c == '\n' ? ' ' : c;
        }
        return text;
    }

    std::string formatLabels(const Labels& labels)
    {
        std::string text;
        for (const auto& [name, value] : labels)
            text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name, escapeLabelValue(value));
        return text;
    }

    std::string formatSample(const std::string& name, const std::string& labels, double value)
    {
        return labels.empty() ? fmt::format("{} {}\n", name, value) : fmt::format("{}{{{}}} {}\n", name, labels, value);
    }

} // namespace

void Metrics::count(const std::string& name, const Labels& labels, double increment)
{
    const std::lock_guard lock(this->mutex);
    const Key key { name, formatLabels(labels) };
    if (this->admitSeries(key, this->counters.contains(key)))
        this->counters[key] += increment;
}

void Metrics::set(const std::string& name, const Labels& labels, double value)
{
    const std::lock_guard lock(this->mutex);
    const Key key { name, formatLabels(labels) };
    if (this->admitSeries(key, this->gauges.contains(key)))
        this->gauges[key] = value;
}

void Metrics::observe(const std::string& name, const Labels& labels, double value)
{
    const std::lock_guard lock(this->mutex);
    const Key key { name, formatLabels(labels) };
    auto found = this->distributions.find(key);
    if (!this->admitSeries(key, found != this->distributions.end()))
        return;
    if (found == this->distributions.end())
        found = this->distributions.emplace(key, Quantiles(acc::extended_p_square_probabilities = quantileLevels)).first;
    found->second(value);
}

double Metrics::value(const std::string& name, const Labels& labels) const
{
    const std::lock_guard lock(this->mutex);
    const Key key { name, formatLabels(labels) };
    if (const auto found = this->counters.find(key); found != this->counters.end())
        return found->second;
    const auto gauge = this->gauges.find(key);
    return gauge == this->gauges.end() ? 0 : gauge->second;
}

std::string Metrics::prometheusText() const
{
    const std::lock_guard lock(this->mutex);
    std::string text;
    std::string previousName;
    const auto header = [&](const std::string& name, std::string_view type) {
        if (name != previousName)
            text += fmt::format("# TYPE {} {}\n", name, type);
        previousName = name;
    };
    for (const auto& [key, value] : this->counters) {
        header(key.first, "counter");
        text += formatSample(key.first, key.second, value);
    }
    for (const auto& [key, value] : this->gauges) {
        header(key.first, "gauge");
        text += formatSample(key.first, key.second, value);
    }
    for (const auto& [key, quantiles] : this->distributions) {
        header(key.first, "summary");
        for (const double level : quantileLevels) {
            const std::string labels = fmt::format("{}{}quantile=\"{}\"", key.second, key.second.empty() ? "" : ",", level);
            text += formatSample(key.first, labels, acc::quantile(quantiles, acc::quantile_probability = level));
        }
        text += formatSample(key.first + "_sum", key.second, acc::sum(quantiles));
        text += formatSample(key.first + "_count", key.second, static_cast<double>(acc::count(quantiles)));
    }
    text += fmt::format("# TYPE rattan_metrics_dropped_total counter\nrattan_metrics_dropped_total {}\n", this->dropped);
    return text;
}

bool Metrics::admitSeries(const Key&, bool exists)
{
    const std::size_t series = this->counters.size() + this->gauges.size() + this->distributions.size();
    if (exists || series < maxSeries)
        return true;
    ++this->dropped;
    return false;
}

} // namespace rattan
