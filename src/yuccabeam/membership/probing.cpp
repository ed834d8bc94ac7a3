#include "yuccabeam/membership/membership.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccabeam::membership {

namespace {

// Maximum number of concurrent indirect probes on behalf of other daemons. In
// a fleet of any size a daemon receives about 3 requests a second for each
// failing member that it is asked about; more than this limit indicates a
// faulty requester.
constexpr std::size_t max_relays = 256;
// Maximum number of member records in an ack to a new daemon.
constexpr std::size_t max_join_records = 16;
// Every fourth appended record is about a dead member.
constexpr std::size_t dead_record_interval = 4;
constexpr double probe_jitter = 0.1;
constexpr duration forget_check_period = std::chrono::minutes(1);

double magnitude(std::size_t others) {
    return std::max(1.0, std::log10(static_cast<double>(others + 1)));
}

} // namespace

void state::adjust_local_health(int by) {
    int const value = static_cast<int>(local_health_) + by;
    local_health_ = static_cast<std::uint32_t>(
        std::clamp(value, 0, static_cast<int>(settings_.max_local_health)));
}

duration state::scaled(duration d) const {
    return d * (local_health_ + 1);
}

duration state::shortest_suspicion() const {
    return from_seconds(to_seconds(settings_.probe_period) *
                        settings_.suspicion_factor * magnitude(live_.size()));
}

std::uint32_t state::transmissions() const {
    return settings_.retransmit_factor *
           static_cast<std::uint32_t>(std::ceil(magnitude(live_.size())));
}

// Lifeguard, section 4: the suspicion timeout decreases with the logarithm of
// the number of independent reports.
time_point state::deadline(suspicion const& s) const {
    double const shortest = to_seconds(shortest_suspicion());
    if (s.declared_dead)
        return s.since + from_seconds(shortest);
    double const longest = shortest * settings_.suspicion_max_factor;
    double const share =
        std::log(static_cast<double>(s.reporters.size())) /
        std::log(static_cast<double>(settings_.suspicion_confirmations) + 1);
    return s.since + from_seconds(std::max(
                         shortest, longest - (longest - shortest) * share));
}

heartbeat state::make_heartbeat(daemon_id const& to, std::size_t bytes) {
    heartbeat beat{self_, config_, {}, leaving_targets_};
    // The receiver can refute its suspect or dead status only if it is
    // informed of it.
    auto const known = members_.find(to);
    if (known != members_.end() &&
        known->second.member.status != member_status::alive &&
        known->second.member.incarnation != 0) {
        member claim = known->second.member;
        claim.info = {};
        bytes -= std::min(bytes, encoded_size(claim));
        beat.updates.push_back(std::move(claim));
    }
    for (auto& update : updates_.take(bytes, transmissions(), to))
        if (update.id != self_.id && (update.id != to || beat.updates.empty() ||
                                      beat.updates.front().id != to))
            beat.updates.push_back(std::move(update));
    return beat;
}

// Appends member records in rotation, so that a daemon that missed an update
// eventually receives it.
void state::append_records(heartbeat& beat, std::size_t bytes,
                           std::size_t most) {
    for (std::size_t i = 0; i < most && live_.size() > 0; ++i) {
        std::size_t const turn = record_cursor_++;
        bool const dead = turn % dead_record_interval == 0 && dead_.size() > 0;
        auto const& id =
            dead ? dead_.at(turn / dead_record_interval % dead_.size())
                 : live_.at(turn % live_.size());
        record const& known = members_.at(id);
        // Dead members that are no longer in the VM list are skipped;
        // otherwise two daemons could re-add them to each other's lists
        // forever.
        if (known.member.incarnation == 0 || (dead && !known.listed))
            continue;
        member update = known.member;
        if (update.status != member_status::alive)
            update.info = {};
        std::size_t const size = encoded_size(update);
        if (size > bytes)
            return;
        bytes -= size;
        beat.updates.push_back(std::move(update));
    }
}

void state::process_heartbeat(heartbeat const& beat, peer const& from,
                              time_point now, actions& out) {
    if (from.id == self_.id || beat.self.id != from.id)
        return;
    member sender = beat.self;
    if (sender.status != member_status::left)
        sender.status = member_status::alive;
    apply(sender, now, out);
    auto const known = members_.find(from.id);
    bool const dead = known == members_.end() ||
                      known->second.member.status == member_status::dead;
    // A daemon that is recorded as dead may receive no messages and consider
    // all others dead. Only its updates about this daemon are applied, because
    // refuting them is harmless.
    for (auto const& update : beat.updates)
        if (!dead || update.id == self_.id)
            apply(update, now, out);
    if (dead)
        return;
    out.digests.push_back({from.id, beat.self.info.http_address, beat.config});
    out.leaving_targets.insert(out.leaving_targets.end(),
                               beat.leaving_targets.begin(),
                               beat.leaving_targets.end());
}

void state::handle(ping const& message, peer const& from, time_point now,
                   actions& out) {
    auto const before = find(from.id);
    process_heartbeat(message.beat, from, now, out);
    bool const is_new = !before ||
                        before->incarnation != message.beat.self.incarnation ||
                        before->status == member_status::dead;
    heartbeat beat = make_heartbeat(from.id, settings_.update_bytes);
    if (is_new)
        append_records(beat, settings_.join_bytes - settings_.update_bytes,
                       max_join_records);
    out.messages.push_back(
        {from, ack{message.sequence, self_.id, true, std::move(beat)}});
}

void state::handle(ping_req const& message, peer const& from, time_point now,
                   actions& out) {
    if (message.subject == self_.id || relays_.size() >= max_relays || left_)
        return;
    auto const known = find(message.subject);
    std::string const address = known && !known->info.udp_address.empty()
                                    ? known->info.udp_address
                                    : message.subject_address;
    std::uint64_t const sequence = ++sequence_;
    relays_.emplace(sequence, relay{from, message.sequence, message.subject,
                                    now + settings_.probe_timeout});
    out.messages.push_back(
        {{message.subject, address},
         ping{sequence,
              make_heartbeat(message.subject, settings_.update_bytes)}});
}

void state::handle(ack const& message, peer const& from, time_point now,
                   actions& out) {
    process_heartbeat(message.beat, from, now, out);
    auto const relayed = relays_.find(message.sequence);
    if (relayed != relays_.end() && relayed->second.subject == from.id) {
        relay const request = relayed->second;
        relays_.erase(relayed);
        heartbeat beat =
            make_heartbeat(request.requester.id, settings_.update_bytes);
        if (auto const subject = find(request.subject))
            beat.updates.insert(beat.updates.begin(), *subject);
        out.messages.push_back(
            {request.requester, ack{request.requester_sequence, request.subject,
                                    true, std::move(beat)}});
        return;
    }
    if (!probe_ || probe_->sequence != message.sequence ||
        probe_->subject != message.subject)
        return;
    if (message.reached) {
        probe_.reset();
        adjust_local_health(-1);
    } else if (probe_->missing_nacks > 0) {
        --probe_->missing_nacks;
    }
}

actions state::receive(probe_message const& message, peer const& from,
                       time_point now) {
    actions out;
    std::visit([&](auto const& m) { handle(m, from, now, out); }, message);
    return out;
}

void state::start_probe(time_point now, random_engine& rng, actions& out) {
    std::uniform_real_distribution<double> jitter(1 - probe_jitter,
                                                  1 + probe_jitter);
    next_probe_ =
        now +
        from_seconds(to_seconds(scaled(settings_.probe_period)) * jitter(rng));
    auto const id = live_.next(rng);
    if (!id)
        return;
    ++counters_.probes;
    std::uint64_t const sequence = ++sequence_;
    probe_ = probe{*id,         sequence, now + scaled(settings_.probe_timeout),
                   next_probe_, false,    0};
    heartbeat beat = make_heartbeat(*id, settings_.update_bytes);
    append_records(beat, settings_.update_bytes, 1);
    out.messages.push_back({{*id, members_.at(*id).member.info.udp_address},
                            ping{sequence, std::move(beat)}});
}

void state::probe_dead(time_point now, random_engine& rng, actions& out) {
    next_dead_probe_ = now + settings_.dead_probe_period;
    auto const id = dead_.next(rng);
    if (!id)
        return;
    record const& known = members_.at(*id);
    auto const& address = known.vm_list_address.empty()
                              ? known.member.info.udp_address
                              : known.vm_list_address;
    if (known.member.status != member_status::dead || address.empty())
        return;
    out.messages.push_back(
        {{*id, address},
         ping{++sequence_, make_heartbeat(*id, settings_.update_bytes)}});
}

void state::send_indirect_probes(time_point /*now*/, random_engine& rng,
                                 actions& out) {
    probe_->indirect = true;
    auto const subject = find(probe_->subject);
    if (!subject)
        return;
    for (auto const& helper : sample(settings_.indirect_probes + 1, rng)) {
        if (helper.id == probe_->subject ||
            probe_->missing_nacks == settings_.indirect_probes)
            continue;
        ++probe_->missing_nacks;
        ++counters_.indirect_probes;
        out.messages.push_back({{helper.id, helper.info.udp_address},
                                ping_req{probe_->sequence, probe_->subject,
                                         subject->info.udp_address}});
    }
}

void state::end_probe(time_point now, actions& out) {
    probe const failed = *probe_;
    probe_.reset();
    ++counters_.probe_failures;
    // Each nack from a helper shows that this daemon's own links work; each
    // missing nack suggests that they may not.
    adjust_local_health(static_cast<int>(failed.missing_nacks));
    auto const found = members_.find(failed.subject);
    if (found == members_.end())
        return;
    record& known = found->second;
    if (known.member.status == member_status::suspect)
        return confirm(known, self_.id);
    if (known.member.status != member_status::alive)
        return;
    if (known.member.incarnation == 0) {
        set_status(known, member_status::dead, now);
        out.events.push_back({event_kind::died, known.member});
        return;
    }
    member claim = known.member;
    claim.status = member_status::suspect;
    claim.reporter = self_.id;
    suspect(known, claim, now, out);
}

void state::end_relays(time_point now, actions& out) {
    while (!relays_.empty() && relays_.begin()->second.deadline <= now) {
        relay const overdue = relays_.begin()->second;
        relays_.erase(relays_.begin());
        out.messages.push_back(
            {overdue.requester,
             ack{overdue.requester_sequence, overdue.subject, false,
                 make_heartbeat(overdue.requester.id,
                                settings_.update_bytes)}});
    }
}

void state::end_suspicions(time_point now, actions& out) {
    std::vector<daemon_id> due;
    for (auto const& [id, entry] : suspicions_)
        if (deadline(entry) <= now)
            due.push_back(id);
    for (auto const& id : due) {
        record& known = members_.at(id);
        set_status(known, member_status::dead, now);
        out.events.push_back({event_kind::died, known.member});
    }
}

void state::forget_old(time_point now, actions& out) {
    next_forget_ = now + forget_check_period;
    std::vector<daemon_id> old;
    for (std::size_t i = 0; i < dead_.size(); ++i) {
        record const& known = members_.at(dead_.at(i));
        if (!known.listed && now - known.status_since >= settings_.forget_after)
            old.push_back(dead_.at(i));
    }
    for (auto const& id : old)
        forget(id, out);
}

// A daemon that was suspended, or whose thread was not scheduled, must not
// suspect the peers whose acks are still in its socket buffer.
void state::resume_after_pause(duration pause) {
    probe_.reset();
    relays_.clear();
    for (auto& [id, entry] : suspicions_)
        entry.since += pause;
    adjust_local_health(1);
}

actions state::tick(time_point now, random_engine& rng) {
    actions out;
    if (left_)
        return out;
    duration const overdue = now - next_tick();
    if (overdue > settings_.probe_timeout)
        resume_after_pause(overdue);
    end_relays(now, out);
    end_suspicions(now, out);
    if (probe_ && now >= probe_->deadline)
        end_probe(now, out);
    if (probe_ && !probe_->indirect && now >= probe_->direct_deadline)
        send_indirect_probes(now, rng, out);
    if (now >= next_probe_)
        start_probe(now, rng, out);
    if (now >= next_dead_probe_)
        probe_dead(now, rng, out);
    if (now >= next_forget_)
        forget_old(now, out);
    return out;
}

time_point state::next_tick() const {
    if (left_)
        return time_point::max();
    time_point next = std::min({next_probe_, next_dead_probe_, next_forget_});
    if (probe_)
        next = std::min(next, probe_->indirect ? probe_->deadline
                                               : probe_->direct_deadline);
    if (!relays_.empty())
        next = std::min(next, relays_.begin()->second.deadline);
    for (auto const& [id, entry] : suspicions_)
        next = std::min(next, deadline(entry));
    return next;
}

actions state::leave(time_point /*now*/, random_engine& rng) {
    actions out;
    left_ = true;
    probe_.reset();
    self_.status = member_status::left;
    ++self_.counter;
    for (auto const& m : sample(settings_.indirect_probes, rng))
        out.messages.push_back(
            {{m.id, m.info.udp_address},
             ping{++sequence_, make_heartbeat(m.id, settings_.update_bytes)}});
    return out;
}

} // namespace yuccabeam::membership
