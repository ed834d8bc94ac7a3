#include "yuccabeam/routing/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <xxhash.h>

namespace yuccabeam::routing {

namespace {

struct scored {
    std::uint64_t score = 0;
    failure_domain_id const* domain = nullptr;
    daemon_id const* daemon = nullptr;
};

// Ties are broken by id, so that all daemons compute the same order.
bool ranks_before(scored const& left, scored const& right) {
    return left.score != right.score ? left.score > right.score
                                     : *left.daemon < *right.daemon;
}

std::vector<placed_daemon> best_of_each_domain(std::string_view key,
                                               daemons_by_domain const& daemons,
                                               std::size_t per_failure_domain) {
    std::vector<scored> chosen;
    std::vector<scored> ranked;
    for (auto const& [domain, members] : daemons) {
        ranked.clear();
        for (auto const& daemon : members)
            ranked.push_back(
                {rendezvous_score(key, daemon.value), &domain, &daemon});
        auto const taken = static_cast<std::ptrdiff_t>(
            std::min(per_failure_domain, ranked.size()));
        std::partial_sort(ranked.begin(), ranked.begin() + taken, ranked.end(),
                          ranks_before);
        chosen.insert(chosen.end(), ranked.begin(), ranked.begin() + taken);
    }
    std::ranges::sort(chosen, ranks_before);
    std::vector<placed_daemon> out;
    out.reserve(chosen.size());
    for (auto const& entry : chosen)
        out.push_back({*entry.daemon, *entry.domain});
    return out;
}

std::size_t ceil_of(double value) {
    return static_cast<std::size_t>(std::ceil(value));
}

struct ranked_home {
    bool local = false;
    std::uint64_t score = 0;
    std::size_t index = 0;
};

// Assigns home daemons to targets. The order of the targets depends on the
// names of service and target alone, so that a new target affects only later
// ones for which a daemon has reached its bound.
class assignment {
public:
    assignment(service_id const& service, std::span<placed_daemon const> homes,
               std::size_t targets, std::size_t homes_per_target, double slack)
        : service_(&service), homes_(homes), per_target_(homes_per_target),
          load_(homes.size()) {
        auto const mean = static_cast<double>(targets * homes_per_target) /
                          static_cast<double>(homes.size());
        bound_ = std::max<std::size_t>(1, ceil_of(slack * mean));
    }

    /// Assigns home daemons to the target. Returns whether the daemon with
    /// index `self` is one of them.
    bool assign(placed_target const& target, std::size_t self) {
        rank(target);
        std::size_t taken = 0;
        bool self_taken = false;
        auto const take = [&](ranked_home const& home) {
            ++load_[home.index];
            ++taken;
            self_taken = self_taken || home.index == self;
        };
        skipped_.clear();
        for (auto const& home : ranking_) {
            if (taken == per_target_)
                return self_taken;
            if (load_[home.index] < bound_)
                take(home);
            else
                skipped_.push_back(home);
        }
        // Too few daemons are below the bound: the number of daemons per target
        // has priority over balance.
        for (auto const& home : skipped_) {
            if (taken == per_target_)
                break;
            take(home);
        }
        return self_taken;
    }

private:
    void rank(placed_target const& target) {
        ranking_.clear();
        key_.assign(service_->value).append("\n").append(target.id.value);
        for (std::size_t i = 0; i < homes_.size(); ++i)
            ranking_.push_back(
                {homes_[i].failure_domain == target.failure_domain,
                 rendezvous_score(key_, homes_[i].id.value), i});
        std::ranges::sort(ranking_, [&](auto const& l, auto const& r) {
            if (l.local != r.local)
                return l.local;
            return l.score != r.score ? l.score > r.score
                                      : homes_[l.index] < homes_[r.index];
        });
    }

    service_id const* service_;
    std::span<placed_daemon const> homes_;
    std::size_t per_target_;
    std::size_t bound_ = 1;
    std::vector<std::size_t> load_;
    std::vector<ranked_home> ranking_;
    std::vector<ranked_home> skipped_;
    std::string key_;
};

} // namespace

std::uint64_t rendezvous_score(std::string_view key, std::string_view node) {
    return XXH3_64bits_withSeed(node.data(), node.size(),
                                XXH3_64bits(key.data(), key.size()));
}

std::vector<placed_daemon> home_daemons(service_id const& service,
                                        daemons_by_domain const& daemons,
                                        home_options const& options) {
    std::size_t fleet = 0;
    for (auto const& [domain, members] : daemons)
        fleet += members.size();
    return best_of_each_domain(
        service.value, daemons,
        fleet <= options.small_fleet_size ? fleet : options.per_failure_domain);
}

std::vector<placed_daemon> watchers(daemons_by_domain const& daemons,
                                    std::size_t per_failure_domain) {
    return best_of_each_domain("watchers of head", daemons, per_failure_domain);
}

std::vector<target_id> target_subset(daemon_id const& self,
                                     service_id const& service,
                                     std::span<placed_daemon const> homes,
                                     std::span<placed_target const> targets,
                                     subset_options const& options) {
    std::vector<target_id> out;
    auto const own = std::ranges::find(homes, self, &placed_daemon::id);
    if (own == homes.end() || targets.empty())
        return out;
    auto const self_index = static_cast<std::size_t>(own - homes.begin());
    auto const wanted =
        ceil_of(static_cast<double>(homes.size() * options.targets_per_daemon) /
                static_cast<double>(targets.size()));
    auto const per_target = std::min(
        {std::max(wanted, options.min_homes),
         std::max(options.homes_per_target, options.min_homes), homes.size()});

    std::vector<std::pair<std::uint64_t, placed_target const*>> order;
    order.reserve(targets.size());
    for (auto const& target : targets)
        order.emplace_back(rendezvous_score(service.value, target.id.value),
                           &target);
    std::ranges::sort(order, [](auto const& left, auto const& right) {
        return left.first != right.first ? left.first < right.first
                                         : left.second->id < right.second->id;
    });

    assignment assigned(service, homes, targets.size(), per_target,
                        options.slack);
    for (auto const& [score, target] : order)
        if (assigned.assign(*target, self_index))
            out.push_back(target->id);
    return out;
}

} // namespace yuccabeam::routing
