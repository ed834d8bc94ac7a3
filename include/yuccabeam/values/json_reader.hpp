#pragma once

#include "yuccabeam/values/fault.hpp"
#include "yuccabeam/values/time.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccabeam {

/// One fault in a JSON document.
struct json_fault {
    std::string path; ///< JSON pointer, such as `/targets/3/address`
    std::string expected;
    std::string found;

    bool operator==(json_fault const&) const = default;
};

/// Formats the faults, one per line, as path, expected and found.
std::string describe(std::vector<json_fault> const& faults);

/// Inclusive range of an integer field.
struct integer_range {
    std::int64_t lowest = std::numeric_limits<std::int64_t>::min();
    std::int64_t highest = std::numeric_limits<std::int64_t>::max();
};

/// Strict reader of one JSON object.
///
/// Collects every fault instead of stopping at the first one. Each field that
/// is read is marked as known; `finish()` reports the others.
///
/// @code
/// std::vector<json_fault> faults;
/// json_reader reader(document, "", faults);
/// auto port = reader.integer("port", {1, 65535});
/// reader.finish();
/// @endcode
class json_reader {
public:
    json_reader(nlohmann::json const& object, std::string path,
                std::vector<json_fault>& faults);

    /// Required fields. A missing or invalid field adds a fault; the result
    /// is then an empty string or the lowest allowed number.
    std::string string(std::string_view name);
    std::int64_t integer(std::string_view name, integer_range range = {});
    double number(std::string_view name, double lowest, double highest);

    /// Optional fields with a default. An invalid field adds a fault and
    /// yields the default.
    std::string string_or(std::string_view name, std::string fallback);
    std::int64_t integer_or(std::string_view name, std::int64_t fallback,
                            integer_range range = {});
    double number_or(std::string_view name, double fallback, double lowest,
                     double highest);
    bool boolean_or(std::string_view name, bool fallback);

    /// Optional enumeration field, written as one of `words`.
    template <class Enum>
    Enum word_or(std::string_view name, Enum fallback,
                 std::vector<std::pair<std::string_view, Enum>> const& words);

    /// Required address of the form `IP:port`. Host names are rejected because
    /// resolving them would block.
    std::string ip_address(std::string_view name);

    /// Calls `read(reader)` for an optional object field if it is present.
    template <class Read>
    void object_or(std::string_view name, Read read);

    /// Calls `read(reader)` for each object of an array field. A missing
    /// array is treated as empty.
    template <class Read>
    void objects(std::string_view name, Read read);

    /// Optional array of strings; empty if the field is missing.
    std::vector<std::string> strings_or(std::string_view name);

    bool has(std::string_view name) const;
    std::string const& path() const { return path_; }

    /// Adds a fault for the field `name` of this object.
    void add_fault(std::string_view name, std::string expected,
                   std::string found);

    /// Adds a fault for each field that was not read.
    void finish();

private:
    nlohmann::json const* find(std::string_view name, bool required,
                               std::string_view expected);
    std::string field_path(std::string_view name) const;

    nlohmann::json const* object_;
    std::string path_;
    std::vector<json_fault>* faults_;
    std::vector<std::string> known_;
};

/// Maximum nesting depth of a document. Values are serialized recursively, so
/// a deeply nested one would overflow the stack.
constexpr std::size_t max_json_depth = 64;

/// Parses JSON text. A syntax error or excessive nesting adds a fault with its
/// byte offset; a number that doesn't fit a double adds a fault without one.
std::optional<nlohmann::json> parse_json(std::string_view text,
                                         std::vector<json_fault>& faults);

/// Serializes a JSON value for messages and truncates long text.
std::string brief(nlohmann::json const& value);

template <class Enum>
Enum json_reader::word_or(
    std::string_view name, Enum fallback,
    std::vector<std::pair<std::string_view, Enum>> const& words) {
    std::string expected = "one of";
    for (auto const& word : words)
        expected.append(" ").append(word.first);
    auto const* field = find(name, false, expected);
    if (!field)
        return fallback;
    for (auto const& [text, value] : words)
        if (field->is_string() && field->get_ref<std::string const&>() == text)
            return value;
    add_fault(name, expected, brief(*field));
    return fallback;
}

template <class Read>
void json_reader::object_or(std::string_view name, Read read) {
    auto const* field = find(name, false, "an object");
    if (!field)
        return;
    json_reader inner(*field, field_path(name), *faults_);
    if (!field->is_object())
        return;
    read(inner);
    inner.finish();
}

template <class Read>
void json_reader::objects(std::string_view name, Read read) {
    auto const* field = find(name, false, "an array");
    if (!field)
        return;
    if (!field->is_array()) {
        add_fault(name, "an array of objects", brief(*field));
        return;
    }
    for (std::size_t i = 0; i < field->size(); ++i) {
        json_reader inner((*field)[i],
                          field_path(name) + "/" + std::to_string(i), *faults_);
        if (!(*field)[i].is_object())
            continue;
        read(inner);
        inner.finish();
    }
}

} // namespace yuccabeam
