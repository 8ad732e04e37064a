#include <LibTelemetry/LineWriter.h>

#include <array>
#include <gtest/gtest.h>
#include <string>
#include <unistd.h>

using namespace Telemetry;

TEST(LineWriter, NeverWaitsForAReaderAndCountsWhatItLeftOut)
{
    std::array<int, 2> ends {};
    ASSERT_EQ(pipe(ends.data()), 0);
    LineWriter writer(ends[1]);
    writer.write("first");
    // Nobody reads, so the pipe fills up; a blocking write would never return.
    for (int line = 0; line < 10'000; ++line)
        writer.write(std::string(100, 'x'));
    EXPECT_GT(writer.droppedLines(), 0u);

    std::array<char, 6> begin {};
    ASSERT_EQ(read(ends[0], begin.data(), begin.size()), 6);
    EXPECT_EQ(std::string(begin.data(), begin.size()), "first\n");
    close(ends[0]);
    close(ends[1]);
}

TEST(LineWriter, CutsLinesThatAreTooLong)
{
    std::array<int, 2> ends {};
    ASSERT_EQ(pipe(ends.data()), 0);
    LineWriter writer(ends[1]);
    writer.write(std::string(100'000, 'x'));
    std::array<char, 8192> text {};
    auto length = read(ends[0], text.data(), text.size());
    ASSERT_GT(length, 0);
    EXPECT_EQ(text[length - 1], '\n');
    EXPECT_EQ(writer.droppedLines(), 0u);
    close(ends[0]);
    close(ends[1]);
}
