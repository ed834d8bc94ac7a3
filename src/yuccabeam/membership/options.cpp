#include "yuccabeam/membership/options.hpp"

namespace yuccabeam::membership {

namespace {

duration milliseconds_or(json_reader& reader, char const* name,
                         duration fallback, integer_range range) {
    return std::chrono::milliseconds(
        reader.integer_or(name, to_milliseconds(fallback), range));
}

std::uint32_t count_or(json_reader& reader, char const* name,
                       std::uint32_t fallback, integer_range range) {
    return static_cast<std::uint32_t>(reader.integer_or(name, fallback, range));
}

} // namespace

options parse_options(json_reader& reader) {
    options out;
    constexpr std::int64_t hour_ms = 3'600'000;
    out.probe_period = milliseconds_or(reader, "probe_period_ms",
                                       out.probe_period, {10, 60'000});
    out.probe_timeout = milliseconds_or(reader, "probe_timeout_ms",
                                        out.probe_timeout, {1, 60'000});
    out.dead_probe_period = milliseconds_or(
        reader, "dead_probe_period_ms", out.dead_probe_period, {10, hour_ms});
    out.forget_after = milliseconds_or(reader, "forget_after_ms",
                                       out.forget_after, {1000, 24 * hour_ms});
    out.indirect_probes =
        count_or(reader, "indirect_probes", out.indirect_probes, {0, 16});
    out.suspicion_factor =
        count_or(reader, "suspicion_factor", out.suspicion_factor, {1, 100});
    if (2 * out.probe_timeout > out.probe_period)
        reader.add_fault("probe_timeout_ms", "at most half of probe_period_ms",
                         std::to_string(to_milliseconds(out.probe_timeout)));
    return out;
}

} // namespace yuccabeam::membership
