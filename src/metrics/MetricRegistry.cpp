#include "briarhitch/metrics/MetricRegistry.h"

#include "metrics/MetricHelp.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <sstream>

namespace briarhitch {

namespace {

    namespace acc = boost::accumulators;
    using Totals = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;

    // Upper bounds in seconds: from a hop between processes to the longest deadline, and at the usual objectives.
    constexpr std::array bounds { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1.0, 2.0, 4.0, 8.0, 15.0, 30.0 };

    struct Histogram {
        std::array<uint64_t, bounds.size()> counts {};
        Totals totals;

        void add(double value)
        {
            auto bucket = std::lower_bound(bounds.begin(), bounds.end(), value);
            if (bucket != bounds.end())
                ++counts.at(static_cast<size_t>(bucket - bounds.begin()));
            totals(value);
        }
    };

    std::string series(const std::string& name, const std::string& labels)
    {
        return labels.empty() ? name : name + "{" + labels + "}";
    }

    std::string withBound(const std::string& labels, const std::string& bound)
    {
        return labels + (labels.empty() ? "" : ",") + "le=\"" + bound + "\"";
    }

    void writeHead(std::ostream& text, const std::string& name, std::string_view type)
    {
        if (auto help = metricHelp(name); !help.empty())
            text << "# HELP " << name << ' ' << help << '\n';
        text << "# TYPE " << name << ' ' << type << '\n';
    }

}

struct MetricRegistry::Impl {
    template <class T>
    using Family = std::map<std::string, std::map<std::string, T, std::less<>>, std::less<>>;

    Family<uint64_t> counters;
    Family<double> gauges;
    Family<Histogram> histograms;

    template <class T>
    static T& at(Family<T>& family, std::string_view name, std::string_view labels)
    {
        auto byName = family.find(name);
        if (byName == family.end())
            byName = family.try_emplace(std::string(name)).first;
        auto byLabels = byName->second.find(labels);
        if (byLabels == byName->second.end())
            byLabels = byName->second.try_emplace(std::string(labels)).first;
        return byLabels->second;
    }
};

MetricRegistry::MetricRegistry()
    : impl_(std::make_unique<Impl>())
{
}

MetricRegistry::~MetricRegistry() = default;

void MetricRegistry::count(std::string_view name, std::string_view labels, uint64_t increment)
{
    Impl::at(impl_->counters, name, labels) += increment;
}

void MetricRegistry::setGauge(std::string_view name, std::string_view labels, double value)
{
    Impl::at(impl_->gauges, name, labels) = value;
}

void MetricRegistry::observe(std::string_view name, std::string_view labels, double value)
{
    Impl::at(impl_->histograms, name, labels).add(value);
}

uint64_t MetricRegistry::counter(std::string_view name, std::string_view labels) const
{
    auto byName = impl_->counters.find(name);
    if (byName == impl_->counters.end())
        return 0;
    auto byLabels = byName->second.find(labels);
    return byLabels == byName->second.end() ? 0 : byLabels->second;
}

std::string MetricRegistry::toPrometheusText() const
{
    // Rates are differences of sums, which the default six digits would round away.
    constexpr int exactDigits = 15;
    std::ostringstream text;
    text.precision(exactDigits);
    for (const auto& [name, byLabels] : impl_->counters) {
        writeHead(text, name, "counter");
        for (const auto& [labels, value] : byLabels)
            text << series(name, labels) << ' ' << value << '\n';
    }
    for (const auto& [name, byLabels] : impl_->gauges) {
        writeHead(text, name, "gauge");
        for (const auto& [labels, value] : byLabels)
            text << series(name, labels) << ' ' << value << '\n';
    }
    for (const auto& [name, byLabels] : impl_->histograms) {
        writeHead(text, name, "histogram");
        for (const auto& [labels, histogram] : byLabels) {
            uint64_t upTo = 0;
            for (size_t i = 0; i < bounds.size(); ++i) {
                std::ostringstream bound;
                bound << bounds.at(i);
                upTo += histogram.counts.at(i);
                text << series(name + "_bucket", withBound(labels, bound.str())) << ' ' << upTo << '\n';
            }
            text << series(name + "_bucket", withBound(labels, "+Inf")) << ' ' << acc::count(histogram.totals) << '\n';
            text << series(name + "_sum", labels) << ' ' << acc::sum(histogram.totals) << '\n';
            text << series(name + "_count", labels) << ' ' << acc::count(histogram.totals) << '\n';
        }
    }
    return text.str();
}

}
