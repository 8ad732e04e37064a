#include <Utilities/fulmarctl/PublishCommand.h>

#include <LibControl/JsonText.h>
#include <LibDecision/Configuration/Publication.h>
#include <LibModel/Error.h>
#include <LibModel/TextFile.h>
#include <Utilities/fulmarctl/AmendedDocument.h>
#include <Utilities/fulmarctl/InForce.h>
#include <Utilities/fulmarctl/LineDiff.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

namespace FulmarCtl {

using Decision::Publication;
using Decision::PublicationState;

namespace {

    constexpr auto pollInterval = std::chrono::milliseconds(100);

    PublishId makePublishId()
    {
        std::random_device device;
        std::array<char, 33> text {};
        std::snprintf(text.data(), text.size(), "%08x%08x%08x%08x", device(), device(), device(), device());
        return PublishId(text.data());
    }

    size_t countInForce(const std::vector<NodeAnswer>& answers, const ProfileRevision& revision, std::string& laggards)
    {
        laggards.clear();
        size_t count = 0;
        for (const auto& answer : answers) {
            bool isInForce = std::ranges::any_of(answer.body["profiles"], [&](const Json::Value& profile) {
                return profile["name"].asString() == revision.name.value() && profile["revision"].asUInt64() >= revision.revision.value();
            });
            count += isInForce ? 1 : 0;
            if (!isInForce)
                laggards += " " + answer.node.toString() + (answer.error.empty() ? "" : " (" + answer.error + ")");
        }
        return count;
    }

    ExitCode waitUntilEverywhere(CommandContext& context, const ProfileRevision& revision)
    {
        auto nodes = context.fleet().findNodes();
        std::string laggards;
        for (Duration waited { 0 }; waited <= *context.wait; waited += pollInterval) {
            auto count = countInForce(context.fleet().callAll(nodes, "/v1/summary"), revision, laggards);
            if (count == nodes.size()) {
                context.out << "in force at all " << nodes.size() << " processes\n";
                return ExitCode::Done;
            }
            context.fleet().sleep(pollInterval);
        }
        context.out << "not yet in force at:" << laggards << "\n";
        return ExitCode::NotYetEverywhere;
    }

    ExitCode report(CommandContext& context, const Publication& publication)
    {
        const auto& candidate = publication.candidate();
        switch (publication.state()) {
        case PublicationState::Accepted:
            context.out << candidate.name << " revision " << candidate.revision << ": accepted\n";
            return context.wait ? waitUntilEverywhere(context, candidate) : ExitCode::Done;
        case PublicationState::Conflict:
            context.out << candidate.name << ": conflict; nothing was changed\n";
            return ExitCode::Conflict;
        case PublicationState::Unknown:
            context.out << candidate.name << ": unknown; the platform doesn't answer at step " << publication.step() << "\n";
            return ExitCode::Unknown;
        case PublicationState::NotPublished:
        case PublicationState::InProgress:
            break;
        }
        context.out << candidate.name << ": not published; the platform doesn't answer at step " << publication.step() << ". Nothing was changed; try again\n";
        return ExitCode::Failed;
    }

    ExitCode publish(CommandContext& context, const ProfileName& name, std::string document, std::optional<ProfileRevision> inForce)
    {
        if (context.base && (!inForce || inForce->revision != *context.base)) {
            context.out << name << ": conflict; nothing was changed. Edited from revision " << *context.base << ", but "
                        << (inForce ? inForce->revision : Revision()) << " is in force; - in force, + yours:\n"
                        << diffLines(inForce ? inForce->document : "", document);
            return ExitCode::Conflict;
        }
        Decision::PublicationRequest request;
        request.name = name;
        request.document = std::move(document);
        request.author = context.author.empty() ? context.fleet().settings().author : context.author;
        request.publishId = makePublishId();
        request.inForce = inForce;
        request.base = std::move(inForce);

        Publication publication(std::move(request));
        while (publication.state() == PublicationState::InProgress)
            publication.handle(context.fleet().execute(publication.operation()));
        return report(context, publication);
    }

}

ExitCode publishProfile(CommandContext& context)
{
    const auto& path = context.arguments.at(0);
    auto document = readTextFile(path);
    auto name = parseProfile(document, path).name;
    return publish(context, name, document, findInForce(context.fleet(), name));
}

ExitCode amendProfile(CommandContext& context)
{
    ProfileName name(context.arguments.at(0));
    auto inForce = findInForce(context.fleet(), name);
    if (!inForce)
        throw Model::Error("amend", "local", "no revision of " + name.value() + " is in force; publish one first");
    return publish(context, name, amendDocument(inForce->document, context.arguments.at(1)), inForce);
}

}
