#include "yuccabeam/http1/memory_budget.hpp"

#include "yuccabeam/adapters/clock.hpp"

#include <algorithm>
#include <utility>

namespace yuccabeam::http1 {

namespace {

// A body without a known size grows by a quarter, and by this at least.
constexpr std::size_t least_growth = 32 << 10;
// Storage of a body whose size is announced, before its bytes arrive.
constexpr std::size_t most_announced = 1 << 20;

std::size_t next_capacity(std::size_t needed, std::size_t capacity,
                          std::size_t expected) {
    auto const step = std::max(capacity / 4, least_growth);
    auto const grown = std::max(needed, capacity + step);
    if (expected < needed)
        return grown;
    return std::min(expected, std::max(grown, most_announced));
}

} // namespace

memory_budget::memory_budget(std::size_t limit, clock_source clock)
    : limit_(limit), clock_(clock ? std::move(clock) : adapters::boot_now) {}

bool memory_budget::resize(holder& of, std::size_t bytes) {
    // A size that can't be granted evicts nobody.
    bool refused = bytes > of.bytes && bytes > limit_;
    while (!refused && bytes > of.bytes && held_ + bytes - of.bytes > limit_)
        refused = !evict_for(of);
    if (refused) {
        ++refusals_;
        return false;
    }
    held_ += bytes;
    held_ -= std::exchange(of.bytes, bytes);
    peak_ = std::max(peak_, held_);
    return true;
}

bool memory_budget::evict_for(holder const& growing) {
    auto* out = first_connection(&growing);
    if (out == nullptr) {
        out = largest_evictable(growing);
        if (out == nullptr || out->bytes <= growing.bytes)
            return false;
    }
    evict(*out);
    return true;
}

bool memory_budget::evict_connection() {
    auto* const out = first_connection(nullptr);
    if (out != nullptr)
        evict(*out);
    return out != nullptr;
}

void memory_budget::evict(holder& of) {
    ++(of.rank == eviction_rank::idle         ? idle_evictions_
       : of.rank == eviction_rank::in_request ? stalled_evictions_
                                              : evictions_);
    std::exchange(of.evict, nullptr)();
}

memory_budget::holder*
memory_budget::first_connection(holder const* except) const {
    if (auto* const idle = oldest(eviction_rank::idle, except))
        return idle;
    auto* const out = oldest(eviction_rank::in_request, except);
    return out != nullptr && clock_() - out->since >= stalled_after ? out
                                                                    : nullptr;
}

memory_budget::holder* memory_budget::oldest(eviction_rank rank,
                                             holder const* except) const {
    holder* out = nullptr;
    for (auto* const at : holders_)
        if (at != except && at->evict && at->rank == rank &&
            (out == nullptr || at->since < out->since))
            out = at;
    return out;
}

memory_budget::holder*
memory_budget::largest_evictable(holder const& except) const {
    holder* out = nullptr;
    for (auto* const at : holders_)
        if (at != &except && at->evict && at->bytes > 0 &&
            at->rank == eviction_rank::by_size &&
            (out == nullptr || at->bytes > out->bytes))
            out = at;
    return out;
}

memory_hold::memory_hold(std::shared_ptr<memory_budget> budget)
    : budget_(std::move(budget)) {
    if (!budget_)
        return;
    holder_ = std::make_unique<memory_budget::holder>();
    budget_->holders_.insert(holder_.get());
}

memory_hold::~memory_hold() {
    if (!holder_)
        return;
    budget_->held_ -= holder_->bytes;
    budget_->holders_.erase(holder_.get());
}

memory_hold::memory_hold(memory_hold&& other) noexcept
    : budget_(std::move(other.budget_)), holder_(std::move(other.holder_)) {}

memory_hold& memory_hold::operator=(memory_hold&& other) noexcept {
    memory_hold old(std::move(*this));
    budget_ = std::move(other.budget_);
    holder_ = std::move(other.holder_);
    return *this;
}

bool memory_hold::resize(std::size_t bytes) {
    return !holder_ || budget_->resize(*holder_, bytes);
}

bool memory_hold::resize_without_eviction(std::size_t bytes) {
    if (!holder_)
        return true;
    bool const fits =
        bytes <= holder_->bytes ||
        budget_->held_ + bytes - holder_->bytes <= budget_->limit_;
    return fits && budget_->resize(*holder_, bytes);
}

void memory_hold::rank(eviction_rank rank, time_point since) {
    if (!holder_)
        return;
    holder_->rank = rank;
    holder_->since = since;
}

void memory_hold::on_evict(std::function<void()> callback) {
    if (holder_)
        holder_->evict = std::move(callback);
}

std::size_t memory_hold::bytes() const {
    return holder_ ? holder_->bytes : 0;
}

bool append_held(std::string& body, std::string_view part, std::size_t expected,
                 memory_hold& hold) {
    auto const needed = body.size() + part.size();
    auto const old = body.capacity();
    if (needed > old) {
        auto const next = next_capacity(needed, old, expected);
        // Both are held while the bytes are copied.
        if (!hold.resize(old + next))
            return false;
        body.reserve(next);
        if (!hold.resize(body.capacity()))
            return false;
    }
    body += part;
    return true;
}

} // namespace yuccabeam::http1
