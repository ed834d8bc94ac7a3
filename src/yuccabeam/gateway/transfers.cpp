#include "yuccabeam/gateway/transfers.hpp"

#include "yuccabeam/adapters/clock.hpp"

#include <algorithm>
#include <utility>

namespace yuccabeam::gateway {

transfers::~transfers() {
    end([](auto const&) { return true; });
}

void transfers::start(transfer_source source, http1::client_request request,
                      http1::client::handler handler) {
    auto const one = std::make_shared<transfer>(
        transfer{std::move(source), transfer_pace(pace_)});
    running_.push_back(one);
    request.on_progress = [weak = std::weak_ptr(one)](std::uint64_t bytes) {
        if (auto const self = weak.lock())
            self->pace.on_bytes(bytes, adapters::boot_now());
    };
    one->call = client_.start(
        std::move(request),
        [this, one, handler = std::move(handler)](http1::client_result result) {
            std::erase(running_, one);
            handler(std::move(result));
        });
}

std::vector<slow_transfer> transfers::measure(time_point now) {
    std::vector<slow_transfer> out;
    for (auto const& one : running_) {
        bool const before = one->pace.slow();
        one->pace.measure(now);
        if (one->pace.slow() && !before)
            out.push_back({one->source, one->pace.bytes()});
    }
    return out;
}

bool transfers::arriving() const {
    return std::ranges::any_of(running_, [](auto const& one) {
        return one->pace.begun() && !one->pace.slow();
    });
}

bool transfers::store_slow() const {
    return std::ranges::any_of(running_, [](auto const& one) {
        return one->source.call && one->pace.slow();
    });
}

std::size_t transfers::pulls() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        running_, [](auto const& one) { return !one->source.call; }));
}

std::size_t transfers::slow_pulls() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(running_, [](auto const& one) {
            return !one->source.call && one->pace.slow();
        }));
}

template <class Selected>
std::vector<transfer_source> transfers::end(Selected selected) {
    std::vector<transfer_source> out;
    std::erase_if(running_, [&](auto const& one) {
        if (!selected(*one))
            return false;
        http1::client::cancel(one->call.lock());
        out.push_back(one->source);
        return true;
    });
    return out;
}

void transfers::end_slow_pulls() {
    end([](transfer const& one) {
        return !one.source.call && one.pace.slow();
    });
}

std::vector<store_call> transfers::end_slow_calls() {
    std::vector<store_call> out;
    for (auto const& source : end([](transfer const& one) {
             return one.source.call && one.pace.slow();
         }))
        out.push_back(*source.call);
    return out;
}

} // namespace yuccabeam::gateway
