#include <LibModel/StateChart.h>

#include <LibModel/YamlReader.h>

#include <algorithm>

namespace Model {

namespace {

    struct Transition {
        size_t source;
        std::string event;
        std::string target;
        int line;
    };

    size_t indexOf(const std::vector<std::string>& names, std::string_view name)
    {
        return std::ranges::find(names, name) - names.begin();
    }

}

StateChart StateChart::parse(std::string_view document, const std::string& fileName)
{
    auto reader = YamlReader::parse(document, fileName);
    StateChart chart;
    chart.m_fileName = fileName;
    chart.m_name = reader.string("name");
    auto initial = reader.string("initial");
    reader.mapping("states");
    reader.finish();

    std::vector<Transition> transitions;
    for (const auto& state : YAML::Load(std::string(document))["states"]) {
        chart.m_states.push_back(state.first.Scalar());
        if (state.second.IsNull())
            continue;
        if (!state.second.IsMap())
            throw DocumentError(fileName, state.first.Mark().line + 1, state.first.Scalar(), "not a mapping", "event: state lines");
        for (const auto& entry : state.second) {
            if (!entry.second.IsScalar())
                throw DocumentError(fileName, entry.first.Mark().line + 1, entry.first.Scalar(), "not a state's name", "a declared state");
            transitions.push_back({ chart.m_states.size() - 1, entry.first.Scalar(), entry.second.Scalar(), entry.first.Mark().line + 1 });
        }
    }

    for (const auto& transition : transitions) {
        if (indexOf(chart.m_events, transition.event) == chart.m_events.size())
            chart.m_events.push_back(transition.event);
    }

    chart.m_transitions.resize(chart.m_states.size() * chart.m_events.size());
    for (size_t position = 0; position < chart.m_transitions.size(); ++position)
        chart.m_transitions[position] = position / chart.m_events.size();
    for (const auto& transition : transitions) {
        auto target = indexOf(chart.m_states, transition.target);
        if (target == chart.m_states.size())
            throw DocumentError(fileName, transition.line, transition.event, "unknown state \"" + transition.target + "\"", "a declared state");
        chart.m_transitions[transition.source * chart.m_events.size() + indexOf(chart.m_events, transition.event)] = target;
    }

    chart.m_initialState = indexOf(chart.m_states, initial);
    if (chart.m_initialState == chart.m_states.size())
        reader.fail("initial", "unknown state \"" + initial + "\"", "a declared state");
    return chart;
}

size_t StateChart::stateIndex(std::string_view name) const
{
    auto index = indexOf(m_states, name);
    if (index == m_states.size())
        throw DocumentError(m_fileName, 0, std::string(name), "state is missing from chart " + m_name, "a declared state");
    return index;
}

size_t StateChart::eventIndex(std::string_view name) const
{
    auto index = indexOf(m_events, name);
    if (index == m_events.size())
        throw DocumentError(m_fileName, 0, std::string(name), "event is missing from chart " + m_name, "a declared event");
    return index;
}

}
