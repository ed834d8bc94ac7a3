#include "yuccabeam/daemon/config_keeper.hpp"

#include "yuccabeam/adapters/clock.hpp"
#include "yuccabeam/adapters/http_client.hpp"
#include "yuccabeam/adapters/logging.hpp"
#include "yuccabeam/config/store.hpp"
#include "yuccabeam/daemon/peer_auth.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace yuccabeam::daemon {

namespace {

using adapters::boot_now;
using adapters::log_change;
using adapters::log_level;

// Chunks of 4 KiB in one request between peers; bounds the answer's size.
constexpr std::size_t chunks_per_fetch = 64;
constexpr std::chrono::seconds peer_timeout{2};
// A stop waits for the end of a watch.
constexpr std::chrono::seconds watch_time{2};
constexpr std::chrono::milliseconds store_retry{500};

std::string join(std::vector<config::chunk_hash> const& hashes) {
    std::string text;
    for (auto const& hash : hashes)
        text.append(text.empty() ? "" : ",").append(hash.value);
    return text;
}

} // namespace

membership::config_digest digest_of(config::head const& head) {
    membership::config_digest digest;
    digest.revision = head.revision;
    auto const& text = head.manifest.value;
    for (std::size_t i = 0; i < digest.manifest.size(); ++i)
        if (2 * i + 2 <= text.size())
            std::from_chars(text.data() + 2 * i, text.data() + 2 * i + 2,
                            digest.manifest[i], 16);
    return digest;
}

config::head head_of(membership::config_digest const& digest) {
    constexpr std::string_view digits = "0123456789abcdef";
    config::head head;
    head.revision = digest.revision;
    for (auto byte : digest.manifest) {
        head.manifest.value += digits[byte >> 4];
        head.manifest.value += digits[byte & 0xF];
    }
    return head;
}

config_keeper::config_keeper(std::string store_address, std::string shared_key,
                             config_callbacks callbacks)
    : shared_key_(std::move(shared_key)), callbacks_(std::move(callbacks)),
      fetch_store_(store_address), watch_store_(store_address) {}

config_keeper::~config_keeper() {
    stop();
}

void config_keeper::start() {
    threads_.emplace_back([this] { run_fetches(); });
    threads_.emplace_back([this] { run_watch(); });
}

void config_keeper::stop() {
    {
        std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    for (auto& thread : threads_)
        thread.join();
    threads_.clear();
}

void config_keeper::fetch(membership::fetch_request request) {
    std::lock_guard lock(mutex_);
    fetches_.push_back(std::move(request));
    changed_.notify_all();
}

void config_keeper::set_watching(bool watching) {
    std::lock_guard lock(mutex_);
    watching_ = watching;
    changed_.notify_all();
}

bool config_keeper::watching() const {
    std::lock_guard lock(mutex_);
    return watching_;
}

std::string config_keeper::chunks(std::string_view hashes) const {
    nlohmann::json out = nlohmann::json::object();
    std::lock_guard lock(mutex_);
    while (!hashes.empty()) {
        auto const comma = hashes.find(',');
        config::chunk_hash const hash{std::string(hashes.substr(0, comma))};
        if (auto const* text = replica_.chunk(hash))
            out[hash.value] = *text;
        hashes = comma == std::string_view::npos ? std::string_view()
                                                 : hashes.substr(comma + 1);
    }
    return out.dump();
}

config::head config_keeper::applied() const {
    std::lock_guard lock(mutex_);
    return replica_.applied();
}

config_origin config_keeper::origin() const {
    std::lock_guard lock(mutex_);
    return origin_;
}

store_contact config_keeper::store() const {
    std::lock_guard lock(mutex_);
    return store_;
}

void config_keeper::run_fetches() {
    for (;;) {
        membership::fetch_request request;
        {
            std::unique_lock lock(mutex_);
            changed_.wait(lock, [&] { return stopping_ || !fetches_.empty(); });
            if (stopping_)
                return;
            request = std::move(fetches_.front());
            fetches_.pop_front();
            replica_.announce(head_of(request.config));
        }
        if (!fetch_all(request))
            callbacks_.fetch_failed();
    }
}

// True when the revision, or a higher one, is in force afterwards.
bool config_keeper::fetch_all(membership::fetch_request const& request) {
    for (;;) {
        std::vector<config::chunk_hash> missing;
        {
            std::lock_guard lock(mutex_);
            if (replica_.applied().revision >= request.config.revision)
                return true;
            missing = replica_.missing(chunks_per_fetch);
        }
        if (missing.empty() || !fetch_batch(request.http_address, missing))
            return false;
    }
}

// True when at least one chunk was of use.
bool config_keeper::fetch_batch(std::string const& address,
                                std::vector<config::chunk_hash> const& hashes) {
    bool progress = false;
    if (address.empty()) {
        for (auto const& hash : hashes) {
            auto read = fetch_store_.read(config::chunk_key(hash));
            if (read && read.value())
                progress |= offer(hash, std::move(read.value()->value));
        }
        hand_on_applied("store");
        return progress;
    }
    auto const path = "/.yuccabeam/chunks/" + join(hashes);
    adapters::http_call call;
    call.url = "http://" + address + path;
    call.timeout = peer_timeout;
    call.fields.push_back(
        {std::string(peer_auth_field), peer_auth(shared_key_, path)});
    auto const reply = adapters::perform(call);
    if (!reply || reply.value().status != 200)
        return false;
    auto const texts =
        nlohmann::json::parse(reply.value().body, nullptr, false);
    if (!texts.is_object())
        return false;
    for (auto const& [hash, text] : texts.items())
        if (text.is_string())
            progress |= offer({hash}, text.get<std::string>());
    hand_on_applied(address);
    return progress;
}

bool config_keeper::offer(config::chunk_hash const& hash, std::string text) {
    using outcome = config::replica::offer_outcome;
    std::lock_guard lock(mutex_);
    auto const result = replica_.offer(hash, std::move(text));
    return result == outcome::stored || result == outcome::applied;
}

void config_keeper::hand_on_applied(std::string const& source) {
    snapshot_ptr current;
    config::head head;
    {
        std::lock_guard lock(mutex_);
        current = replica_.current();
        head = replica_.applied();
        if (!current || origin_.applied != time_point{} &&
                            origin_.revision == head.revision)
            return;
        origin_ = {source, boot_now(), head.revision};
    }
    log_change(
        log_level::info, "config", "applied",
        {{"revision", std::to_string(head.revision)}, {"source", source}});
    callbacks_.applied(std::move(current), digest_of(head));
}

void config_keeper::run_watch() {
    std::uint64_t version = 0;
    bool first = true;
    for (;;) {
        {
            std::unique_lock lock(mutex_);
            // Every daemon asks once at its start, watcher or not.
            changed_.wait(lock,
                          [&] { return stopping_ || watching_ || first; });
            if (stopping_)
                return;
        }
        watch_once(version);
        first = false;
    }
}

// Asks the store for the head: at once for version 0, else when it changes.
void config_keeper::watch_once(std::uint64_t& version) {
    std::string const key(config::head_key);
    auto const seen = version == 0
                          ? watch_store_.read(key)
                          : watch_store_.watch(key, version, watch_time);
    std::optional<config::head> head;
    {
        std::unique_lock lock(mutex_);
        auto const before = store_.status;
        store_.status =
            seen ? config::store_status::answered : config::store_status::down;
        if (before != store_.status)
            log_change(log_level::info, "config",
                       seen ? "store_reachable" : "store_unreachable",
                       {{"reason", seen ? "" : seen.error().message}});
        if (seen)
            store_.last_answer = boot_now();
        if (seen && seen.value()) {
            version = seen.value()->version;
            if (auto const parsed = config::parse_head(seen.value()->value))
                head = parsed.value();
            if (head)
                store_.head = std::max(store_.head, head->revision);
        }
        // Without a key there is nothing to watch yet; a store that is down
        // is asked again after a while.
        if (!seen || version == 0)
            changed_.wait_for(lock, store_retry, [&] { return stopping_; });
    }
    if (head)
        callbacks_.in_store(digest_of(*head));
}

} // namespace yuccabeam::daemon
