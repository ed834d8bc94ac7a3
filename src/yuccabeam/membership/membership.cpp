#include "yuccabeam/membership/membership.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace yuccabeam::membership {

namespace {

// Precedence of updates about one member; the highest one wins.
auto rank(member const& m) {
    return std::tuple(m.incarnation, m.counter, m.status);
}

bool is_live(member_status status) {
    return status == member_status::alive || status == member_status::suspect;
}

// Update as it is sent: only status `alive` carries the member's info.
member statement(member m) {
    if (m.status != member_status::alive)
        m.info = {};
    if (m.status != member_status::suspect)
        m.reporter = {};
    return m;
}

} // namespace

state::state(member self, options const& settings, time_point now)
    : self_(std::move(self)), settings_(settings), next_probe_(now),
      next_dead_probe_(now + settings.dead_probe_period),
      next_forget_(now + settings.forget_after) {
    self_.status = member_status::alive;
    self_.counter = 0;
}

void state::announce_self() {
    updates_.push(self_);
}

void state::set_info(member_info info) {
    if (info == self_.info)
        return;
    self_.info = std::move(info);
    ++self_.counter;
    announce_self();
}

void state::set_leaving_targets(std::vector<target_id> targets) {
    // More names would displace updates in the datagram; the evidence reports
    // carry the remaining names to the peers.
    constexpr std::size_t most = 4;
    targets.resize(std::min(targets.size(), most));
    leaving_targets_ = std::move(targets);
}

void state::set_status(record& known, member_status status, time_point now) {
    auto const& id = known.member.id;
    known.member.status = status;
    known.status_since = now;
    if (status != member_status::suspect) {
        known.member.reporter = {};
        suspicions_.erase(id);
    }
    (is_live(status) ? dead_ : live_).remove(id);
    (is_live(status) ? live_ : dead_).add(id);
    ++version_;
    // Presumed members are local assumptions and are not disseminated.
    if (known.member.incarnation != 0)
        updates_.push(statement(known.member));
}

void state::add(member const& update, time_point now, actions& out) {
    // A suspicion carries no member info, so it can't add a member; the
    // member's own `alive` update will.
    if (update.status == member_status::suspect)
        return;
    record& known = members_[update.id];
    known.member = update;
    set_status(known, update.status, now);
    if (update.status == member_status::alive)
        out.events.push_back({event_kind::joined, known.member});
}

void state::adopt_alive(record& known, member const& update, time_point now,
                        actions& out) {
    member const before = known.member;
    known.member.incarnation = update.incarnation;
    known.member.counter = update.counter;
    known.member.info = update.info;
    set_status(known, member_status::alive, now);
    event_kind kind = event_kind::changed;
    if (!is_live(before.status) || before.incarnation != update.incarnation)
        kind = event_kind::joined;
    else if (before.status == member_status::suspect)
        kind = event_kind::recovered;
    else if (before.info == update.info)
        return;
    out.events.push_back({kind, known.member});
}

void state::suspect(record& known, member const& claim, time_point now,
                    actions& out) {
    auto const before = known.member.status;
    // A member known only from a `dead` update has no address and can't be
    // probed.
    if (known.member.info.udp_address.empty())
        return;
    known.member.incarnation = claim.incarnation;
    known.member.counter = claim.counter;
    known.member.reporter = claim.reporter;
    suspicions_[claim.id] = {
        now, {claim.reporter}, claim.status == member_status::dead};
    set_status(known, member_status::suspect, now);
    if (!is_live(before))
        out.events.push_back({event_kind::joined, known.member});
    if (before != member_status::suspect)
        out.events.push_back({event_kind::suspected, known.member});
}

void state::confirm(record& known, daemon_id const& reporter) {
    auto& reporters = suspicions_.at(known.member.id).reporters;
    if (reporters.size() > settings_.suspicion_confirmations ||
        !reporters.insert(reporter).second)
        return;
    known.member.reporter = reporter;
    updates_.push(statement(known.member));
}

void state::apply(member const& update, time_point now, actions& out) {
    if (update.id == self_.id)
        return apply_to_self(update);
    if (update.incarnation == 0)
        return;
    auto const found = members_.find(update.id);
    if (found == members_.end())
        return add(update, now, out);
    record& known = found->second;
    bool const suspected = known.member.status == member_status::suspect;
    if (rank(update) <= rank(known.member)) {
        if (rank(update) == rank(known.member) && suspected)
            confirm(known, update.reporter);
        else if (rank(update) < rank(known.member))
            ++counters_.stale_updates;
        return;
    }
    bool const same_statement =
        std::tie(update.incarnation, update.counter) ==
        std::tie(known.member.incarnation, known.member.counter);
    switch (update.status) {
    case member_status::alive:
        return adopt_alive(known, update, now, out);
    case member_status::suspect:
        return suspect(known, update, now, out);
    case member_status::dead:
        // A `dead` update without a prior suspicion may come from a daemon
        // that receives no messages; the member gets time to refute it.
        if (is_live(known.member.status) && !(suspected && same_statement))
            return suspect(known, update, now, out);
        break;
    case member_status::left:
        break;
    }
    bool const was_live = is_live(known.member.status);
    known.member.incarnation = update.incarnation;
    known.member.counter = update.counter;
    set_status(known, update.status, now);
    if (was_live)
        out.events.push_back({update.status == member_status::left
                                  ? event_kind::left
                                  : event_kind::died,
                              known.member});
}

void state::apply_to_self(member const& update) {
    if (left_ || update.incarnation < self_.incarnation)
        return;
    if (update.incarnation > self_.incarnation) {
        // The clock of an earlier process of this daemon was ahead. Peers
        // would ignore the lower incarnation of this process as stale.
        ++counters_.superseded;
        self_.incarnation = update.incarnation + 1;
        self_.counter = 0;
        return announce_self();
    }
    if (std::tie(update.counter, update.status) <=
        std::tie(self_.counter, self_.status))
        return;
    self_.counter = update.counter + 1;
    if (update.status != member_status::alive) {
        ++counters_.refutations;
        adjust_local_health(1);
    }
    announce_self();
}

void state::forget(daemon_id const& id, actions& out) {
    auto const found = members_.find(id);
    if (found == members_.end())
        return;
    out.events.push_back({event_kind::forgotten, found->second.member});
    live_.remove(id);
    dead_.remove(id);
    suspicions_.erase(id);
    members_.erase(found);
    ++version_;
}

actions state::set_vm_list(std::vector<vm_list_entry> const& vms,
                           time_point now) {
    actions out;
    std::unordered_map<daemon_id, vm_list_entry const*> listed;
    for (auto const& vm : vms)
        listed.emplace(vm.id, &vm);
    std::vector<daemon_id> gone;
    for (auto& [id, known] : members_) {
        bool const named = listed.contains(id);
        bool const leaving = named && listed[id]->leaving;
        known.listed = named;
        known.vm_list_address = named ? listed[id]->udp_address : "";
        if (leaving != std::exchange(known.leaving, leaving)) {
            ++version_;
            out.events.push_back({event_kind::changed, known.member});
        }
        if (!named && known.member.incarnation == 0)
            gone.push_back(id);
    }
    for (auto const& id : gone)
        forget(id, out);
    for (auto const& vm : vms) {
        if (vm.id == self_.id || vm.leaving || members_.contains(vm.id))
            continue;
        member presumed;
        presumed.id = vm.id;
        presumed.info.udp_address = vm.udp_address;
        add(presumed, now, out);
        members_[vm.id].listed = true;
        members_[vm.id].vm_list_address = vm.udp_address;
    }
    return out;
}

std::optional<member> state::find(daemon_id const& id) const {
    auto const found = members_.find(id);
    if (found == members_.end())
        return std::nullopt;
    return found->second.member;
}

std::vector<member> state::live_members() const {
    std::vector<member> out;
    out.reserve(live_.size());
    for (std::size_t i = 0; i < live_.size(); ++i)
        out.push_back(members_.at(live_.at(i)).member);
    std::sort(out.begin(), out.end(),
              [](auto const& a, auto const& b) { return a.id < b.id; });
    return out;
}

std::vector<member> state::sample(std::size_t count, random_engine& rng) const {
    // Floyd's algorithm: distinct indexes in time proportional to count.
    std::set<std::size_t> chosen;
    std::size_t const size = live_.size();
    count = std::min(count, size);
    for (std::size_t i = size - count; i < size; ++i) {
        std::uniform_int_distribution<std::size_t> pick(0, i);
        if (!chosen.insert(pick(rng)).second)
            chosen.insert(i);
    }
    std::vector<member> out;
    out.reserve(count);
    for (std::size_t index : chosen)
        out.push_back(members_.at(live_.at(index)).member);
    return out;
}

bool state::is_leaving(daemon_id const& id) const {
    auto const found = members_.find(id);
    return found != members_.end() && found->second.leaving;
}

} // namespace yuccabeam::membership
