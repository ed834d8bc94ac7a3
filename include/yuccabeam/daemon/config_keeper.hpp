#pragma once

#include "yuccabeam/adapters/store_client.hpp"
#include "yuccabeam/config/readiness.hpp"
#include "yuccabeam/config/replica.hpp"
#include "yuccabeam/membership/config_spread.hpp"
#include "yuccabeam/values/snapshot.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace yuccabeam::daemon {

/// Called in the keeper's threads without its lock.
struct config_callbacks {
    std::function<void(snapshot_ptr, membership::config_digest)> applied;
    /// A revision that the store has.
    std::function<void(membership::config_digest)> in_store;
    std::function<void()> fetch_failed;
};

/// Where the revision in force came from, for explanations.
struct config_origin {
    std::string source; ///< address of a peer, or `store`
    time_point applied{};
    yuccabeam::revision revision = 0;

    bool operator==(config_origin const&) const = default;
};

struct store_contact {
    config::store_status status = config::store_status::not_asked;
    revision head = 0;
    std::optional<time_point> last_answer;
};

/// Holds this daemon's copy of the configuration and fetches new revisions.
///
/// One thread fetches chunks from peers or the store, one watches the
/// store's head while this daemon is a watcher.
class config_keeper {
public:
    config_keeper(std::string store_address, std::string shared_key,
                  config_callbacks callbacks);
    ~config_keeper();
    config_keeper(config_keeper const&) = delete;
    config_keeper& operator=(config_keeper const&) = delete;

    void start();
    void stop();

    /// Fetches a revision; ends with `applied` or `fetch_failed`.
    void fetch(membership::fetch_request request);

    /// Whether this daemon watches the store's head.
    void set_watching(bool watching);
    bool watching() const;

    /// JSON object of chunk texts by hash, for a peer that asks for a
    /// comma-separated list; unknown hashes are left out.
    std::string chunks(std::string_view hashes) const;

    config::head applied() const;
    config_origin origin() const;
    store_contact store() const;

private:
    void run_fetches();
    void run_watch();
    bool fetch_all(membership::fetch_request const& request);
    bool fetch_batch(std::string const& address,
                     std::vector<config::chunk_hash> const& hashes);
    bool offer(config::chunk_hash const& hash, std::string text);
    void hand_on_applied(std::string const& source);
    void watch_once(std::uint64_t& version);

    std::string shared_key_;
    config_callbacks callbacks_;
    adapters::store_client fetch_store_;
    adapters::store_client watch_store_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    config::replica replica_;
    config_origin origin_;
    store_contact store_;
    std::deque<membership::fetch_request> fetches_;
    bool watching_ = false;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

/// Digest of a head as peers exchange it.
membership::config_digest digest_of(config::head const& head);
config::head head_of(membership::config_digest const& digest);

} // namespace yuccabeam::daemon
