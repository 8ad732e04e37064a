#pragma once

#include <LibModel/EnumNames.h>
#include <LibModel/Error.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Model {

// A state chart read from YAML:
//
//     name: member
//     initial: alive
//     states:
//       alive:
//         suspect-heard: suspect
//       suspect:
//         refuted: alive
//
// Events that a state doesn't list leave it unchanged.
class StateChart {
public:
    // Throws DocumentError with file and line if the text is malformed, a target isn't declared,
    // or the initial state is missing.
    static StateChart parse(std::string_view document, const std::string& fileName);

    const std::string& name() const { return m_name; }
    const std::string& fileName() const { return m_fileName; }
    // State and event names in the order of the file.
    const std::vector<std::string>& states() const { return m_states; }
    const std::vector<std::string>& events() const { return m_events; }
    size_t initialState() const { return m_initialState; }
    // Gives the index of the state that follows, which is the same state if it doesn't list the event.
    size_t next(size_t state, size_t event) const { return m_transitions[state * m_events.size() + event]; }

    // Gives the index of a name; throws DocumentError if the chart doesn't declare it.
    size_t stateIndex(std::string_view) const;
    size_t eventIndex(std::string_view) const;

private:
    std::string m_name;
    std::string m_fileName;
    std::vector<std::string> m_states;
    std::vector<std::string> m_events;
    std::vector<size_t> m_transitions;
    size_t m_initialState { 0 };
};

// A chart bound to the enumerations that the code uses. Construction throws DocumentError unless the
// chart declares exactly the enumerations' names, so a chart and its code can't drift apart.
template <typename State, typename Event>
class TypedChart {
public:
    explicit TypedChart(StateChart chart)
        : m_chart(std::move(chart))
    {
        for (const auto& entry : EnumNames<State>::entries)
            m_stateIndexes.push_back(m_chart.stateIndex(entry.name));
        for (const auto& entry : EnumNames<Event>::entries)
            m_eventIndexes.push_back(m_chart.eventIndex(entry.name));
        requireNames(m_chart.states(), m_stateIndexes.size());
        requireNames(m_chart.events(), m_eventIndexes.size());
    }

    State initial() const { return stateAt(m_chart.initialState()); }

    State next(State state, Event event) const
    {
        return stateAt(m_chart.next(m_stateIndexes[positionOf(state)], m_eventIndexes[positionOf(event)]));
    }

    // Says whether the state reacts to the event.
    bool accepts(State state, Event event) const { return next(state, event) != state; }

private:
    template <typename Enum>
    static size_t positionOf(Enum value)
    {
        const auto& entries = EnumNames<Enum>::entries;
        return std::ranges::find(entries, value, &EnumName<Enum>::value) - entries.begin();
    }

    State stateAt(size_t index) const
    {
        auto position = std::ranges::find(m_stateIndexes, index) - m_stateIndexes.begin();
        return EnumNames<State>::entries[position].value;
    }

    void requireNames(const std::vector<std::string>& declared, size_t known) const
    {
        if (declared.size() != known)
            throw DocumentError(m_chart.fileName(), 0, m_chart.name(), "declares names that the code doesn't know", "the names of the code's enumerations");
    }

    StateChart m_chart;
    std::vector<size_t> m_stateIndexes;
    std::vector<size_t> m_eventIndexes;
};

}
