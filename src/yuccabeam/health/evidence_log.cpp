#include "evidence_log.hpp"

#include <algorithm>

namespace yuccabeam::health {

evidence_log::evidence_log(std::size_t targets, std::size_t kinds)
    : kinds_(kinds), ring_(64), open_(targets * kinds, 0) {}

evidence_cell& evidence_log::at(std::uint32_t target, std::uint32_t kind,
                                std::uint64_t window) {
    auto& number = open_[target * kinds_ + kind];
    if (number >= first_number_ && number > 0) {
        auto& cell = (*this)[number - first_number_];
        if (cell.window == window)
            return cell;
    }
    if (size_ == ring_.size())
        grow();
    number = first_number_ + size_;
    ++size_;
    auto& cell = (*this)[size_ - 1];
    cell = {};
    cell.target = target;
    cell.kind = kind;
    cell.window = window;
    return cell;
}

void evidence_log::expire(std::uint64_t oldest) {
    while (size_ > 0 && ring_[head_].window < oldest) {
        head_ = (head_ + 1) % ring_.size();
        --size_;
        ++first_number_;
    }
}

void evidence_log::grow() {
    std::rotate(ring_.begin(),
                ring_.begin() + static_cast<std::ptrdiff_t>(head_),
                ring_.end());
    head_ = 0;
    ring_.resize(ring_.size() * 2);
}

} // namespace yuccabeam::health
