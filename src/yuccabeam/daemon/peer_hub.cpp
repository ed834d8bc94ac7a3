#include "yuccabeam/daemon/peer_hub.hpp"

#include "yuccabeam/adapters/clock.hpp"
#include "yuccabeam/adapters/logging.hpp"
#include "yuccabeam/net/peer_transport.hpp"

#include <asio.hpp>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <utility>

namespace yuccabeam::daemon {

namespace {

using adapters::boot_now;
using adapters::log_change;
using adapters::log_level;

struct datagram {
    codec::bytes data;
    std::string to;
};

std::string_view name_of(membership::event_kind kind) {
    switch (kind) {
    case membership::event_kind::joined:
        return "member_joined";
    case membership::event_kind::suspected:
        return "member_suspected";
    case membership::event_kind::recovered:
        return "member_recovered";
    case membership::event_kind::died:
        return "member_died";
    case membership::event_kind::left:
        return "member_left";
    case membership::event_kind::forgotten:
        return "member_forgotten";
    case membership::event_kind::changed:
        break;
    }
    return "member_changed";
}

membership::member self_member(peer_hub_options const& options) {
    membership::member self;
    self.id = options.self.id;
    self.incarnation = options.self.incarnation;
    self.info.failure_domain = options.self.failure_domain;
    self.info.udp_address = options.bind_address;
    self.info.http_address = options.http_address;
    return self;
}

codec::message to_message(membership::probe_message const& probe) {
    return std::visit([](auto const& value) { return codec::message(value); },
                      probe);
}

} // namespace

struct peer_hub::implementation {
    peer_hub_options options;
    peer_hub_callbacks callbacks;
    mutable std::mutex mutex;
    membership::state members;
    membership::config_spread spread{{}, {}};
    codec::sealer sealer;
    codec::opener opener;
    membership::random_engine random{std::random_device{}()};
    std::optional<time_point> heard;
    std::uint64_t dropped = 0;
    std::map<daemon_id, revision> revisions; ///< newest heard of each peer
    std::set<daemon_id> listed;              ///< live in the VM list
    bool vm_list_known = false;

    asio::io_context context;
    std::unique_ptr<net::peer_transport> transport;
    std::thread thread;

    implementation(peer_hub_options given, peer_hub_callbacks receivers)
        : options(std::move(given)), callbacks(std::move(receivers)),
          members(self_member(options), {}, boot_now()),
          sealer(options.key, options.self.id, options.self.incarnation),
          opener(options.key) {}

    // Work that a step leaves for after the lock.
    struct step {
        std::vector<datagram> datagrams;
        std::vector<membership::member_event> events;
        std::vector<membership::fetch_request> fetches;
        std::vector<target_id> leaving;
        std::vector<health_message> health;
    };

    void seal(codec::message const& message, std::string const& to, step& out) {
        auto sealed = sealer.seal(message);
        if (sealed)
            out.datagrams.push_back({std::move(sealed.value()), to});
        else
            ++dropped;
    }

    void take(membership::actions actions, time_point now, step& out) {
        sealer.set_incarnation(members.self().incarnation);
        for (auto const& message : actions.messages)
            seal(to_message(message.message), message.to.address, out);
        for (auto const& digest : actions.digests) {
            revisions[digest.from] = digest.config.revision;
            if (auto fetch = spread.digest_received(digest, now))
                out.fetches.push_back(std::move(*fetch));
        }
        out.events = std::move(actions.events);
        out.leaving = std::move(actions.leaving_targets);
    }

    void run(step const& done) {
        for (auto const& datagram : done.datagrams)
            if (transport)
                transport->send(datagram.data, datagram.to);
        for (auto const& event : done.events)
            if (event.kind != membership::event_kind::changed)
                log_change(log_level::info, "membership", name_of(event.kind),
                           {{"member", event.member.id.value},
                            {"incarnation",
                             std::to_string(event.member.incarnation)}});
        if (!done.events.empty())
            callbacks.members_changed();
        for (auto const& target : done.leaving)
            callbacks.leaving_target(target);
        for (auto const& fetch : done.fetches)
            callbacks.fetch(fetch);
        for (auto const& message : done.health)
            callbacks.health(message);
    }

    void receive(codec::bytes_view data, std::string const& from) {
        auto const now = boot_now();
        step out;
        {
            std::lock_guard lock(mutex);
            auto opened = opener.open(data);
            auto* envelope = std::get_if<codec::authenticated_message>(&opened);
            if (!envelope) {
                ++dropped;
                return;
            }
            heard = now;
            membership::peer const sender{envelope->sender, from};
            std::visit(
                [&](auto& message) { handle(message, sender, now, out); },
                envelope->message);
        }
        run(out);
    }

    template <class Probe>
    void handle(Probe& message, membership::peer const& from, time_point now,
                step& out) {
        take(members.receive(message, from, now), now, out);
    }

    void handle(membership::config_announce& message,
                membership::peer const& from, time_point now, step& out) {
        membership::received_digest const digest{from.id, message.http_address,
                                                 message.config};
        if (auto fetch = spread.digest_received(digest, now))
            out.fetches.push_back(std::move(*fetch));
    }

    void handle(health::evidence_report& message, membership::peer const& from,
                time_point, step& out) {
        // A daemon reports for itself only.
        if (message.observer == from.id.value)
            out.health.emplace_back(std::move(message));
    }

    void handle(health::ejection_table& message, membership::peer const& from,
                time_point, step& out) {
        if (message.arbiter == from.id.value)
            out.health.emplace_back(std::move(message));
    }
};

peer_hub::peer_hub(peer_hub_options options, peer_hub_callbacks callbacks)
    : self_(std::make_unique<implementation>(std::move(options),
                                             std::move(callbacks))) {}

peer_hub::~peer_hub() {
    self_->context.stop();
    if (self_->thread.joinable())
        self_->thread.join();
}

result<void> peer_hub::start() {
    auto opened = net::peer_transport::open(
        self_->context, {.bind_address = self_->options.bind_address},
        [self = self_.get()](auto data, auto const& from) {
            self->receive(data, from);
        });
    if (!opened)
        return opened.error();
    self_->transport = std::move(opened.value());
    self_->thread = std::thread([self = self_.get()] {
        auto const work = asio::make_work_guard(self->context);
        self->context.run();
    });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void peer_hub::tick(time_point now) {
    implementation::step out;
    {
        std::lock_guard lock(self_->mutex);
        if (now >= self_->members.next_tick())
            self_->take(self_->members.tick(now, self_->random), now, out);
        if (auto fetch = self_->spread.tick(now))
            out.fetches.push_back(std::move(*fetch));
    }
    self_->run(out);
}

void peer_hub::hint(std::vector<membership::vm_list_entry> const& vms,
                    time_point now) {
    implementation::step out;
    {
        std::lock_guard lock(self_->mutex);
        self_->vm_list_known = true;
        self_->listed.clear();
        for (auto const& vm : vms)
            if (!vm.leaving)
                self_->listed.insert(vm.id);
        self_->take(self_->members.set_vm_list(vms, now), now, out);
    }
    self_->run(out);
}

void peer_hub::send(health_message const& message) {
    auto const receiver = std::visit(
        [](auto const& value) -> daemon_id {
            if constexpr (std::is_same_v<std::decay_t<decltype(value)>,
                                         health::evidence_report>)
                return {value.arbiter};
            else
                return {value.receiver};
        },
        message);
    implementation::step out;
    {
        std::lock_guard lock(self_->mutex);
        auto const member = self_->members.find(receiver);
        if (!member)
            return;
        std::visit(
            [&](auto const& value) {
                self_->seal(value, member->info.udp_address, out);
            },
            message);
    }
    self_->run(out);
}

void peer_hub::config_applied(membership::config_digest const& config) {
    implementation::step out;
    {
        std::lock_guard lock(self_->mutex);
        self_->members.set_config(config);
        for (auto const& announcement :
             self_->spread.applied(config, self_->options.http_address,
                                   self_->members, self_->random))
            self_->seal(announcement.message, announcement.to.address, out);
    }
    self_->run(out);
}

void peer_hub::config_in_store(membership::config_digest const& config) {
    implementation::step out;
    {
        std::lock_guard lock(self_->mutex);
        // An empty address asks for a fetch from the store.
        if (auto fetch =
                self_->spread.digest_received({{}, "", config}, boot_now()))
            out.fetches.push_back(std::move(*fetch));
    }
    self_->run(out);
}

void peer_hub::fetch_failed(time_point now) {
    implementation::step out;
    {
        std::lock_guard lock(self_->mutex);
        if (auto fetch = self_->spread.fetch_failed(now))
            out.fetches.push_back(std::move(*fetch));
    }
    self_->run(out);
}

void peer_hub::set_ready(bool ready) {
    std::lock_guard lock(self_->mutex);
    auto info = self_->members.self().info;
    info.ready = ready;
    self_->members.set_info(std::move(info));
}

void peer_hub::set_leaving_targets(std::vector<target_id> targets) {
    std::lock_guard lock(self_->mutex);
    self_->members.set_leaving_targets(std::move(targets));
}

void peer_hub::leave(time_point now) {
    implementation::step out;
    {
        std::lock_guard lock(self_->mutex);
        self_->take(self_->members.leave(now, self_->random), now, out);
    }
    self_->run(out);
}

std::vector<membership::member> peer_hub::live_members() const {
    std::lock_guard lock(self_->mutex);
    auto out = self_->members.live_members();
    out.push_back(self_->members.self());
    return out;
}

membership::member peer_hub::self() const {
    std::lock_guard lock(self_->mutex);
    return self_->members.self();
}

peer_counters peer_hub::counters() const {
    peer_counters out;
    std::lock_guard lock(self_->mutex);
    if (self_->transport) {
        auto const seen = self_->transport->counters();
        out.sent = seen.sent;
        out.sent_bytes = seen.sent_bytes;
        out.received = seen.received;
        out.received_bytes = seen.received_bytes;
    }
    out.dropped = self_->dropped;
    return out;
}

std::vector<config::peer_status> peer_hub::peers() const {
    std::lock_guard lock(self_->mutex);
    auto ids = self_->listed;
    for (auto const& member : self_->members.live_members())
        ids.insert(member.id);
    ids.erase(self_->members.self().id);
    std::vector<config::peer_status> out;
    for (auto const& id : ids) {
        auto const member = self_->members.find(id);
        config::peer_status peer;
        peer.id = id;
        peer.answered = member && member->incarnation != 0;
        peer.failed =
            member && member->status == membership::member_status::dead;
        peer.ready = peer.answered && member->info.ready;
        if (auto const heard = self_->revisions.find(id);
            heard != self_->revisions.end())
            peer.revision = heard->second;
        out.push_back(std::move(peer));
    }
    return out;
}

std::size_t peer_hub::known_daemons() const {
    std::lock_guard lock(self_->mutex);
    if (!self_->vm_list_known)
        return 0;
    auto ids = self_->listed;
    for (auto const& member : self_->members.live_members())
        ids.insert(member.id);
    ids.insert(self_->members.self().id);
    return ids.size();
}

bool peer_hub::vm_list_known() const {
    std::lock_guard lock(self_->mutex);
    return self_->vm_list_known;
}

std::optional<time_point> peer_hub::last_heard() const {
    std::lock_guard lock(self_->mutex);
    return self_->heard;
}

} // namespace yuccabeam::daemon
