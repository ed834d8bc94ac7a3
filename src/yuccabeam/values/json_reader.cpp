#include "yuccabeam/values/json_reader.hpp"

#include "yuccabeam/values/ip_address.hpp"

#include <algorithm>

namespace yuccabeam {

namespace {

constexpr std::size_t max_brief_length = 60;

// Escapes a field name for a JSON pointer (RFC 6901).
std::string pointer_token(std::string_view name) {
    std::string token;
    for (char c : name) {
        if (c == '~')
            token += "~0";
        else if (c == '/')
            token += "~1";
        else
            token += c;
    }
    return token;
}

std::string describe_range(integer_range range) {
    auto const limit = std::numeric_limits<std::int64_t>::max();
    if (range.highest == limit)
        return "an integer of at least " + std::to_string(range.lowest);
    return "an integer from " + std::to_string(range.lowest) + " to " +
           std::to_string(range.highest);
}

// Returns the offset of the first bracket that exceeds `max_json_depth`, or the
// size of the text if there is none. Ignores brackets in strings.
std::size_t find_excess_nesting(std::string_view text) {
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        char const c = text[at];
        if (c == '"')
            in_string = !in_string;
        else if (in_string && c == '\\')
            ++at;
        else if (in_string)
            continue;
        else if ((c == '[' || c == '{') && ++depth > max_json_depth)
            return at;
        else if ((c == ']' || c == '}') && depth > 0)
            --depth;
    }
    return text.size();
}

} // namespace

std::string brief(nlohmann::json const& value) {
    std::string text = value.dump();
    if (text.size() > max_brief_length)
        text = text.substr(0, max_brief_length) + "…";
    return text;
}

std::string describe(std::vector<json_fault> const& faults) {
    std::string text;
    for (auto const& fault : faults)
        text.append(fault.path.empty() ? "/" : fault.path)
            .append(": expected ")
            .append(fault.expected)
            .append(", found ")
            .append(fault.found)
            .append("\n");
    return text;
}

std::optional<nlohmann::json> parse_json(std::string_view text,
                                         std::vector<json_fault>& faults) {
    if (auto const at = find_excess_nesting(text); at < text.size()) {
        faults.push_back(
            {"",
             "at most " + std::to_string(max_json_depth) + " levels of nesting",
             "more at byte " + std::to_string(at)});
        return std::nullopt;
    }
    try {
        return nlohmann::json::parse(text);
    } catch (nlohmann::json::parse_error const& error) {
        faults.push_back(
            {"", "valid JSON",
             "a syntax error at byte " + std::to_string(error.byte)});
    } catch (nlohmann::json::exception const&) {
        // The parser reports a number such as 1e400 as out of range, not as a
        // syntax error.
        faults.push_back({"", "numbers that fit a double", "a larger one"});
    }
    return std::nullopt;
}

json_reader::json_reader(nlohmann::json const& object, std::string path,
                         std::vector<json_fault>& faults)
    : object_(&object), path_(std::move(path)), faults_(&faults) {
    if (!object.is_object())
        faults_->push_back({path_, "an object", brief(object)});
}

std::string json_reader::field_path(std::string_view name) const {
    return path_ + "/" + pointer_token(name);
}

void json_reader::add_fault(std::string_view name, std::string expected,
                            std::string found) {
    faults_->push_back(
        {field_path(name), std::move(expected), std::move(found)});
}

bool json_reader::has(std::string_view name) const {
    return object_->is_object() && object_->contains(name);
}

nlohmann::json const* json_reader::find(std::string_view name, bool required,
                                        std::string_view expected) {
    known_.emplace_back(name);
    if (!object_->is_object())
        return nullptr;
    auto const field = object_->find(name);
    if (field != object_->end())
        return &*field;
    if (required)
        add_fault(name, std::string(expected), "nothing");
    return nullptr;
}

std::string json_reader::string(std::string_view name) {
    auto const* field = find(name, true, "a string");
    if (!field)
        return {};
    if (field->is_string() && !field->get_ref<std::string const&>().empty())
        return field->get<std::string>();
    add_fault(name, "a string that is not empty", brief(*field));
    return {};
}

std::string json_reader::string_or(std::string_view name,
                                   std::string fallback) {
    auto const* field = find(name, false, "a string");
    if (!field)
        return fallback;
    if (field->is_string())
        return field->get<std::string>();
    add_fault(name, "a string", brief(*field));
    return fallback;
}

std::int64_t json_reader::integer(std::string_view name, integer_range range) {
    if (!has(name)) {
        find(name, true, describe_range(range));
        return range.lowest;
    }
    return integer_or(name, range.lowest, range);
}

std::int64_t json_reader::integer_or(std::string_view name,
                                     std::int64_t fallback,
                                     integer_range range) {
    auto const* field = find(name, false, "an integer");
    if (!field)
        return fallback;
    bool const fits = field->is_number_integer() &&
                      !(field->is_number_unsigned() &&
                        field->get<std::uint64_t>() > INT64_MAX);
    if (fits) {
        auto const value = field->get<std::int64_t>();
        if (value >= range.lowest && value <= range.highest)
            return value;
    }
    add_fault(name, describe_range(range), brief(*field));
    return fallback;
}

double json_reader::number(std::string_view name, double lowest,
                           double highest) {
    if (!has(name)) {
        find(name, true, "a number");
        return lowest;
    }
    return number_or(name, lowest, lowest, highest);
}

double json_reader::number_or(std::string_view name, double fallback,
                              double lowest, double highest) {
    auto const* field = find(name, false, "a number");
    if (!field)
        return fallback;
    if (field->is_number()) {
        auto const value = field->get<double>();
        if (value >= lowest && value <= highest)
            return value;
    }
    add_fault(name,
              "a number from " + nlohmann::json(lowest).dump() + " to " +
                  nlohmann::json(highest).dump(),
              brief(*field));
    return fallback;
}

bool json_reader::boolean_or(std::string_view name, bool fallback) {
    auto const* field = find(name, false, "true or false");
    if (!field)
        return fallback;
    if (field->is_boolean())
        return field->get<bool>();
    add_fault(name, "true or false", brief(*field));
    return fallback;
}

std::string json_reader::ip_address(std::string_view name) {
    constexpr std::string_view expected = "an IP address and port, `IP:port`";
    auto const* field = find(name, true, expected);
    if (!field)
        return {};
    if (field->is_string() &&
        parse_ip_address(field->get_ref<std::string const&>()))
        return field->get<std::string>();
    add_fault(name, std::string(expected), brief(*field));
    return {};
}

std::vector<std::string> json_reader::strings_or(std::string_view name) {
    std::vector<std::string> values;
    auto const* field = find(name, false, "an array of strings");
    if (!field)
        return values;
    bool valid = field->is_array();
    for (auto const& element : *field) {
        valid = valid && element.is_string();
        if (valid)
            values.push_back(element.get<std::string>());
    }
    if (!valid)
        add_fault(name, "an array of strings", brief(*field));
    return values;
}

void json_reader::finish() {
    if (!object_->is_object())
        return;
    for (auto const& [name, value] : object_->items())
        if (std::find(known_.begin(), known_.end(), name) == known_.end())
            add_fault(name, "no such field", brief(value));
}

} // namespace yuccabeam
