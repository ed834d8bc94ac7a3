#include "yuccabeam/config/readiness.hpp"

#include "yuccabeam/config/chunk.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace yuccabeam::config {

namespace {

struct peer_summary {
    bool any_ready = false;
    bool all_settled = true; ///< each peer answered or failed
    revision highest = 0;
};

peer_summary summarize(std::vector<peer_status> const& peers) {
    peer_summary out;
    for (auto const& peer : peers) {
        out.any_ready = out.any_ready || (peer.answered && peer.ready);
        out.all_settled = out.all_settled && (peer.answered || peer.failed);
        if (peer.answered)
            out.highest = std::max(out.highest, peer.revision);
    }
    return out;
}

readiness not_ready(revision needed, std::string reason) {
    return {false, needed, std::move(reason)};
}

readiness ready_at(revision needed, revision applied) {
    if (needed == 0)
        return not_ready(0, "no configuration is accepted yet");
    if (applied < needed)
        return not_ready(needed, "revision " + std::to_string(needed) +
                                     " is being fetched; applied is " +
                                     std::to_string(applied));
    return {true, needed,
            "revision " + std::to_string(applied) + " is in force"};
}

readiness without_store(start_view const& view, peer_summary const& peers,
                        duration member_wait) {
    auto const waited = view.now - view.started;
    if (waited < member_wait && !(view.vm_list_known && peers.all_settled))
        return not_ready(peers.highest,
                         "the store is down; waiting for the other daemons");
    if (!peers.any_ready)
        return not_ready(peers.highest, "the store is down and no other "
                                        "daemon is ready");
    return ready_at(peers.highest, view.applied);
}

} // namespace

readiness decide_readiness(start_view const& view,
                           readiness_options const& options) {
    auto const peers = summarize(view.peers);
    switch (view.store) {
    case store_status::not_asked:
        return not_ready(peers.highest, "waiting for the store's answer");
    case store_status::down:
        return without_store(view, peers, options.member_wait);
    case store_status::answered:
        break;
    }
    auto const needed = std::max(view.store_head, peers.highest);
    if (view.now - view.started < options.peer_wait)
        return not_ready(needed, "listening to other daemons");
    return ready_at(needed, view.applied);
}

bool is_isolated(contacts const& contacts, time_point now, double random,
                 readiness_options const& options) {
    auto last = contacts.started;
    if (contacts.store)
        last = std::max(last, *contacts.store);
    if (contacts.peer)
        last = std::max(last, *contacts.peer);
    auto const spread = options.isolation_jitter * (2 * random - 1);
    return now - last >
           from_seconds(to_seconds(options.isolation) * (1 + spread));
}

bool stays_when_isolated(daemon_id const& self,
                         std::vector<daemon_id> const& fleet) {
    constexpr std::size_t staying_share = 3;
    auto const rank_of = [](daemon_id const& id) {
        return std::pair(hash_of("isolated/" + id.value), id);
    };
    auto const own = rank_of(self);
    auto const ahead = static_cast<std::size_t>(
        std::count_if(fleet.begin(), fleet.end(), [&](daemon_id const& other) {
            return rank_of(other) < own;
        }));
    auto const known =
        std::find(fleet.begin(), fleet.end(), self) != fleet.end();
    auto const size = fleet.size() + (known ? 0 : 1);
    return ahead < (size + staying_share - 1) / staying_share;
}

} // namespace yuccabeam::config
