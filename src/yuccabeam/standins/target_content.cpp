#include "yuccabeam/standins/target_content.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace yuccabeam::standins {
namespace {

std::uint64_t split_mix(std::uint64_t value) {
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

/// FNV-1a.
std::uint64_t hash_of(std::string_view text) {
    std::uint64_t hash = 0xcbf29ce484222325U;
    for (unsigned char const c : text)
        hash = (hash ^ c) * 0x100000001b3U;
    return hash;
}

std::optional<std::uint64_t> number_of(std::string_view text) {
    std::uint64_t value = 0;
    auto const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return value;
}

std::optional<range_choice>
parse_range(std::string_view first, std::string_view last, std::uint64_t size) {
    range_choice const unsatisfiable{range_kind::unsatisfiable, {}};
    if (first.empty()) {
        auto const suffix = number_of(last);
        if (!suffix)
            return std::nullopt;
        if (*suffix == 0 || size == 0)
            return unsatisfiable;
        return range_choice{range_kind::part,
                            {size - std::min(*suffix, size), size}};
    }
    auto const begin = number_of(first);
    auto const end = last.empty() ? std::optional(size) : number_of(last);
    if (!begin || !end || (!last.empty() && *end < *begin))
        return std::nullopt;
    if (*begin >= size)
        return unsatisfiable;
    return range_choice{
        range_kind::part,
        {*begin, last.empty() ? size : std::min(size - 1, *end) + 1}};
}

} // namespace

std::optional<content> content_of_path(std::string_view path,
                                       std::uint64_t seed) {
    static constexpr std::string_view mark = "/bytes/";
    auto const at = path.find(mark);
    if (at == std::string_view::npos)
        return std::nullopt;
    auto const rest = path.substr(at + mark.size());
    auto const size = number_of(rest.substr(0, rest.find('/')));
    if (!size)
        return std::nullopt;
    return content{split_mix(seed) ^ hash_of(path.substr(at)), *size};
}

void fill_content(content const& what, std::uint64_t offset,
                  std::span<char> out) {
    std::size_t done = 0;
    while (done < out.size()) {
        auto const position = offset + done;
        auto const word = split_mix(what.seed ^ split_mix(position / 8));
        char bytes[sizeof word];
        std::memcpy(bytes, &word, sizeof word);
        auto const skip = static_cast<std::size_t>(position % 8);
        auto const count = std::min(sizeof word - skip, out.size() - done);
        std::memcpy(out.data() + done, bytes + skip, count);
        done += count;
    }
}

std::string etag_of(content const& what) {
    char digits[16];
    auto const end = std::to_chars(digits, digits + 16, what.seed, 16).ptr;
    return '"' + std::string(digits, end) + '-' + std::to_string(what.size) +
           '"';
}

range_choice choose_range(content const& what, std::string_view range,
                          std::string_view if_range) {
    static constexpr std::string_view unit = "bytes=";
    range_choice const whole{range_kind::whole, {0, what.size}};
    if (!range.starts_with(unit) || range.find(',') != std::string_view::npos)
        return whole;
    if (!if_range.empty() && if_range != etag_of(what))
        return whole;
    range.remove_prefix(unit.size());
    auto const dash = range.find('-');
    if (dash == std::string_view::npos)
        return whole;
    return parse_range(range.substr(0, dash), range.substr(dash + 1), what.size)
        .value_or(whole);
}

} // namespace yuccabeam::standins
