#pragma once

#include "yuccabeam/values/json_reader.hpp"

#include <string_view>
#include <variant>
#include <vector>

namespace yuccabeam {

/// Reads a JSON document into a value, or returns all faults found in it.
///
/// @param read  called as `read(reader, value)` for the document's object
template <class Value, class Read>
std::variant<Value, std::vector<json_fault>>
read_document(std::string_view text, Read read) {
    std::vector<json_fault> faults;
    auto const document = parse_json(text, faults);
    if (!document)
        return faults;
    Value out;
    json_reader reader(*document, "", faults);
    read(reader, out);
    reader.finish();
    if (!faults.empty())
        return faults;
    return out;
}

} // namespace yuccabeam
