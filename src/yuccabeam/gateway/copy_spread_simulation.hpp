#pragma once

#include "yuccabeam/gateway/copy_sharing.hpp"
#include "yuccabeam/http1/client.hpp"
#include "yuccabeam/values/time.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace yuccabeam::gateway {

/// A configuration that spreads through a fleet.
struct copy_spread {
    std::size_t daemons = 36;
    std::size_t domains = 3;
    /// Part of each link that callers leave. Both directions share it.
    double free_share = 0.6;
    /// Speed of the links without callers, in bytes per second, in turn by the
    /// number of the daemon.
    std::vector<double> links = {1.25e6};
    double stored_bytes = 843e3; ///< as the store sends it
    double copied_bytes = 40e3;  ///< as daemons send it
    /// Time for which a daemon does nothing else while it applies it.
    duration apply_time = std::chrono::milliseconds(300);
    copy_sharing_options sharing = {.link_bytes_per_s = 1.25e6};
    /// Of the links of the daemons that read from the store.
    std::optional<double> watcher_link{};
    /// After this time a transfer ends and begins at the first byte again.
    duration transfer_limit = http1::progress_limits{}.whole;
};

/// Simulates the spread with the classes that decide on it. One daemon of each
/// failure domain reads from the store and tells its domain; the others pull.
class copy_spread_simulation {
public:
    explicit copy_spread_simulation(copy_spread const& options,
                                    std::uint64_t seed)
        : options_(options), random_(seed) {
        for (std::size_t d = 0; d < options.daemons; ++d) {
            daemon one;
            one.domain = d % options.domains;
            one.sharing = copy_sharing(options.sharing);
            one.next_tick = now_ + random_delay(tick_period);
            daemons_.push_back(std::move(one));
        }
        for (std::size_t d = 0; d < options.domains; ++d)
            transfers_.push_back({store, d, options.stored_bytes, now_});
    }

    /// Time until all daemons have applied it, or `limit`.
    duration run(duration limit) {
        auto const start = now_;
        while (now_ - start < limit) {
            now_ += step;
            move_bytes();
            std::size_t current = 0;
            for (std::size_t d = 0; d < daemons_.size(); ++d) {
                tick(d);
                current += is_current(d);
            }
            if (current == daemons_.size())
                break;
        }
        return now_ - start;
    }

private:
    static constexpr duration step = std::chrono::milliseconds(5);
    static constexpr duration tick_period = std::chrono::milliseconds(50);
    static constexpr duration round_trip = std::chrono::milliseconds(10);
    static constexpr std::size_t store = ~std::size_t{0};

    struct daemon {
        std::size_t domain = 0;
        bool receiving = false;
        time_point received_at = time_point::max();
        time_point next_tick{};
        std::size_t asked = store; ///< a peer that has not answered yet
        copy_sharing sharing;
        pull_sources sources;
    };

    struct transfer {
        std::size_t from;
        std::size_t to;
        double bytes; ///< still to be moved
        time_point started;
    };

    duration random_delay(duration longest) {
        return step * static_cast<int>(random_() % (longest / step + 1));
    }

    bool is_current(std::size_t d) const {
        auto const& at = daemons_[d].received_at;
        return at != time_point::max() && now_ >= at + options_.apply_time;
    }

    bool is_applying(std::size_t d) const {
        return daemons_[d].received_at != time_point::max() && !is_current(d);
    }

    bool is_watcher(std::size_t d) const { return d < options_.domains; }

    double link_of(std::size_t d) const {
        if (options_.watcher_link && is_watcher(d))
            return *options_.watcher_link;
        return options_.links[d % options_.links.size()];
    }

    double free_link_of(std::size_t d) const {
        return link_of(d) * options_.free_share;
    }

    void move_bytes() {
        std::vector<double> part(daemons_.size(), 0);
        for (auto const& one : transfers_) {
            ++part[one.to];
            if (one.from != store)
                ++part[one.from];
        }
        for (auto& one : transfers_) {
            auto const sharers =
                std::max(part[one.to], one.from == store ? 1 : part[one.from]);
            one.bytes -= free_link_of(one.to) / sharers * to_seconds(step);
            if (one.bytes <= 0) {
                daemons_[one.to].receiving = false;
                daemons_[one.to].received_at = now_;
            } else if (now_ - one.started >= options_.transfer_limit) {
                restart(one);
            }
        }
        std::erase_if(transfers_,
                      [](auto const& one) { return one.bytes <= 0; });
    }

    void restart(transfer& one) {
        if (one.from == store) {
            one.bytes = options_.stored_bytes;
            one.started = now_;
            return;
        }
        one.bytes = 0;
        auto& receiver = daemons_[one.to];
        receiver.receiving = false;
        receiver.sources.on_failed(std::to_string(one.from), now_);
    }

    void tick(std::size_t d) {
        auto& self = daemons_[d];
        if (is_watcher(d) || self.receiving || now_ < self.next_tick ||
            self.received_at != time_point::max())
            return;
        self.next_tick = now_ + tick_period + random_delay(tick_period);
        // The watcher of the domain has announced its revision.
        if (auto const asked = std::exchange(self.asked, store);
            asked != store) {
            ask(d, asked);
            return;
        }
        std::vector<newer_copy> ahead;
        if (is_current(self.domain))
            ahead.push_back({std::to_string(self.domain), 1});
        auto const source = self.sources.choose(ahead, random_(), now_);
        if (!source.empty())
            ask(d, std::stoul(source));
    }

    void ask(std::size_t d, std::size_t source) {
        auto& self = daemons_[d];
        auto& giver = daemons_[source];
        // It answers after it has applied the configuration.
        if (is_applying(source)) {
            self.next_tick = giver.received_at + options_.apply_time;
            self.asked = source;
            return;
        }
        // A peer that was named may still be receiving.
        if (!is_current(source)) {
            self.sources.on_busy(std::to_string(source), {}, now_);
        } else if (giver.sharing.admit(
                       std::to_string(d), 1,
                       static_cast<std::size_t>(options_.copied_bytes), now_)) {
            self.receiving = true;
            transfers_.push_back({source, d,
                                  options_.copied_bytes +
                                      free_link_of(d) * to_seconds(round_trip),
                                  now_});
        } else {
            self.sources.on_busy(std::to_string(source),
                                 giver.sharing.referrals(), now_);
        }
    }

    copy_spread const& options_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::seconds(1'000)};
    std::vector<daemon> daemons_;
    std::vector<transfer> transfers_;
};

} // namespace yuccabeam::gateway
