#include "yuccabeam/adapters/json_rpc.hpp"
#include "yuccabeam/adapters/store_client.hpp"
#include "yuccabeam/config/store.hpp"
#include "yuccabeam/ctl/commands.hpp"
#include "yuccabeam/ctl/settings.hpp"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <random>
#include <sstream>

DEFINE_string(settings, "", "settings file (JSON)");
DEFINE_bool(json, false, "print JSON for programs");

namespace {

using namespace yuccabeam;
using ctl::exit_code;
using ctl::outcome;
using nlohmann::json;

using words = std::vector<std::string>;

constexpr char const* usage =
    R"(yuccabeamctl --settings FILE [--json] COMMAND

Commands change the configuration:
  apply FILE...      take over register and rules files
  import FILE        the same for one register file
  put FILE KEY...    take over single items of a file, such as target/stock-1
  delete KEY...      remove items
  settle EDIT        find out whether an edit was accepted

Queries change nothing:
  check FILE...      report every fault of the files and of the result
  diff FILE...       show what apply would change
  show               print the configuration that is accepted
  status             what each daemon has in force and whether it is ready
  explain target ID | service ID | config | request ID

Exit codes: 0 done, 2 fault in the input, 3 conflict, 4 unknown outcome,
5 unreachable)";

outcome input_fault(std::string text) {
    return {exit_code::input_fault, text + "\n", {{"error", text}}};
}

outcome failed(fault const& fault) {
    auto const code =
        fault.code == fault_code::invalid_input    ? exit_code::input_fault
        : fault.code == fault_code::unknown_effect ? exit_code::unknown
                                                   : exit_code::unreachable;
    return {code, fault.message + "\n", {{"error", fault.message}}};
}

// Reading leaves nothing in doubt.
outcome unreadable(fault const& fault) {
    return {exit_code::unreachable,
            "The store can't be read: " + fault.message + "\n",
            {{"error", fault.message}}};
}

std::optional<std::string> read_file(std::string const& path) {
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// One invocation.
class session {
public:
    explicit session(ctl::settings settings)
        : settings_(std::move(settings)),
          store_(settings_.store, {settings_.timeout}) {}

    outcome apply(words const& files) {
        return change(files, [](auto const& current, auto const& wanted) {
            return ctl::merged(current, wanted);
        });
    }

    outcome put(words const& arguments) {
        words const files(arguments.begin(), arguments.begin() + 1);
        return change(files, [&](auto const& current, auto const& wanted) {
            auto next = current;
            for (std::size_t i = 1; i < arguments.size(); ++i)
                if (auto const item = wanted.items.find(arguments[i]);
                    item != wanted.items.end())
                    next.insert_or_assign(item->first, item->second);
            return next;
        });
    }

    outcome remove(words const& keys) {
        auto const current = config::read_configuration(store_, cache_);
        if (!current)
            return unreadable(current.error());
        auto next = current.value().items;
        for (auto const& key : keys)
            if (next.erase(key) == 0)
                return input_fault("there is no item " + key);
        return publish(current.value(), next);
    }

    outcome settle(std::string const& edit) {
        auto const settled = config::settle(store_, edit, cache_);
        if (!settled)
            return failed(settled.error());
        auto const& accepted = settled.value().accepted;
        if (!accepted)
            return {exit_code::done,
                    "The edit was not accepted and never will be.\n",
                    {{"outcome", "not-accepted"}, {"edit", edit}}};
        return {exit_code::done,
                "The edit was accepted as revision " +
                    std::to_string(accepted->revision) + ".\n",
                {{"outcome", "accepted"}, {"revision", accepted->revision}}};
    }

    outcome check(words const& files) {
        return compare(files, [](auto const&, auto const& next) -> outcome {
            auto const faults = config::check(next);
            if (!faults.empty())
                return ctl::describe(config::invalid{faults}, "");
            return {
                exit_code::done, "No faults.\n", {{"faults", json::array()}}};
        });
    }

    outcome diff(words const& files) {
        return compare(files, [](auto const& current, auto const& next) {
            auto const operations = config::diff(current, next);
            return outcome{exit_code::done,
                           ctl::describe(operations),
                           {{"operations", operations.size()}}};
        });
    }

    outcome show() {
        auto const current = config::read_configuration(store_, cache_);
        if (!current)
            return unreadable(current.error());
        auto const& head = current.value().head.value;
        auto const whole =
            config::assemble(current.value().items, head.revision);
        json const data = {{"revision", head.revision},
                           {"register", whole.asset_register},
                           {"rules", whole.rules}};
        return {exit_code::done, data.dump(2) + "\n", data};
    }

    // The first daemon that answers speaks.
    outcome ask(std::string const& method, std::string const& id) {
        std::string reason = "the settings name no daemon";
        for (auto const& daemon : settings_.daemons) {
            auto const answer = query(daemon, method, id);
            if (answer.answered)
                return to_outcome(answer.text);
            reason = answer.text;
        }
        return {exit_code::unreachable,
                "No daemon answered: " + reason + "\n",
                {{"error", reason}}};
    }

    outcome status() {
        outcome out;
        out.data = json::array();
        bool any = false;
        for (auto const& daemon : settings_.daemons) {
            auto const answer = query(daemon, "status", "");
            any = any || answer.answered;
            if (!answer.answered) {
                out.text += "Daemon at " + daemon +
                            " does not answer: " + answer.text + "\n";
                out.data.push_back({{"address", daemon}, {"reached", false}});
                continue;
            }
            auto const one = to_outcome(answer.text);
            out.text += one.text;
            out.data.push_back(one.data);
        }
        if (!any)
            out.code = exit_code::unreachable;
        return out;
    }

private:
    adapters::json_rpc_result query(std::string const& address,
                                    std::string const& method,
                                    std::string const& id) const {
        return adapters::call_json_rpc("http://" + address, method, id,
                                       settings_.timeout.count());
    }

    static outcome to_outcome(std::string const& text) {
        auto const answer = json::parse(text, nullptr, false);
        if (!answer.is_object() || answer.contains("error"))
            return input_fault(answer.is_object()
                                   ? answer.value("error", "")
                                   : "the daemon's answer is not valid");
        return {exit_code::done, answer.value("text", ""),
                answer.value("data", json())};
    }

    template <class Next>
    outcome change(words const& files, Next next) {
        return with_files(files, [&](auto const& current, auto const& wanted) {
            return publish(current, next(current.items, wanted));
        });
    }

    template <class Compare>
    outcome compare(words const& files, Compare compare) {
        return with_files(files, [&](auto const& current, auto const& wanted) {
            return compare(current.items, ctl::merged(current.items, wanted));
        });
    }

    template <class Use>
    outcome with_files(words const& files, Use use) {
        ctl::wanted_items wanted;
        std::vector<json_fault> faults;
        for (auto const& path : files) {
            auto const text = read_file(path);
            if (!text)
                return input_fault("cannot read " + path);
            std::vector<json_fault> in_file;
            if (auto parsed = ctl::parse_items(*text, in_file)) {
                wanted.items.merge(parsed->items);
                wanted.has_register |= parsed->has_register;
                wanted.has_rules |= parsed->has_rules;
            }
            for (auto& fault : in_file)
                faults.push_back(
                    {path + fault.path, fault.expected, fault.found});
        }
        if (!faults.empty())
            return ctl::describe(config::invalid{faults}, "");
        auto const current = config::read_configuration(store_, cache_);
        if (!current)
            return unreadable(current.error());
        return use(current.value(), wanted);
    }

    outcome publish(config::stored_configuration const& current,
                    config::item_map const& next) {
        config::edit edit;
        std::random_device random;
        edit.id =
            config::make_edit_id(current.head.value.revision,
                                 (std::uint64_t{random()} << 32) | random());
        edit.author = settings_.author;
        edit.operations = config::diff(current.items, next);
        return ctl::describe(config::publish(store_, edit, cache_), edit.id);
    }

    ctl::settings settings_;
    adapters::store_client store_;
    config::chunk_map cache_;
};

outcome run(session& session, std::string const& command,
            words const& arguments) {
    auto const count = arguments.size();
    if (command == "apply" && count > 0)
        return session.apply(arguments);
    if (command == "import" && count == 1)
        return session.apply(arguments);
    if (command == "put" && count > 1)
        return session.put(arguments);
    if (command == "delete" && count > 0)
        return session.remove(arguments);
    if (command == "settle" && count == 1)
        return session.settle(arguments[0]);
    if (command == "check" && count > 0)
        return session.check(arguments);
    if (command == "diff" && count > 0)
        return session.diff(arguments);
    if (command == "show" && count == 0)
        return session.show();
    if (command == "status" && count == 0)
        return session.status();
    if (command == "explain" && count == 1 && arguments[0] == "config")
        return session.ask("explain_config", "");
    if (command == "explain" && count == 2 &&
        (arguments[0] == "target" || arguments[0] == "service" ||
         arguments[0] == "request"))
        return session.ask("explain_" + arguments[0], arguments[1]);
    return input_fault(std::string("wrong command or arguments\n\n") + usage);
}

int finish(outcome const& result) {
    auto& out = result.code == exit_code::done ? std::cout : std::cerr;
    if (FLAGS_json)
        std::cout << result.data.dump() << "\n";
    else
        out << result.text;
    return static_cast<int>(result.code);
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc < 2)
        return finish(input_fault(usage));
    auto const text = read_file(FLAGS_settings);
    if (!text)
        return finish(input_fault("cannot read --settings " + FLAGS_settings));
    auto const parsed = ctl::parse_settings(*text);
    if (auto const* faults = std::get_if<std::vector<json_fault>>(&parsed))
        return finish(input_fault("settings " + FLAGS_settings + ":\n" +
                                  describe(*faults)));
    session session(std::get<ctl::settings>(parsed));
    return finish(run(session, argv[1], words(argv + 2, argv + argc)));
}
