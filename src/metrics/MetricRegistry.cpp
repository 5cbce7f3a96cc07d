#include "briarhitch/metrics/MetricRegistry.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <sstream>

namespace briarhitch {

namespace {

    namespace acc = boost::accumulators;
    using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
    using Totals = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;

    constexpr double quantiles[] = { 0.5, 0.95, 0.99 };

    struct Distribution {
        // P-square keeps five markers for each quantile, so memory does not grow with the observations.
        Quantile estimates[3] {
            Quantile(acc::quantile_probability = quantiles[0]),
            Quantile(acc::quantile_probability = quantiles[1]),
            Quantile(acc::quantile_probability = quantiles[2]),
        };
        Totals totals;

        void add(double value)
        {
            for (auto& estimate : estimates)
                estimate(value);
            totals(value);
        }
    };

    std::string series(const std::string& name, const std::string& labels)
    {
        return labels.empty() ? name : name + "{" + labels + "}";
    }

    std::string withQuantile(const std::string& labels, double quantile)
    {
        std::ostringstream text;
        text << labels << (labels.empty() ? "" : ",") << "quantile=\"" << quantile << "\"";
        return text.str();
    }

}

struct MetricRegistry::Impl {
    template <class T>
    using Family = std::map<std::string, std::map<std::string, T, std::less<>>, std::less<>>;

    Family<uint64_t> counters;
    Family<double> gauges;
    Family<Distribution> distributions;

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
    Impl::at(impl_->distributions, name, labels).add(value);
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
    std::ostringstream text;
    for (const auto& [name, byLabels] : impl_->counters) {
        text << "# TYPE " << name << " counter\n";
        for (const auto& [labels, value] : byLabels)
            text << series(name, labels) << ' ' << value << '\n';
    }
    for (const auto& [name, byLabels] : impl_->gauges) {
        text << "# TYPE " << name << " gauge\n";
        for (const auto& [labels, value] : byLabels)
            text << series(name, labels) << ' ' << value << '\n';
    }
    for (const auto& [name, byLabels] : impl_->distributions) {
        text << "# TYPE " << name << " summary\n";
        for (const auto& [labels, distribution] : byLabels) {
            for (size_t i = 0; i < std::size(quantiles); ++i)
                text << series(name, withQuantile(labels, quantiles[i])) << ' ' << acc::p_square_quantile(distribution.estimates[i]) << '\n';
            text << series(name + "_sum", labels) << ' ' << acc::sum(distribution.totals) << '\n';
            text << series(name + "_count", labels) << ' ' << acc::count(distribution.totals) << '\n';
        }
    }
    return text.str();
}

}
