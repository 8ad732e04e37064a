#include <Utilities/fulmarctl/ProfileCommands.h>

#include <LibDecision/Configuration/ProfileRevisionText.h>
#include <LibModel/Error.h>
#include <LibModel/TextFile.h>
#include <Utilities/fulmarctl/InForce.h>
#include <Utilities/fulmarctl/LineDiff.h>
#include <Utilities/fulmarctl/Table.h>

#include <algorithm>

namespace FulmarCtl {

ExitCode validateProfile(CommandContext& context)
{
    const auto& path = context.arguments.at(0);
    auto profile = parseProfile(readTextFile(path), path);
    context.out << path << ": profile " << profile.name << " is accepted\n";
    return ExitCode::Done;
}

ExitCode printDefaultProfile(CommandContext& context)
{
    Profile profile;
    profile.name = ProfileName("example");
    context.out << formatProfile(profile);
    return ExitCode::Done;
}

ExitCode showProfile(CommandContext& context)
{
    auto revision = findInForce(context.fleet(), ProfileName(context.arguments.at(0)));
    if (!revision) {
        context.out << context.arguments.at(0) << ": no revision in force\n";
        return ExitCode::Failed;
    }
    context.out << "# revision " << revision->revision << " by " << revision->author << ", publication " << revision->publishId << "\n"
                << revision->document;
    return ExitCode::Done;
}

ExitCode diffProfile(CommandContext& context)
{
    const auto& path = context.arguments.at(0);
    auto document = readTextFile(path);
    auto name = parseProfile(document, path).name;
    auto inForce = findInForce(context.fleet(), name);
    auto difference = diffLines(inForce ? inForce->document : "", document);
    if (difference.empty())
        context.out << name << ": no difference to revision " << inForce->revision << "\n";
    else
        context.out << "- " << name << " revision " << (inForce ? inForce->revision : Revision()) << " in force\n+ " << path << "\n"
                    << difference;
    return ExitCode::Done;
}

ExitCode showHistory(CommandContext& context)
{
    auto prefix = std::string(Decision::historyKeyPrefix) + context.arguments.at(0) + "/";
    auto reply = context.fleet().execute(Decision::ReadPrefix { prefix });
    if (reply.status != Decision::PlatformStatus::Done)
        throw Model::Error("read-history", "platform", "no answer; the history can't be read while the platform is gone");

    std::vector<ProfileRevision> revisions;
    std::ranges::transform(reply.values, std::back_inserter(revisions), [](const Decision::KeyValue& entry) { return Decision::decodeProfileRevision(entry.value, entry.key); });
    std::ranges::sort(revisions, {}, &ProfileRevision::revision);
    Table table({ "REVISION", "AUTHOR", "PUBLICATION", "BYTES" });
    for (const auto& revision : revisions)
        table.add({ std::to_string(revision.revision.value()), revision.author, revision.publishId.value(), std::to_string(revision.document.size()) });
    table.print(context.out);
    return ExitCode::Done;
}

ExitCode drainBackend(CommandContext& context)
{
    const auto& backend = context.arguments.at(0);
    std::string errors;
    for (const auto& node : context.fleet().findNodes()) {
        try {
            auto answer = context.fleet().call(node, "POST", "/v1/drain/" + backend);
            context.out << backend << ": " << answer["phase"].asString() << " at " << answer["sidecar"].asString() << "\n";
            return ExitCode::Done;
        } catch (const Model::Error& error) {
            errors = error.what();
        }
    }
    context.out << "no process knows " << backend << " as its own; last answer: " << errors << "\n";
    return ExitCode::Failed;
}

}
