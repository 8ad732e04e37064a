#include <LibDecision/Rendezvous.h>

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Decision {

uint64_t stableHash(std::initializer_list<std::string_view> texts)
{
    uint64_t hash = 0;
    for (auto text : texts)
        hash = XXH3_64bits_withSeed(text.data(), text.size(), hash);
    return hash;
}

uint64_t rendezvousWeight(std::string_view topic, std::string_view candidate)
{
    return stableHash({ topic, candidate });
}

std::vector<InstanceId> rendezvousChoice(std::string_view topic, std::vector<InstanceId> members, size_t count)
{
    auto end = members.begin() + static_cast<ptrdiff_t>(std::min(count, members.size()));
    std::ranges::partial_sort(members, end, std::ranges::greater {}, [&](const InstanceId& member) { return rendezvousWeight(topic, member.value()); });
    members.erase(end, members.end());
    return members;
}

}
