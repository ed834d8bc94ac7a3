#pragma once

#include <boost/outcome/result.hpp>
#include <string>
#include <utility>

namespace yuccabeam {

enum class fault_code {
    invalid_input,  ///< the caller of the function gave wrong data
    conflict,       ///< another writer changed the same thing first
    unknown_effect, ///< an operation may or may not have taken effect
    unreachable,    ///< the other side did not answer
    not_found,
    rejected ///< the other side answered with a refusal
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
