#include "yuccabeam/ctl/session.hpp"

#include "yuccabeam/adapters/json_rpc.hpp"
#include "yuccabeam/adapters/store_client.hpp"
#include "yuccabeam/config/store.hpp"
#include "yuccabeam/ctl/commands.hpp"

#include <fstream>
#include <random>
#include <sstream>
#include <utility>

namespace yuccabeam::ctl {

namespace {

using nlohmann::json;
using words = std::vector<std::string>;

constexpr std::string_view usage_text =
    R"(yuccabeamctl --settings FILE [--json] [--base REVISION] COMMAND

Commands change the configuration:
  apply FILE...      take over register and rules files; items of their kinds
                     that they don't name are removed
  import FILE...     add and change the items of the files, remove none
  put FILE KEY...    take over single items of a file, such as target/stock-1
  delete KEY...      remove items
  settle EDIT        find out whether an edit was accepted; run it after the
                     command that made the edit has ended

Queries change nothing:
  check FILE...      report every fault of the files and of the result
  diff FILE...       show what apply would change
  show               print the configuration that is accepted; apply takes
                     the printed file too
  status             what each daemon has in force and whether it is ready
  explain target ID | service ID | config | request ID
  logs explain ID FILE...
                     a request's story and the cause of its end from the
                     daemons' collected logs; needs no --settings

--base names the revision that your files start from: items that another
operator changed since then are reported as conflicts and not overwritten. A
file made by show names its revision itself.

Exit codes: 0 done, 2 fault in the input, 3 conflict, or settle found that
the edit was not accepted, 4 unknown outcome, 5 unreachable, 6 the logs have
no line on the request)";

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
    if (fault.code == fault_code::invalid_input)
        return failed(fault);
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

std::string random_edit_id(revision base) {
    std::random_device random;
    return config::make_edit_id(base,
                                (std::uint64_t{random()} << 32) | random());
}

outcome to_outcome(std::string const& text) {
    auto const answer = json::parse(text, nullptr, false);
    if (!answer.is_object() || answer.contains("error"))
        return input_fault(answer.is_object()
                               ? answer.value("error", "")
                               : "the daemon's answer is not valid");
    return {exit_code::done, answer.value("text", ""),
            answer.value("data", json())};
}

class session {
public:
    session(settings const& settings, invocation const& invocation)
        : settings_(&settings), call_(&invocation),
          store_(settings.store, {settings.timeout}) {}

    outcome apply() { return change(merged); }

    outcome import() {
        return change([](auto const& base, auto const& wanted) {
            auto next = wanted.items;
            next.insert(base.begin(), base.end());
            return next;
        });
    }

    outcome put() {
        words const keys(call_->arguments.begin() + 1, call_->arguments.end());
        return with_files({call_->arguments[0]}, [&](wanted_items const& from) {
            for (auto const& key : keys)
                if (!from.items.contains(key))
                    return input_fault("the file has no item " + key);
            return change_from(from.base, [&](auto next) {
                for (auto const& key : keys)
                    next.insert_or_assign(key, from.items.at(key));
                return next;
            });
        });
    }

    outcome remove() {
        std::string absent;
        auto const result = change_from({}, [&](auto next) {
            for (auto const& key : call_->arguments)
                if (next.erase(key) == 0)
                    absent = key;
            return absent.empty() ? std::optional(next) : std::nullopt;
        });
        return absent.empty() ? result
                              : input_fault("there is no item " + absent);
    }

    outcome settle() {
        auto const& edit = call_->arguments[0];
        auto const settled = config::settle(store_, edit, cache_);
        if (!settled)
            return failed(settled.error());
        auto const& accepted = settled.value().accepted;
        if (!accepted)
            return {exit_code::conflict,
                    "The edit was not accepted and never will be.\n",
                    {{"outcome", "not-accepted"}, {"edit", edit}}};
        return {exit_code::done,
                "The edit was accepted as revision " +
                    std::to_string(accepted->revision) + ".\n",
                {{"outcome", "accepted"}, {"revision", accepted->revision}}};
    }

    outcome check() {
        return compare([](auto const&, auto const& next) -> outcome {
            auto const faults = config::check(next);
            if (!faults.empty())
                return describe(config::invalid{faults}, "");
            return {
                exit_code::done, "No faults.\n", {{"faults", json::array()}}};
        });
    }

    outcome diff() {
        return compare([](auto const& current, auto const& next) {
            auto const operations = config::diff(current, next);
            return outcome{exit_code::done,
                           describe(operations),
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

    // Daemons may see a target differently, and only one of them knows a
    // request, so all are asked. Equal views are shown once.
    outcome ask(std::string const& method, std::string const& id) {
        std::string reason = "the settings name no daemon";
        std::optional<outcome> refused;
        std::vector<view> views;
        for (auto const& daemon : settings_->daemons) {
            auto const answer = query(daemon, method, id);
            if (!answer.answered) {
                reason = answer.text;
                continue;
            }
            auto one = to_outcome(answer.text);
            if (one.code != exit_code::done)
                refused = std::move(one);
            else
                add_view(views, daemon, std::move(one));
        }
        if (!views.empty())
            return merged_views(std::move(views));
        if (refused)
            return *refused;
        return {exit_code::unreachable,
                "No daemon answered: " + reason + "\n",
                {{"error", reason}}};
    }

    outcome status() {
        outcome out;
        out.data = json::array();
        bool any = false;
        for (auto const& daemon : settings_->daemons) {
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
    /// An answer and the daemons that gave it.
    struct view {
        std::string daemons;
        outcome answer;
    };

    // What daemons decide, without their own counts and times.
    static json decisions_of(json const& data) {
        json out = {data.value("state", ""), data.value("reason", ""),
                    data.value("revision", 0)};
        for (auto const& target : data.value("targets", json::array()))
            out.push_back(
                {target.value("state", ""), target.value("reason", "")});
        return out;
    }

    static void add_view(std::vector<view>& views, std::string const& daemon,
                         outcome answer) {
        for (auto& known : views)
            if (decisions_of(known.answer.data) == decisions_of(answer.data)) {
                known.daemons += ", " + daemon;
                return;
            }
        views.push_back({daemon, std::move(answer)});
    }

    static outcome merged_views(std::vector<view> views) {
        if (views.size() == 1)
            return std::move(views.front().answer);
        outcome out;
        out.data = json::array();
        out.text = "The daemons see it differently.\n";
        for (auto& one : views) {
            out.text += "\nAt " + one.daemons + ":\n" + one.answer.text;
            out.data.push_back({{"daemons", one.daemons},
                                {"data", std::move(one.answer.data)}});
        }
        return out;
    }

    adapters::json_rpc_result query(std::string const& address,
                                    std::string const& method,
                                    std::string const& id) const {
        return adapters::call_json_rpc("http://" + address, method, id,
                                       settings_->timeout.count());
    }

    template <class Use>
    outcome with_files(words const& files, Use use) {
        wanted_items wanted;
        std::vector<json_fault> faults;
        for (auto const& path : files) {
            auto const text = read_file(path);
            if (!text)
                return input_fault("cannot read " + path);
            std::vector<json_fault> in_file;
            if (auto parsed = parse_items(*text, in_file))
                add(std::move(*parsed), wanted, in_file);
            for (auto& fault : in_file)
                faults.push_back(
                    {path + fault.path, fault.expected, fault.found});
        }
        if (!faults.empty())
            return describe(config::invalid{faults}, "");
        return use(wanted);
    }

    template <class Next>
    outcome change(Next next) {
        return with_files(call_->arguments, [&](wanted_items const& wanted) {
            return change_from(wanted.base, [&](auto const& base) {
                return next(base, wanted);
            });
        });
    }

    template <class Compare>
    outcome compare(Compare compare) {
        return with_files(call_->arguments,
                          [&](wanted_items const& wanted) -> outcome {
                              auto const seen = read_base(wanted.base);
                              if (!seen)
                                  return unreadable(seen.error());
                              auto const& items = seen.value().items;
                              return compare(items, merged(items, wanted));
                          });
    }

    result<config::stored_configuration>
    read_base(std::optional<revision> of_file) {
        auto const base = call_->base ? call_->base : of_file;
        return base ? config::read_revision(store_, *base, cache_)
                    : config::read_configuration(store_, cache_);
    }

    /// Publishes what `next` makes of the operator's base. Publishes nothing
    /// when it gives nothing.
    template <class Next>
    outcome change_from(std::optional<revision> of_file, Next next) {
        auto const seen = read_base(of_file);
        if (!seen)
            return unreadable(seen.error());
        std::optional<config::item_map> const items = next(seen.value().items);
        if (!items)
            return {};
        config::edit edit;
        edit.id = random_edit_id(seen.value().head.value.revision);
        edit.author = settings_->author;
        edit.operations = config::diff(seen.value().items, *items);
        if (call_->announce_edit)
            call_->announce_edit(edit.id);
        return describe(config::publish(store_, edit, cache_), edit.id);
    }

    settings const* settings_;
    invocation const* call_;
    adapters::store_client store_;
    config::chunk_map cache_;
};

bool is_explained(std::string const& kind) {
    return kind == "target" || kind == "service" || kind == "request";
}

} // namespace

std::string_view usage() {
    return usage_text;
}

outcome run(settings const& settings, invocation const& invocation) {
    session session(settings, invocation);
    auto const& [command, arguments, base, announce] = invocation;
    auto const count = arguments.size();
    if (command == "apply" && count > 0)
        return session.apply();
    if (command == "import" && count > 0)
        return session.import();
    if (command == "put" && count > 1)
        return session.put();
    if (command == "delete" && count > 0)
        return session.remove();
    if (command == "settle" && count == 1)
        return session.settle();
    if (command == "check" && count > 0)
        return session.check();
    if (command == "diff" && count > 0)
        return session.diff();
    if (command == "show" && count == 0)
        return session.show();
    if (command == "status" && count == 0)
        return session.status();
    if (command == "explain" && count == 1 && arguments[0] == "config")
        return session.ask("explain_config", "");
    if (command == "explain" && count == 2 && is_explained(arguments[0]))
        return session.ask("explain_" + arguments[0], arguments[1]);
    return input_fault("wrong command or arguments\n\n" +
                       std::string(usage_text));
}

} // namespace yuccabeam::ctl
