#include "http/transfer.h"

#include "base/trace.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace rattan::http::detail {

namespace {

    std::size_t onBody(char* data, std::size_t size, std::size_t count, void* user)
    {
        auto* transfer = static_cast<Transfer*>(user);
        if (transfer->reply.body.size() + size * count > transfer->call.maxReplyBytes) {
            transfer->isOverLimit = true;
            return 0;
        }
        transfer->reply.body.append(data, size * count);
        return size * count;
    }

    std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* user)
    {
        auto* transfer = static_cast<Transfer*>(user);
        std::string line(data, size * count);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            return size * count;
        std::string name = line.substr(0, colon);
        for (char& c : name)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        const std::size_t start = line.find_first_not_of(" \t", colon + 1);
        const std::size_t end = line.find_last_not_of(" \t\r\n");
        transfer->reply.headers[name] = start == std::string::npos || end < start ? "" : line.substr(start, end - start + 1);
        return size * count;
    }

    std::size_t onRead(char* data, std::size_t size, std::size_t count, void* user)
    {
        auto* transfer = static_cast<Transfer*>(user);
        const std::string& body = transfer->call.body;
        const std::size_t length = std::min(size * count, body.size() - transfer->bodyBytesSent);
        body.copy(data, length, transfer->bodyBytesSent);
        transfer->bodyBytesSent += length;
        return length;
    }

    // libcurl resends a request if a reused connection breaks without an answer. It cannot
    // resend a body that comes from a read function without seek support: then the call
    // fails, and the sender decides whether to retry.
    void setBody(CURL* handle, Transfer& transfer)
    {
        const Call& call = transfer.call;
        if (call.canResend) {
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
            return;
        }
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
        curl_easy_setopt(handle, CURLOPT_READFUNCTION, &onRead);
        curl_easy_setopt(handle, CURLOPT_READDATA, &transfer);
    }

    // libcurl calls this before each transmission of the request, including a resend on
    // another connection.
    int onConnection(void* user, char*, char*, int, int)
    {
        static_cast<Transfer*>(user)->awaitsFirstByte = true;
        return CURL_PREREQFUNC_OK;
    }

    void countTransmission(Transfer& transfer)
    {
        const auto now = std::chrono::steady_clock::now();
        if (++transfer.reply.transmissions == 1)
            transfer.firstTransmissionAt = now;
        transfer.reply.resendDelay = std::chrono::duration_cast<std::chrono::milliseconds>(now - transfer.firstTransmissionAt);
    }

    // libcurl reports each block of the request when it is written to the socket; from the
    // first report on, the peer has possibly acted on the request.
    int onDebug(CURL*, curl_infotype type, char*, std::size_t size, void* user)
    {
        auto* transfer = static_cast<Transfer*>(user);
        if (type == CURLINFO_HEADER_OUT || type == CURLINFO_DATA_OUT) {
            if (std::exchange(transfer->awaitsFirstByte, false))
                countTransmission(*transfer);
            if (!std::exchange(transfer->hasSentBytes, true) && transfer->clock)
                transfer->firstByteAt = transfer->clock->now();
            transfer->bytesSent += size;
        }
        if (type == CURLINFO_HEADER_IN || type == CURLINFO_DATA_IN)
            transfer->bytesReceived += size;
        return 0;
    }

    ErrorCode errorCodeFor(CURLcode code, bool hasSentBytes)
    {
        if (code == CURLE_OPERATION_TIMEDOUT)
            return hasSentBytes ? ErrorCode::Timeout : ErrorCode::Unavailable;
        return hasSentBytes ? ErrorCode::Interrupted : ErrorCode::Unavailable;
    }

    curl_slist* buildHeaders(const Call& call)
    {
        curl_slist* list = curl_slist_append(nullptr, "Expect:");
        for (const auto& [name, value] : call.headers)
            list = curl_slist_append(list, fmt::format("{}: {}", name, value).c_str());
        if (const std::string traceparent = currentSpan().traceparent(); !traceparent.empty())
            list = curl_slist_append(list, ("traceparent: " + traceparent).c_str());
        return list;
    }

} // namespace

void initializeCurl()
{
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(initialised);
}

void configureHandle(CURL* handle, Transfer& transfer, long maxCachedConnections)
{
    const Call& call = transfer.call;
    curl_easy_reset(handle);
    curl_easy_setopt(handle, CURLOPT_URL, fmt::format("http://{}{}", call.address, call.path).c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT")
        setBody(handle, transfer);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_HTTP09_ALLOWED, 0L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_MAXCONNECTS, maxCachedConnections);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<std::int64_t>(call.timeout.count(), 1)));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(std::min(call.connectTimeout, call.timeout).count()));
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, call.once ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, call.once ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &onConnection);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_VERBOSE, 1L);
    curl_easy_setopt(handle, CURLOPT_DEBUGFUNCTION, &onDebug);
    curl_easy_setopt(handle, CURLOPT_DEBUGDATA, &transfer);
    transfer.headers = buildHeaders(call);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.headers);
}

void fillReply(CURL* handle, CURLcode code, Transfer& transfer)
{
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    curl_slist_free_all(transfer.headers);
    transfer.headers = nullptr;
    Reply& reply = transfer.reply;
    reply.status = static_cast<int>(status);
    if (code == CURLE_OK) {
        reply.sendOutcome = SendOutcome::Answered;
        return;
    }
    reply.sendOutcome = transfer.hasSentBytes ? SendOutcome::PossiblySent : SendOutcome::NotSent;
    const std::string message = transfer.isOverLimit ? fmt::format("the answer is over {} bytes", transfer.call.maxReplyBytes) : curl_easy_strerror(code);
    reply.error = Error { errorCodeFor(code, transfer.hasSentBytes), "http." + transfer.call.method + " " + transfer.call.path, transfer.call.address, message, {} };
}

} // namespace rattan::http::detail
