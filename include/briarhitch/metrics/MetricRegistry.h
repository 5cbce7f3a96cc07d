#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace briarhitch {

/** Counters, gauges and latency histograms of one process, published as Prometheus text. */
class MetricRegistry {
public:
    MetricRegistry();
    ~MetricRegistry();

    /** Labels are written as in the text format, for example `kind="shed",tier="2"`. */
    void count(std::string_view name, std::string_view labels = {}, uint64_t increment = 1);
    void setGauge(std::string_view name, std::string_view labels, double value);
    /** Adds a time in seconds to a histogram with fixed buckets. */
    void observe(std::string_view name, std::string_view labels, double value);
    [[nodiscard]] uint64_t counter(std::string_view name, std::string_view labels = {}) const;
    [[nodiscard]] std::string toPrometheusText() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}
