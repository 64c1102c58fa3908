#include "base/log_writer.h"

#include <algorithm>
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <unistd.h>

using rattan::LogWriter;
using rattan::LogWriterOptions;

namespace {

class LogWriterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LogWriterTest);
    CPPUNIT_TEST(linesArriveInOrder);
    CPPUNIT_TEST(writeDoesNotBlockOnStalledReader);
    CPPUNIT_TEST(lineRateOfAnEventIsLimited);
    CPPUNIT_TEST(commonVariantDoesNotUseUpBudgetOfRareOne);
    CPPUNIT_TEST(commonLinesDoNotFillQueueForRareOnes);
    CPPUNIT_TEST(longLinesAreCut);
    CPPUNIT_TEST_SUITE_END();

public:
    // Ignores SIGPIPE, as all programs do: after maxStopTime, the writer's thread may still
    // write to a pipe that is already closed, which must fail that write instead of
    // killing the process.
    void setUp() override
    {
        std::signal(SIGPIPE, SIG_IGN);
        CPPUNIT_ASSERT_EQUAL(0, pipe(this->pipeEnds.data()));
    }

    void tearDown() override
    {
        close(this->pipeEnds[0]);
        close(this->pipeEnds[1]);
    }

    void linesArriveInOrder()
    {
        LogWriter writer(this->pipeEnds[1], { .batchInterval = std::chrono::milliseconds(1) });
        writer.write({ 1, "" }, "a\n");
        writer.write({ 1, "" }, "b\n");
        writer.stop();
        std::array<char, 16> text {};
        const ssize_t size = read(this->pipeEnds[0], text.data(), text.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a\nb\n"), std::string(text.data(), static_cast<std::size_t>(size)));
    }

    // Guards against lines as long as what callers send: the queue bounds only their number.
    void longLinesAreCut()
    {
        LogWriter writer(this->pipeEnds[1], { .maxLineBytes = 12, .batchInterval = std::chrono::milliseconds(1) });
        writer.write({ 1, "" }, std::string(12, 'x') + "\n");
        writer.write({ 1, "" }, std::string(11, 'y') + "\n");
        writer.stop();
        std::array<char, 64> text {};
        const ssize_t size = read(this->pipeEnds[0], text.data(), text.size());
        CPPUNIT_ASSERT_EQUAL(std::string("xxxxx [cut]\nyyyyyyyyyyy\n"), std::string(text.data(), static_cast<std::size_t>(size)));
    }

    // Guards against a log reader that has stopped reading and blocks the threads that log. Such
    // a thread may be the one that serves callers, so all requests would stall. Lines are
    // dropped instead, and the program can still end.
    void writeDoesNotBlockOnStalledReader()
    {
        constexpr int lines = 5000;
        LogWriter writer(this->pipeEnds[1], { .maxQueuedLines = 100, .maxLinesPerSecond = lines, .batchInterval = std::chrono::milliseconds(0), .maxStopTime = std::chrono::milliseconds(20) });
        const std::string line(1000, 'x');
        for (int i = 0; i < lines; ++i)
            writer.write({ 1, "" }, line + "\n");
        CPPUNIT_ASSERT(writer.droppedLines() > 0);
        writer.stop();
        // Drains the pipe, so that the writer's thread can end before the pipe is closed.
        std::array<char, 65536> text {};
        while (read(this->pipeEnds[0], text.data(), text.size()) == static_cast<ssize_t>(text.size())) { }
    }

    void lineRateOfAnEventIsLimited()
    {
        LogWriter writer(this->pipeEnds[1], { .maxLinesPerSecond = 10 });
        for (int i = 0; i < 100; ++i)
            writer.write({ 1, "" }, "a\n");
        writer.write({ 2, "" }, "b\n");
        // Each boundary of a second that the loop crosses allows 10 more lines. It rarely
        // crosses more than one; the assertion tolerates two.
        CPPUNIT_ASSERT(writer.droppedLines() >= 70);
        writer.stop();
    }

    // Guards against a rare decision that is missing in the log because frequent decisions of
    // the same event have used up the limit of lines per second.
    void commonVariantDoesNotUseUpBudgetOfRareOne()
    {
        constexpr int common = 100;
        LogWriter writer(this->pipeEnds[1], { .maxLinesPerSecond = 10, .batchInterval = std::chrono::milliseconds(1) });
        for (int i = 0; i < common; ++i)
            writer.write({ 1, "common" }, "a\n");
        writer.write({ 1, "rare" }, "b\n");
        writer.stop();
        CPPUNIT_ASSERT(this->readAll().find('b') != std::string::npos);
    }

    // Guards against routine lines that fill the queue while the reader is slow, so that a later
    // rare line is dropped.
    void commonLinesDoNotFillQueueForRareOnes()
    {
        constexpr int common = 1000;
        LogWriter writer(this->pipeEnds[1], { .maxQueuedLines = 100, .maxLinesPerSecond = common, .maxRareLinesPerSecond = 5, .batchInterval = std::chrono::milliseconds(200) });
        for (int i = 0; i < common; ++i)
            writer.write({ 1, "common" }, "a\n");
        CPPUNIT_ASSERT(writer.droppedLines() > 0);
        writer.write({ 1, "rare" }, "b\n");
        writer.stop();
        CPPUNIT_ASSERT(this->readAll().find('b') != std::string::npos);
    }

private:
    std::string readAll()
    {
        std::array<char, 65536> text {};
        const ssize_t size = read(this->pipeEnds[0], text.data(), text.size());
        return { text.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)) };
    }

    std::array<int, 2> pipeEnds {};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogWriterTest);

} // namespace
