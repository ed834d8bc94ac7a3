#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccabeam::adapters {

struct log_options {
    std::string level = "info"; ///< debug, info, warn or error
    std::string file;           ///< empty: standard error
};

/// Sets up logging once, before the first line.
void start_logging(log_options const& options);

enum class log_level { info, warn, error };

using log_fields = std::vector<std::pair<std::string_view, std::string>>;

/// Writes one line `event=... key=value ...`. Lines tell changes of state;
/// single requests are counted in metrics instead.
void log_change(log_level level, std::string_view component,
                std::string_view event, log_fields const& fields = {});

} // namespace yuccabeam::adapters
