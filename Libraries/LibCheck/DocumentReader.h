#pragma once

#include <LibCheck/Configuration.h>
#include <LibCheck/Finding.h>

#include <functional>

namespace Check {

// A further form of published route tables beside that of LibControl/RouteTableCodec.h.
struct TableForm {
    std::function<bool(const std::string& text)> isUsedIn;
    // Throws Model::Error if the text as a whole can't be read.
    std::function<RouteTable(const std::string& text)> parse;
};

// Reads the documents of a configuration: JSON objects are route tables, everything else is a profile. What publishing
// would refuse while it reads a document becomes a finding.
class DocumentReader {
public:
    explicit DocumentReader(std::vector<TableForm>);

    void read(const std::string& file, const std::string& text);

    const Configuration& configuration() const { return m_configuration; }
    const Findings& findings() const { return m_findings; }

private:
    void readProfile(const std::string& file, const std::string& text);
    void readTable(const std::string& file, const std::string& text);
    bool isWellFormed(const std::string& file, const std::string& text);
    std::optional<RouteTable> parseTable(const std::string& file, const std::string& text);
    void addRefusals(const TableDocument&);

    std::vector<TableForm> m_forms;
    Configuration m_configuration;
    Findings m_findings;
};

}
