#pragma once

#include "yuccabeam/gateway/formats.hpp"
#include "yuccabeam/values/traffic.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Checks of a configuration before it is sent. No input or output, and no
/// finding shows a key.
namespace yuccabeam::gateway {

enum class finding_kind : std::uint8_t {
    error,   ///< daemons reject the configuration or an entry, or serve nothing
             ///< by an entry
    warning, ///< most likely not meant
    change   ///< differs from the configuration in force
};

std::string_view to_string(finding_kind kind);

struct policy_finding {
    finding_kind kind = finding_kind::error;
    std::string where; ///< the entry, such as `route r`
    std::string what;

    bool operator==(policy_finding const&) const = default;
};

using policy_findings = std::vector<policy_finding>;

/// What is wrong with a configuration by itself.
policy_findings check_policy(traffic_policy const& policy);

/// What a configuration changes, and whether daemons that run the one in force
/// apply it.
policy_findings compare_policies(traffic_policy const& in_force,
                                 traffic_policy const& policy);

/// All findings on the text of a configuration. `in_force` is null if the one
/// in force is not given.
policy_findings check_policy_texts(content_format const& format,
                                   std::string const& text,
                                   std::string const* in_force);

/// One line for each finding.
std::string describe(policy_findings const& findings);
bool has_errors(policy_findings const& findings);

} // namespace yuccabeam::gateway
