#pragma once

#include <algorithm>
#include <cstddef>
#include <malloc.h>

namespace yuccabeam::http1 {

/// Measures the peak growth of heap use since its construction, over the
/// calls of `sample`. For tests.
class heap_watch {
public:
    void sample() { peak_ = std::max(peak_, in_use()); }
    std::size_t peak_growth() const { return peak_ - start_; }

private:
    static std::size_t in_use() {
        auto const info = mallinfo2();
        return info.uordblks + info.hblkhd;
    }

    std::size_t start_ = in_use();
    std::size_t peak_ = start_;
};

} // namespace yuccabeam::http1
