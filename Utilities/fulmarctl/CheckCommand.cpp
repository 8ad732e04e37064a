#include <Utilities/fulmarctl/CheckCommand.h>

#include <LibCheck/ConfigurationCheck.h>
#include <LibControl/JsonText.h>
#include <LibControl/RouteTableCodec.h>
#include <LibModel/Error.h>
#include <LibModel/TextFile.h>
#include <LibTransport/MemoryBudget.h>

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <iterator>

namespace FulmarCtl {

using Check::Finding;
using Check::FindingId;
using Check::Findings;
using Check::Severity;

namespace {

    std::string readDocument(const std::string& path)
    {
        std::error_code error;
        if (std::filesystem::is_directory(path, error))
            throw Model::Error("read-file", path, "is a directory");
        return readTextFile(path);
    }

    Check::InForce readInForceFiles(const CheckOptions& options, Findings& findings)
    {
        Check::DocumentReader reader(options.tableForms);
        std::string source;
        for (const auto& path : options.inForceFiles) {
            reader.read(path, readDocument(path));
            source += (source.empty() ? "" : ", ") + path;
        }
        // What a process runs with may hold entries that can't be used, so only documents that can't be read count.
        for (const auto& finding : reader.findings()) {
            if (finding.id != FindingId::EntryRefused)
                findings.push_back({ FindingId::InForceUnavailable, finding.file, finding.entry, "The file can't be compared with. " + finding.message, finding.line });
        }
        auto configuration = reader.configuration();
        if (configuration.table)
            isolateProblems(configuration.table->table);
        return { source, std::move(configuration) };
    }

    // Gives nothing if the process doesn't answer, or answers something that can't be read.
    std::optional<Check::InForce> askProcess(CommandContext& context, Check::ProcessTerms& terms, Findings& findings)
    {
        const auto& source = context.check.process;
        auto process = Endpoint::parse(source);
        if (!process)
            throw Model::Error("read-options", "local", "--process takes an IP number and port, such as 127.0.0.1:8081");
        auto& fleet = context.fleet();
        try {
            Check::InForce inForce { source, {} };
            auto answer = fleet.call(*process, "GET", "/v1/routes");
            if (!answer["table"].isNull())
                inForce.configuration.table = { source, Control::decodeRouteTable(Control::formatJson(answer["table"])) };
            for (const auto& profile : fleet.call(*process, "GET", "/v1/profiles"))
                inForce.configuration.profiles.push_back({ source, parseProfile(profile["document"].asString(), source) });
            if (!terms.largestRequestBytes && answer["memoryBytes"].isUInt64())
                terms.largestRequestBytes = Transport::largestReservation(answer["memoryBytes"].asUInt64());
            return inForce;
        } catch (const std::exception& error) {
            findings.push_back({ FindingId::InForceUnavailable, source, "", "Nothing was compared, because the process gave no configuration: " + std::string(error.what()) + ". Name a process that runs, or compare with a file." });
            return std::nullopt;
        }
    }

    Check::ProcessTerms readTerms(const CheckOptions& options)
    {
        Check::ProcessTerms terms;
        auto isNodeFile = !options.nodeFile.empty();
        const auto& path = isNodeFile ? options.nodeFile : options.settingsFile;
        if (path.empty())
            return terms;
        auto text = readDocument(path);
        auto settings = isNodeFile ? options.readNodeFile(text, path) : parseSettings(text, path);
        terms.tenants = settings.tenants;
        terms.defaultProfile = { path, settings.defaultProfile };
        // With 0 a process derives its memory from the machine that it runs on, which isn't this one.
        if (settings.limits.memoryBytes > 0)
            terms.largestRequestBytes = Transport::largestReservation(settings.limits.memoryBytes);
        return terms;
    }

    size_t count(const Findings& findings, Severity severity)
    {
        return std::ranges::count(findings, severity, [](const Finding& finding) { return severityOf(finding.id); });
    }

    // Names come from files, and must not write control sequences to a terminal.
    std::string printable(std::string text)
    {
        auto isControl = [](unsigned char character) { return character < ' ' || character == 0x7f; };
        std::ranges::replace_if(text, isControl, '?');
        return text;
    }

    void printText(std::ostream& out, const Findings& findings, const std::string& comparedWith)
    {
        for (const auto& finding : findings) {
            auto place = finding.file + (finding.line > 0 ? ":" + std::to_string(finding.line) : "") + ": " + (finding.entry.empty() ? "" : finding.entry + ": ");
            out << printable(place + std::string(nameOf(severityOf(finding.id))) + " " + std::string(nameOf(finding.id)) + ": " + finding.message) << "\n";
        }
        out << count(findings, Severity::Error) << " errors, " << count(findings, Severity::Warning) << " warnings, " << count(findings, Severity::Note) << " notes; compared with "
            << (comparedWith.empty() ? "nothing" : printable(comparedWith)) << "\n";
    }

    void printJson(std::ostream& out, const Findings& findings, const std::string& comparedWith)
    {
        Json::Value json;
        json["errors"] = static_cast<Json::UInt64>(count(findings, Severity::Error));
        json["warnings"] = static_cast<Json::UInt64>(count(findings, Severity::Warning));
        json["notes"] = static_cast<Json::UInt64>(count(findings, Severity::Note));
        json["comparedWith"] = comparedWith;
        json["findings"] = Json::Value(Json::arrayValue);
        for (const auto& finding : findings) {
            Json::Value entry;
            entry["id"] = std::string(nameOf(finding.id));
            entry["severity"] = std::string(nameOf(severityOf(finding.id)));
            entry["file"] = finding.file;
            entry["entry"] = finding.entry;
            entry["line"] = finding.line;
            entry["message"] = finding.message;
            json["findings"].append(std::move(entry));
        }
        out << Control::formatJson(json) << "\n";
    }

    ExitCode exitCodeOf(const Findings& findings)
    {
        switch (highestSeverity(findings)) {
        case Severity::Error:
            return ExitCode::CheckErrors;
        case Severity::Warning:
            return ExitCode::CheckWarnings;
        case Severity::Note:
            break;
        }
        return ExitCode::Done;
    }

    ExitCode check(CommandContext& context)
    {
        Check::DocumentReader reader(context.check.tableForms);
        for (const auto& path : context.arguments)
            reader.read(path, readDocument(path));
        auto findings = reader.findings();
        auto terms = readTerms(context.check);
        std::optional<Check::InForce> inForce;
        if (!context.check.inForceFiles.empty())
            inForce = readInForceFiles(context.check, findings);
        else if (!context.check.process.empty())
            inForce = askProcess(context, terms, findings);

        std::ranges::move(checkConfiguration(reader.configuration(), terms, inForce), std::back_inserter(findings));
        sortBySeverity(findings);
        auto comparedWith = inForce ? inForce->source : "";
        if (context.output == OutputFormat::Json)
            printJson(context.out, findings, comparedWith);
        else
            printText(context.out, findings, comparedWith);
        return exitCodeOf(findings);
    }

}

ExitCode runCheck(CommandContext& context)
{
    try {
        return check(context);
    } catch (const std::exception& error) {
        std::cerr << "fulmarctl: " << error.what() << "\n";
        return ExitCode::CheckUnreadable;
    }
}

}
