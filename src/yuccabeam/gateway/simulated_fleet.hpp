#pragma once

#include "yuccabeam/gateway/peer_link.hpp"
#include "yuccabeam/values/virtual_time.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Daemons whose links exchange real datagrams in virtual time, for tests and
/// benchmarks. No sockets, no threads.
namespace yuccabeam::gateway {

inline constexpr time_point simulation_start{std::chrono::seconds(1'000)};

inline std::string simulated_domain(std::size_t domain) {
    return std::string(1, static_cast<char>('a' + domain));
}

inline std::vector<discovered_target> simulated_targets(std::size_t count,
                                                        std::size_t domains) {
    std::vector<discovered_target> out;
    for (std::size_t i = 0; i < count; ++i) {
        discovered_target one;
        one.target = {{"t" + std::to_string(i)},
                      {"svc"},
                      {simulated_domain(i % domains)},
                      "127.0.0.1:1",
                      6,
                      330};
        one.started_ms = 1;
        out.push_back(one);
    }
    return out;
}

struct simulated_daemon {
    std::string address;
    std::size_t domain;
    placement::target_table table;
    std::unique_ptr<peer_link> link;
    bool runs = true;
    int changes = 0; ///< messages with changes of the store
    std::set<std::string> changed_keys;
    duration busy{}; ///< time in the handlers of its link

    simulated_daemon(std::size_t domain, std::size_t index)
        : address("10." + std::to_string(domain) + "." +
                  std::to_string(index / 200) + "." +
                  std::to_string(index % 200 + 10) + ":7"),
          domain(domain), table({simulated_domain(domain)}, index) {}
};

class simulated_fleet {
public:
    simulated_fleet(std::size_t domains, std::size_t per_domain,
                    std::size_t targets)
        : domains_(domains) {
        auto const listed = simulated_targets(targets, domains);
        for (std::size_t d = 0; d < domains; ++d)
            for (std::size_t i = 0; i < per_domain; ++i) {
                daemons_.push_back(std::make_unique<simulated_daemon>(d, i));
                daemons_.back()->table.replace(listed, now());
                by_address_[daemons_.back()->address] = daemons_.back().get();
            }
        for (auto& one : daemons_) {
            one->link = std::make_unique<peer_link>(
                options_of(*one), one->table, callbacks(*one));
            for (auto const& other : daemons_)
                one->link->table().add_address(other->address, now());
            tick(*one);
        }
    }

    void run_for(duration length) { time_.run_until(now() + length); }
    void after(duration delay, std::function<void()> run) {
        time_.after(delay, std::move(run));
    }
    time_point now() const { return time_.now(); }
    std::size_t size() const { return daemons_.size(); }
    simulated_daemon& at(std::size_t index) { return *daemons_[index]; }

    /// Datagrams between these daemons are lost, in this direction.
    void cut(std::string const& from, std::string const& to) {
        cut_.insert({from, to});
    }

    /// The relay of a failure domain without a relay of its own, if any.
    simulated_daemon* root_of(std::size_t domain) {
        for (auto& one : daemons_)
            if (one->runs && one->domain == domain &&
                !one->link->relays().relay())
                return one.get();
        return nullptr;
    }

    std::uint64_t sent_by(std::size_t index) const {
        std::uint64_t out = 0;
        for (auto const count : daemons_[index]->link->counters().sent)
            out += count;
        return out;
    }
    std::uint64_t sent() const {
        std::uint64_t out = 0;
        for (std::size_t i = 0; i < daemons_.size(); ++i)
            out += sent_by(i);
        return out;
    }
    std::uint64_t sent_bytes() const { return sent_bytes_; }
    /// Datagrams that were too long or that their receiver rejected.
    std::uint64_t bad_datagrams() const { return bad_datagrams_; }

private:
    static constexpr duration tick_period = std::chrono::milliseconds(50);
    static constexpr duration link_delay = std::chrono::milliseconds(3);

    peer_link_options options_of(simulated_daemon const& one) const {
        peer_link_options out;
        out.address = one.address;
        out.failure_domain = {simulated_domain(one.domain)};
        out.failure_domains = domains_;
        out.incarnation = 1;
        out.processor_percent = 10;
        return out;
    }

    peer_link_callbacks callbacks(simulated_daemon& one) {
        peer_link_callbacks out;
        out.send = [this, &one](std::vector<std::uint8_t> const& bytes,
                                std::vector<std::string> const& addresses) {
            auto const shared =
                std::make_shared<std::vector<std::uint8_t> const>(bytes);
            for (auto const& to : addresses)
                deliver(one.address, to, shared);
        };
        out.fill_heartbeat = [](heartbeat&) {};
        out.on_heartbeat = [](heartbeat const&, bool) {};
        out.on_changes = [&one](change_message const& message) {
            for (auto const& event : message.changes.events)
                one.changed_keys.insert(event.item.key);
            return ++one.changes == 1;
        };
        out.on_rejected = [this](codec::message_fault) { ++bad_datagrams_; };
        return out;
    }

    void
    deliver(std::string const& from, std::string const& to,
            std::shared_ptr<std::vector<std::uint8_t> const> const& bytes) {
        sent_bytes_ += bytes->size();
        bad_datagrams_ += bytes->size() > max_datagram_bytes;
        auto const found = by_address_.find(to);
        if (found == by_address_.end() || cut_.contains({from, to}))
            return;
        time_.after(link_delay, [this, &receiver = *found->second, bytes] {
            run_in(receiver, [&] { receiver.link->receive(*bytes, now()); });
        });
    }

    void tick(simulated_daemon& one) {
        run_in(one, [&] { one.link->tick(now()); });
        time_.after(tick_period, [this, &one] { tick(one); });
    }

    template <class Run>
    void run_in(simulated_daemon& one, Run run) {
        if (!one.runs)
            return;
        auto const before = std::chrono::steady_clock::now();
        run();
        one.busy += std::chrono::steady_clock::now() - before;
    }

    std::size_t domains_;
    virtual_time time_{simulation_start};
    std::vector<std::unique_ptr<simulated_daemon>> daemons_;
    std::map<std::string, simulated_daemon*> by_address_;
    std::set<std::pair<std::string, std::string>> cut_;
    std::uint64_t sent_bytes_ = 0;
    std::uint64_t bad_datagrams_ = 0;
};

} // namespace yuccabeam::gateway
