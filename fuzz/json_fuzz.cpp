// Parsers of the asset register, the rules and the membership settings.

#include "yuccabeam/membership/options.hpp"
#include "yuccabeam/values/json_reader.hpp"
#include "yuccabeam/values/snapshot.hpp"

#include <cstdint>
#include <string_view>

using namespace yuccabeam;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size) {
    std::vector<json_fault> faults;
    auto const document =
        parse_json({reinterpret_cast<char const*>(data), size}, faults);
    if (!document)
        return 0;
    json_reader reg_reader(*document, "", faults);
    auto const reg = parse_asset_register(reg_reader);
    reg_reader.finish();
    json_reader rules_reader(*document, "", faults);
    auto const parsed_rules = parse_rules(rules_reader);
    rules_reader.finish();
    json_reader options_reader(*document, "", faults);
    (void)membership::parse_options(options_reader);
    (void)check(reg, parsed_rules);
    (void)describe(faults);
    return 0;
}
