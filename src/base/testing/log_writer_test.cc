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
    CPPUNIT_TEST_SUITE_END();

public:
    // As in every program: a writer that outlives its longest stop may write to a pipe
    // that is closed by then, which must be an error of that write and not the end of all.
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

    // Whoever collects the logs has stopped reading. Had a line to wait for that, the
    // thread that serves callers would stand still, and every request with it. Lines
    // are lost instead, and the program can still end.
    void writeDoesNotBlockOnStalledReader()
    {
        constexpr int lines = 5000;
        LogWriter writer(this->pipeEnds[1], { .maxQueuedLines = 100, .maxLinesPerSecond = lines, .batchInterval = std::chrono::milliseconds(0), .maxStopTime = std::chrono::milliseconds(20) });
        const std::string line(1000, 'x');
        for (int i = 0; i < lines; ++i)
            writer.write({ 1, "" }, line + "\n");
        CPPUNIT_ASSERT(writer.droppedLines() > 0);
        writer.stop();
        // Lets the writer's thread end before the pipe is closed.
        std::array<char, 65536> text {};
        while (read(this->pipeEnds[0], text.data(), text.size()) == static_cast<ssize_t>(text.size())) { }
    }

    void lineRateOfAnEventIsLimited()
    {
        LogWriter writer(this->pipeEnds[1], { .maxLinesPerSecond = 10 });
        for (int i = 0; i < 100; ++i)
            writer.write({ 1, "" }, "a\n");
        writer.write({ 2, "" }, "b\n");
        // A second may have passed between two lines, hardly more.
        CPPUNIT_ASSERT(writer.droppedLines() >= 70);
        writer.stop();
    }

    // Guards against a rare decision that is missing in the log because others of the same
    // event had used up its budget.
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

    // Guards against routine lines that fill the queue of a slow reader before a rare one comes.
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
