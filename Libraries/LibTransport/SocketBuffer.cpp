#include <LibTransport/SocketBuffer.h>

#include <cstdint>
#include <cstring>
#include <sys/mman.h>
#include <unistd.h>

namespace Transport {

static constexpr size_t keptCapacity = 64u << 10;

void dropPages(char* begin, size_t bytes)
{
    static const auto page = static_cast<uintptr_t>(sysconf(_SC_PAGESIZE));
    auto address = reinterpret_cast<uintptr_t>(begin);
    auto first = (address + page - 1) / page * page;
    auto last = (address + bytes) / page * page;
    if (first < last)
        madvise(begin + (first - address), last - first, MADV_DONTNEED);
}

void shrinkEmptyBuffer(h2o_buffer_t*& buffer)
{
    if (buffer->size == 0)
        shrinkBuffer(buffer);
}

void shrinkBuffer(h2o_buffer_t*& buffer)
{
    if (buffer->capacity <= keptCapacity || buffer->size > keptCapacity / 2)
        return;
    h2o_buffer_t* smaller = nullptr;
    h2o_buffer_init(&smaller, &h2o_socket_buffer_prototype);
    if (buffer->size > 0) {
        auto room = h2o_buffer_reserve(&smaller, buffer->size);
        std::memcpy(room.base, buffer->bytes, buffer->size);
        smaller->size = buffer->size;
    }
    h2o_buffer_dispose(&buffer);
    buffer = smaller;
}

}
