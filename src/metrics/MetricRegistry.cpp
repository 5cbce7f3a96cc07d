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

    // Upper bounds in seconds: from one hop between processes to the longest deadline, with bounds at the usual
    // objectives.
    constexpr std::array bucketBounds { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1.0, 2.0, 4.0, 8.0, 15.0, 30.0 };

    struct Histogram {
        std::array<uint64_t, bucketBounds.size()> counts {};
        Totals totals;

        void add(double value)
        {
            auto bucket = std::lower_bound(bucketBounds.begin(), bucketBounds.end(), value);
            if (bucket != bucketBounds.end())
                ++counts.at(static_cast<size_t>(bucket - bucketBounds.begin()));
            totals(value);
        }
    };

    std::string series(const std::string& name, const std::string& labels)
    {
        return labels.empty() ? name : name + "{" + labels + "}";
    }

    std::string withBucketBound(const std::string& labels, const std::string& bound)
    {
        return labels + (labels.empty() ? "" : ",") + "le=\"" + bound + "\"";
    }

    void writeHeader(std::ostream& text, const std::string& name, std::string_view type)
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
    static T& findOrCreate(Family<T>& family, std::string_view name, std::string_view labels)
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
    Impl::findOrCreate(impl_->counters, name, labels) += increment;
}

void MetricRegistry::setGauge(std::string_view name, std::string_view labels, double value)
{
    Impl::findOrCreate(impl_->gauges, name, labels) = value;
}

void MetricRegistry::observe(std::string_view name, std::string_view labels, double value)
{
    Impl::findOrCreate(impl_->histograms, name, labels).add(value);
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
    // Rates are computed from differences of sums, which the default of six digits would round away.
    constexpr int exactDigits = 15;
    std::ostringstream text;
    text.precision(exactDigits);
    for (const auto& [name, byLabels] : impl_->counters) {
        writeHeader(text, name, "counter");
        for (const auto& [labels, value] : byLabels)
            text << series(name, labels) << ' ' << value << '\n';
    }
    for (const auto& [name, byLabels] : impl_->gauges) {
        writeHeader(text, name, "gauge");
        for (const auto& [labels, value] : byLabels)
            text << series(name, labels) << ' ' << value << '\n';
    }
    for (const auto& [name, byLabels] : impl_->histograms) {
        writeHeader(text, name, "histogram");
        for (const auto& [labels, histogram] : byLabels) {
            uint64_t cumulativeCount = 0;
            for (size_t i = 0; i < bucketBounds.size(); ++i) {
                std::ostringstream bound;
                bound << bucketBounds.at(i);
                cumulativeCount += histogram.counts.at(i);
                text << series(name + "_bucket", withBucketBound(labels, bound.str())) << ' ' << cumulativeCount << '\n';
            }
            text << series(name + "_bucket", withBucketBound(labels, "+Inf")) << ' ' << acc::count(histogram.totals) << '\n';
            text << series(name + "_sum", labels) << ' ' << acc::sum(histogram.totals) << '\n';
            text << series(name + "_count", labels) << ' ' << acc::count(histogram.totals) << '\n';
        }
    }
    return text.str();
}

}
