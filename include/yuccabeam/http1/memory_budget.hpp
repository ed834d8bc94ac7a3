#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

namespace yuccabeam::http1 {

/// Limits the bytes that the message bodies of a process hold together. Not
/// thread-safe: use it only from the thread of its event loop.
///
/// When a body needs more than is left, the largest one that can be evicted
/// ends; if that is the growing body itself, it must end. So one peer that
/// sends without end can't take the memory of the other exchanges.
class memory_budget {
public:
    explicit memory_budget(std::size_t limit) : limit_(limit) {}

    std::size_t limit() const { return limit_; }
    std::size_t held() const { return held_; }
    std::size_t peak() const { return peak_; } ///< largest `held` so far
    std::uint64_t evictions() const { return evictions_; }
    /// Bodies that ended because they could not grow.
    std::uint64_t refusals() const { return refusals_; }

private:
    friend class memory_hold;

    struct holder {
        std::size_t bytes = 0;
        std::function<void()> evict;
    };

    bool resize(holder& of, std::size_t bytes);
    holder* largest_evictable(holder const& except) const;

    std::size_t limit_;
    std::size_t held_ = 0;
    std::size_t peak_ = 0;
    std::uint64_t evictions_ = 0;
    std::uint64_t refusals_ = 0;
    std::unordered_set<holder*> holders_;
};

/// The part of a budget that one body holds; released on destruction.
class memory_hold {
public:
    /// Holds bytes of no budget, without a limit.
    memory_hold() = default;
    explicit memory_hold(std::shared_ptr<memory_budget> budget);
    ~memory_hold();
    memory_hold(memory_hold&& other) noexcept;
    memory_hold& operator=(memory_hold&& other) noexcept;

    /// Changes the number of bytes held. Returns false if the budget has no
    /// room; the body must end then.
    bool resize(std::size_t bytes);
    /// Sets the callback that gives the bytes back when a smaller body needs
    /// them; without one the body is kept. It is called once, during another
    /// body's `resize`, and must not destroy that body.
    void on_evict(std::function<void()> callback);
    std::size_t bytes() const;

private:
    std::shared_ptr<memory_budget> budget_;
    std::unique_ptr<memory_budget::holder> holder_;
};

/// Appends a part to a body whose memory is held by `hold`. `expected` is the
/// size of the whole body, or 0 if it isn't known. Returns false if the budget
/// has no room.
bool append_held(std::string& body, std::string_view part, std::size_t expected,
                 memory_hold& hold);

} // namespace yuccabeam::http1
