#include <Utilities/fulmarctl/ExplainCommand.h>

#include <LibControl/JsonText.h>
#include <LibModel/Error.h>
#include <Utilities/fulmarctl/Table.h>

#include <algorithm>
#include <array>

namespace FulmarCtl {

namespace {

    constexpr std::array<std::string_view, 3> subjects { "backend", "request", "service" };

    struct ExplainedDecision {
        std::string instance;
        int64_t millisecondsAgo { 0 };
        Json::Value decision;
    };

    std::vector<ExplainedDecision> join(const std::vector<NodeAnswer>& answers)
    {
        std::vector<ExplainedDecision> decisions;
        for (const auto& answer : answers) {
            auto instance = answer.body["self"]["instance"].asString();
            for (const auto& decision : answer.body["decisions"])
                decisions.push_back({ instance, decision["millisecondsAgo"].asInt64(), decision });
        }
        std::ranges::stable_sort(decisions, std::ranges::greater(), &ExplainedDecision::millisecondsAgo);
        return decisions;
    }

    void printTable(std::ostream& out, const std::vector<ExplainedDecision>& decisions)
    {
        Table table({ "AGO", "PROCESS", "DECISION", "STEP", "PEER", "REVISION", "EVIDENCE" });
        for (const auto& [instance, millisecondsAgo, decision] : decisions) {
            auto revision = decision["profile"].asString();
            if (!revision.empty())
                revision += " " + decision["revision"].asString();
            table.add({ std::to_string(millisecondsAgo) + " ms", instance, decision["kind"].asString(), decision["step"].asString(),
                decision["peer"].asString(), revision, decision["evidence"].asString() });
        }
        table.print(out);
    }

    void printJson(std::ostream& out, const std::vector<NodeAnswer>& answers, const std::vector<ExplainedDecision>& decisions)
    {
        Json::Value json;
        json["decisions"] = Json::Value(Json::arrayValue);
        for (const auto& entry : decisions) {
            auto decision = entry.decision;
            decision["instance"] = entry.instance;
            json["decisions"].append(std::move(decision));
        }
        json["unanswered"] = Json::Value(Json::arrayValue);
        for (const auto& answer : answers) {
            if (!answer.error.empty())
                json["unanswered"].append(answer.node.toString());
        }
        out << Control::formatJson(json) << "\n";
    }

}

ExitCode explain(CommandContext& context)
{
    const auto& subject = context.arguments.at(0);
    if (std::ranges::find(subjects, subject) == subjects.end())
        throw Model::Error("explain", "local", "unknown subject \"" + subject + "\"; allowed: backend, request, service");
    auto answers = context.fleet().callAll(context.fleet().findNodes(), "/v1/explain?" + subject + "=" + context.arguments.at(1));
    auto decisions = join(answers);
    if (context.output == OutputFormat::Json) {
        printJson(context.out, answers, decisions);
        return ExitCode::Done;
    }

    printTable(context.out, decisions);
    for (const auto& answer : answers) {
        if (!answer.error.empty())
            context.out << answer.node.toString() << " didn't answer: " << answer.error << "\n";
    }
    return ExitCode::Done;
}

}
