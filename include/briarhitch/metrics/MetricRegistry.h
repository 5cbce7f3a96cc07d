#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace briarhitch {

/** Counters, gauges and latency distributions of one process, published as Prometheus text. */
class MetricRegistry {
public:
    MetricRegistry();
    ~MetricRegistry();

    /** Labels are written as in the text format, for example `kind="shed",tier="2"`. */
    void count(std::string_view name, std::string_view labels = {}, uint64_t increment = 1);
    void setGauge(std::string_view name, std::string_view labels, double value);
    /** Adds to a distribution that is published with its median, 95th and 99th percentile, sum and count. */
    void observe(std::string_view name, std::string_view labels, double value);
    [[nodiscard]] uint64_t counter(std::string_view name, std::string_view labels = {}) const;
    [[nodiscard]] std::string toPrometheusText() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}
