#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Fulmard {

// A request target split into its path and its query, percent-decoded.
class QueryString {
public:
    explicit QueryString(std::string_view target);

    const std::string& path() const { return m_path; }
    // Gives an empty text if the query lacks the name.
    std::string value(std::string_view name) const;
    std::optional<uint64_t> number(std::string_view name) const;

private:
    struct Parameter {
        std::string name;
        std::string value;
    };

    std::string m_path;
    std::vector<Parameter> m_parameters;
};

}
