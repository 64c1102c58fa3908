#include "relay/answer_framer.h"

#include <algorithm>
#include <cctype>

namespace rattan::testing {

namespace {

    constexpr const char* headEnd = "\r\n\r\n";
    constexpr std::size_t headEndLength = 4;

    // The value of a header in a lower-case head; empty when absent.
    std::string headerValue(const std::string& head, const std::string& name)
    {
        const std::string start = "\r\n" + name + ":";
        const std::size_t found = head.find(start);
        if (found == std::string::npos)
            return {};
        const std::size_t from = head.find_first_not_of(' ', found + start.size());
        return head.substr(from, head.find("\r\n", from) - from);
    }

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return text;
    }

    AnswerFault faultNamed(const std::string& name)
    {
        if (name == "drop")
            return AnswerFault::Drop;
        if (name == "cut")
            return AnswerFault::Cut;
        if (name == "extra")
            return AnswerFault::Extra;
        return AnswerFault::None;
    }

} // namespace

std::vector<FramedAnswer> AnswerFramer::feed(const std::string& bytes)
{
    this->pending += bytes;
    std::vector<FramedAnswer> whole;
    while (true) {
        const std::size_t end = this->pending.find(headEnd);
        if (end == std::string::npos)
            return whole;
        const std::string head = lowerCase(this->pending.substr(0, end + 2));
        const std::string length = headerValue(head, "content-length");
        const std::size_t total = end + headEndLength + (length.empty() ? 0 : std::stoul(length));
        if (this->pending.size() < total)
            return whole;
        whole.push_back({ this->pending.substr(0, total), faultNamed(headerValue(head, answerFaultHeader)) });
        this->pending.erase(0, total);
    }
}

DamagedAnswer damage(const FramedAnswer& answer)
{
    const std::size_t bodyStart = answer.bytes.find(headEnd) + headEndLength;
    switch (answer.fault) {
    case AnswerFault::Drop:
        return { "", true };
    case AnswerFault::Cut:
        return { answer.bytes.substr(0, bodyStart + (answer.bytes.size() - bodyStart) / 2), true };
    case AnswerFault::Extra:
        return { answer.bytes + "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnot yours", false };
    case AnswerFault::None:
        break;
    }
    return { answer.bytes, false };
}

} // namespace rattan::testing
