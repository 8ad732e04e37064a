#include <LibCheck/DocumentReader.h>

#include <LibControl/ControlError.h>
#include <LibControl/JsonText.h>
#include <LibControl/RouteTableCodec.h>
#include <LibDecision/Configuration/ProfileRevisionText.h>
#include <LibModel/Error.h>

#include <algorithm>
#include <charconv>

namespace Check {

namespace {

    // The parser's message may quote the text, which holds API keys, so only the line is taken from it.
    int lineIn(const std::string& message)
    {
        constexpr std::string_view mark = "Line ";
        int line = 0;
        auto position = message.find(mark);
        if (position != std::string::npos)
            std::from_chars(message.data() + position + mark.size(), message.data() + message.size(), line);
        return line;
    }

    std::string refusal(const std::string& problem)
    {
        return "The fleet refuses this: " + problem + ". Correct the entry or remove it.";
    }

    // Texts of omissions begin with the entry, as in "route r1: host is missing or no text".
    EntryProblem splitOmission(const std::string& omission)
    {
        auto colon = omission.find(": ");
        if (colon == std::string::npos)
            return { "", omission };
        return { omission.substr(0, colon), omission.substr(colon + 2) };
    }

}

DocumentReader::DocumentReader(std::vector<TableForm> forms)
    : m_forms(std::move(forms))
{
}

void DocumentReader::read(const std::string& file, const std::string& text)
{
    auto begin = text.find_first_not_of(" \t\r\n");
    if (begin != std::string::npos && text[begin] == '{')
        readTable(file, text);
    else
        readProfile(file, text);
}

void DocumentReader::readProfile(const std::string& file, const std::string& text)
{
    try {
        ProfileRevision revision { parseProfile(text, file).name, Revision(1), PublishId("check"), "", text };
        auto profile = Decision::parseAndCheckProfile(revision);
        auto isSame = [&](const ProfileDocument& document) { return document.profile.name == profile.name; };
        auto other = std::ranges::find_if(m_configuration.profiles, isSame);
        if (other != m_configuration.profiles.end())
            m_findings.push_back({ FindingId::ProfileTwice, file, "profile " + profile.name.value(), "The profile is also in " + other->file + ". Remove one of the two files." });
        else
            m_configuration.profiles.push_back({ file, std::move(profile) });
    } catch (const DocumentError& error) {
        m_findings.push_back({ FindingId::ProfileRefused, file, error.key(), refusal(error.detail()), error.line() });
    }
}

void DocumentReader::readTable(const std::string& file, const std::string& text)
{
    if (m_configuration.table) {
        m_findings.push_back({ FindingId::TableTwice, file, "", "A route table is also in " + m_configuration.table->file + ", and only one can be in force. Put all routes into one file." });
        return;
    }
    if (!isWellFormed(file, text))
        return;
    auto table = parseTable(file, text);
    if (!table)
        return;
    m_configuration.table = TableDocument { file, std::move(*table) };
    addRefusals(*m_configuration.table);
}

bool DocumentReader::isWellFormed(const std::string& file, const std::string& text)
{
    try {
        Control::parseJson(text);
        return true;
    } catch (const Control::ControlError& error) {
        m_findings.push_back({ FindingId::DocumentMalformed, file, "", "The text is no well-formed JSON. Correct the line, or the end of the line before it.", lineIn(error.problem()) });
        return false;
    }
}

std::optional<RouteTable> DocumentReader::parseTable(const std::string& file, const std::string& text)
{
    auto form = std::ranges::find_if(m_forms, [&](const TableForm& candidate) { return candidate.isUsedIn(text); });
    try {
        return form == m_forms.end() ? Control::parseRouteTable(text) : form->parse(text);
    } catch (const Error& error) {
        auto problems = form == m_forms.end() ? Control::findMalformedEntries(text) : std::vector<EntryProblem> {};
        if (problems.empty())
            problems.push_back({ "", error.problem() });
        for (const auto& [entry, problem] : problems)
            m_findings.push_back({ FindingId::DocumentMalformed, file, entry, refusal(problem) });
        return std::nullopt;
    }
}

void DocumentReader::addRefusals(const TableDocument& document)
{
    auto add = [&](const EntryProblem& problem) { m_findings.push_back({ FindingId::EntryRefused, document.file, problem.entry, refusal(problem.problem) }); };
    std::ranges::for_each(findProblems(document.table), add);
    for (const auto& problem : unusableEntries(document.table))
        add(problem.entry.empty() ? splitOmission(problem.problem) : problem);
}

}
