#pragma once

#include <LibModel/Identifiers.h>

#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <vector>

namespace Decision {

using namespace Model;

// Hashes a sequence of strings; ("a", "bc") and ("ab", "c") have different hashes. Unlike std::hash, the result is the
// same in every process of the fleet.
uint64_t stableHash(std::initializer_list<std::string_view> texts);

// The weight of a candidate for a topic in rendezvous hashing. The topic is assigned to the candidate with the greatest
// weight, so adding or removing a candidate reassigns only the topics of that candidate. The result is the same in
// every process of the fleet.
// https://www.eecs.umich.edu/techreports/cse/96/CSE-TR-316-96.pdf
uint64_t rendezvousWeight(std::string_view topic, std::string_view candidate);

// Returns up to `count` members with the greatest weights for the topic, in descending order. When a member joins or
// leaves, the other members keep their relative order.
std::vector<InstanceId> rendezvousChoice(std::string_view topic, std::vector<InstanceId> members, size_t count);

}
