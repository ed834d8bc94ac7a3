#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <ctime>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace yuccabeam::bench {

/// Processor time of this process.
inline double processor_seconds() {
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) * 1e-9;
}

/// Prints the processor time of one operation as a JSON line: the median of
/// seven rounds, so that one disturbed round doesn't count.
///
/// @param operation takes the number of the operation, returns a number that
///     keeps the compiler from leaving it out
template <class Operation>
void report(std::string const& name, std::size_t operations,
            Operation operation) {
    constexpr int round_count = 7;
    std::vector<double> rounds;
    std::uint64_t check = 0;
    for (int round = 0; round < round_count; ++round) {
        auto const start = processor_seconds();
        for (std::size_t i = 0; i < operations; ++i)
            check += operation(i);
        rounds.push_back((processor_seconds() - start) * 1e9 /
                         static_cast<double>(operations));
    }
    std::ranges::sort(rounds);
    nlohmann::json const line = {{"operation", name},
                                 {"operations", operations},
                                 {"ns_median", rounds[round_count / 2]},
                                 {"ns_worst", rounds.back()},
                                 {"check", check}};
    std::cout << line.dump() << "\n";
}

} // namespace yuccabeam::bench
