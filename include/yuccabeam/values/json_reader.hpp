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

/// One line for each fault: path, expected, found.
std::string describe(std::vector<json_fault> const& faults);

/// Range of an integer field, both ends included.
struct integer_range {
    std::int64_t lowest = std::numeric_limits<std::int64_t>::min();
    std::int64_t highest = std::numeric_limits<std::int64_t>::max();
};

/// Strict reader of one JSON object.
///
/// Collects every fault instead of stopping at the first one. Each read
/// field is marked; `finish()` reports the fields that nobody read.
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

    /// Required fields. A missing or wrong field adds a fault and gives an
    /// empty value.
    std::string string(std::string_view name);
    std::int64_t integer(std::string_view name, integer_range range = {});
    double number(std::string_view name, double lowest, double highest);

    /// Optional fields with a default.
    std::string string_or(std::string_view name, std::string fallback);
    std::int64_t integer_or(std::string_view name, std::int64_t fallback,
                            integer_range range = {});
    double number_or(std::string_view name, double fallback, double lowest,
                     double highest);
    bool boolean_or(std::string_view name, bool fallback);

    /// Field with one of the given words.
    template <class Enum>
    Enum word_or(std::string_view name, Enum fallback,
                 std::vector<std::pair<std::string_view, Enum>> const& words);

    /// Address of the form `IP:port`; names are refused because a look-up
    /// would block.
    std::string ip_address(std::string_view name);

    /// Calls `read(reader)` for the object field, when it is there.
    template <class Read>
    void object_or(std::string_view name, Read read);

    /// Calls `read(reader)` for each object of an array field. A missing
    /// array is empty.
    template <class Read>
    void objects(std::string_view name, Read read);

    /// Calls `read(json, path)` for each element of an array field.
    std::vector<std::string> strings_or(std::string_view name);

    bool has(std::string_view name) const;
    std::string const& path() const { return path_; }

    /// Adds a fault about this object's field.
    void add_fault(std::string_view name, std::string expected,
                   std::string found);

    /// Reports unknown fields.
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

/// Levels of nesting that a document may have. Values are written by
/// recursion, which ends the process on a deep one.
constexpr std::size_t max_json_depth = 64;

/// Parses JSON text. A syntax error or too deep nesting becomes a fault at its
/// byte offset, and so does a number that doesn't fit.
std::optional<nlohmann::json> parse_json(std::string_view text,
                                         std::vector<json_fault>& faults);

/// Short text form of a JSON value for messages.
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
