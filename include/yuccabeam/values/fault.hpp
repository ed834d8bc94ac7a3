#pragma once

#include <boost/outcome/result.hpp>
#include <string>
#include <utility>

namespace yuccabeam {

enum class fault_code {
    invalid_input,  ///< the caller passed invalid data
    conflict,       ///< a concurrent writer changed the data first
    unknown_effect, ///< an operation may or may not have taken effect
    unreachable,    ///< the peer did not respond
    not_found,
    rejected ///< the peer refused the request
};

/// Error value carried by `result`.
struct fault {
    fault_code code = fault_code::invalid_input;
    std::string message;

    bool operator==(fault const&) const = default;
};

/// A value or a `fault`.
template <class T>
using result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, fault, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

inline fault make_fault(fault_code code, std::string message) {
    return fault{code, std::move(message)};
}

} // namespace yuccabeam
