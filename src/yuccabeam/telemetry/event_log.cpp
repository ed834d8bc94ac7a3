#include "yuccabeam/telemetry/event_log.hpp"

#include "yuccabeam/adapters/clock.hpp"
#include "yuccabeam/values/key_value_text.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>

namespace yuccabeam::telemetry {

namespace {

std::string time_text() {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    tm parts{};
    gmtime_r(&now.tv_sec, &parts);
    std::array<char, 40> text{};
    auto const size =
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + size, text.size() - size, ".%03ldZ",
                  now.tv_nsec / 1'000'000);
    return text.data();
}

} // namespace

event_log::event_log(event_log_options options) : options_(std::move(options)) {
    auto const flags = fcntl(options_.descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(options_.descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool event_log::take(bucket& bucket, time_point now) const {
    if (bucket.filled == time_point{})
        bucket.tokens = options_.burst;
    else
        bucket.tokens = std::min(
            options_.burst, bucket.tokens + to_seconds(now - bucket.filled) *
                                                options_.per_second);
    bucket.filled = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

void event_log::write(std::string_view event, log_fields const& fields) {
    auto found = buckets_.find(event);
    if (found == buckets_.end())
        found = buckets_.emplace(std::string(event), bucket{}).first;
    auto& bucket = found->second;
    if (!take(bucket, adapters::boot_now())) {
        ++bucket.omitted;
        ++counters_.over_rate;
        return;
    }
    std::string line = "time=" + time_text() + " vm=" + options_.vm;
    line.append(" event=").append(event);
    for (auto const& [key, value] : fields)
        line.append(" ").append(key).append("=").append(quoted_value(value));
    if (bucket.omitted > 0)
        line.append(" omitted=").append(std::to_string(bucket.omitted));
    bucket.omitted = 0;
    emit(line + "\n");
}

bool event_log::flush() {
    if (partial_.empty())
        return true;
    auto const written =
        ::write(options_.descriptor, partial_.data(), partial_.size());
    if (written > 0)
        partial_.erase(0, static_cast<std::size_t>(written));
    return partial_.empty();
}

void event_log::emit(std::string line) {
    // A partially written line is completed first, as parts of two lines would
    // otherwise be joined into one.
    if (!flush()) {
        ++counters_.blocked;
        return;
    }
    auto const size = line.size();
    partial_ = std::move(line);
    flush();
    if (partial_.size() < size) {
        ++counters_.written;
        return;
    }
    partial_.clear();
    ++counters_.blocked;
}

} // namespace yuccabeam::telemetry
