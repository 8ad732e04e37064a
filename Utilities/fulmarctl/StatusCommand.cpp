#include <Utilities/fulmarctl/StatusCommand.h>

#include <LibControl/JsonText.h>
#include <Utilities/fulmarctl/Table.h>

#include <map>

namespace FulmarCtl {

namespace {

    std::string percent(double share)
    {
        return std::to_string(static_cast<int>(share * 100 + 0.5)) + "%";
    }

    void printMembers(std::ostream& out, const Json::Value& status)
    {
        Table table({ "MEMBER", "ZONE", "STATE", "PATH", "CALLERS", "CONTROL" });
        for (const auto& member : status["members"]) {
            table.add({ member["instance"].asString(), member["zone"].asString(), member["state"].asString(),
                member["isReachable"].asBool() ? "reachable" : "unreachable", member["callers"].asString(), member["control"].asString() });
        }
        table.print(out);
    }

    void printServices(std::ostream& out, const Json::Value& status)
    {
        Table table({ "SERVICE", "BACKEND", "SIDECAR", "PHASE", "SLOTS", "STANDING", "SHARE", "WHY" });
        for (const auto& service : status["services"]) {
            for (const auto& backend : service["backends"]) {
                table.add({ service["service"].asString(), backend["backend"].asString(), backend["sidecar"].asString(), backend["phase"].asString(),
                    backend["slots"].asString(), backend["standing"].asString(), percent(backend["share"].asDouble()), backend["evidence"].asString() });
            }
        }
        table.print(out);
    }

    void printProfiles(std::ostream& out, const std::vector<NodeAnswer>& answers)
    {
        std::map<std::string, size_t> nodesByRevision;
        size_t answered = 0;
        for (const auto& answer : answers) {
            answered += answer.error.empty() ? 1 : 0;
            for (const auto& profile : answer.body["profiles"])
                ++nodesByRevision[profile["name"].asString() + " revision " + profile["revision"].asString()];
        }
        Table table({ "PROFILE IN FORCE", "AT SHARE OF PROCESSES" });
        for (const auto& [revision, count] : nodesByRevision)
            table.add({ revision, std::to_string(count) + "/" + std::to_string(answered) });
        table.print(out);
    }

    // The processes have one route table, so each problem is printed once, with the number of processes that have it.
    void printRouteProblems(std::ostream& out, const std::vector<NodeAnswer>& answers)
    {
        std::map<std::string, size_t> nodesByProblem;
        for (const auto& answer : answers) {
            for (const auto& problem : answer.body["self"]["routeProblems"])
                ++nodesByProblem[problem.asString()];
        }
        if (nodesByProblem.empty())
            return;
        Table table({ "UNUSABLE IN THE ROUTE TABLE", "AT PROCESSES" });
        for (const auto& [problem, count] : nodesByProblem)
            table.add({ problem, std::to_string(count) });
        out << "\n";
        table.print(out);
    }

    void printNodes(std::ostream& out, const std::vector<NodeAnswer>& answers)
    {
        for (const auto& answer : answers) {
            if (!answer.error.empty())
                out << answer.node.toString() << " didn't answer: " << answer.error << "\n";
            else if (!answer.body["self"]["platformReachable"].asBool())
                out << answer.body["self"]["instance"].asString() << " can't reach the platform\n";
        }
    }

}

ExitCode showStatus(CommandContext& context)
{
    auto nodes = context.fleet().findNodes();
    auto target = "/v1/status" + (context.service.empty() ? "" : "?service=" + context.service);
    auto status = context.fleet().call(nodes.front(), "GET", target);
    auto answers = context.fleet().callAll(nodes, "/v1/summary");
    if (context.output == OutputFormat::Json) {
        status["nodes"] = Json::Value(Json::arrayValue);
        for (const auto& answer : answers)
            status["nodes"].append(answer.body);
        context.out << Control::formatJson(status) << "\n";
        return ExitCode::Done;
    }

    printMembers(context.out, status);
    context.out << "\n";
    printServices(context.out, status);
    context.out << "\n";
    printProfiles(context.out, answers);
    printRouteProblems(context.out, answers);
    printNodes(context.out, answers);
    return ExitCode::Done;
}

}
