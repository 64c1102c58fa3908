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
        if (transfer->reply.body.size() + size * count > transfer->call.replyLimit) {
            transfer->overLimit = true;
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
        const std::size_t length = std::min(size * count, body.size() - transfer->bodySent);
        body.copy(data, length, transfer->bodySent);
        transfer->bodySent += length;
        return length;
    }

    // libcurl sends a request again when a connection that it has used before breaks
    // without an answer. What reads the body from a function that cannot go back, it
    // cannot send again: the call fails, and its sender decides.
    void giveBody(CURL* handle, Transfer& transfer)
    {
        const Call& call = transfer.call;
        if (call.resend) {
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
            return;
        }
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
        curl_easy_setopt(handle, CURLOPT_READFUNCTION, &onRead);
        curl_easy_setopt(handle, CURLOPT_READDATA, &transfer);
    }

    // Once for each connection that libcurl is about to send the request on.
    int onConnection(void* user, char*, char*, int, int)
    {
        static_cast<Transfer*>(user)->atStart = true;
        return CURL_PREREQFUNC_OK;
    }

    void countTransmission(Transfer& transfer)
    {
        const auto now = std::chrono::steady_clock::now();
        if (++transfer.reply.transmissions == 1)
            transfer.firstSent = now;
        transfer.reply.repeatedAfter = std::chrono::duration_cast<std::chrono::milliseconds>(now - transfer.firstSent);
    }

    // libcurl reports each block of the request as it is handed to the socket, so
    // the first report means that from here on the peer may have acted.
    int onDebug(CURL*, curl_infotype type, char*, std::size_t size, void* user)
    {
        auto* transfer = static_cast<Transfer*>(user);
        if (type == CURLINFO_HEADER_OUT || type == CURLINFO_DATA_OUT) {
            if (std::exchange(transfer->atStart, false))
                countTransmission(*transfer);
            transfer->wroteBytes = true;
            transfer->bytesSent += size;
        }
        if (type == CURLINFO_HEADER_IN || type == CURLINFO_DATA_IN)
            transfer->bytesReceived += size;
        return 0;
    }

    ErrorCode codeFor(CURLcode code, bool wroteBytes)
    {
        if (code == CURLE_OPERATION_TIMEDOUT)
            return wroteBytes ? ErrorCode::Timeout : ErrorCode::Unavailable;
        return wroteBytes ? ErrorCode::Interrupted : ErrorCode::Unavailable;
    }

    curl_slist* headerList(const Call& call)
    {
        curl_slist* list = curl_slist_append(nullptr, "Expect:");
        for (const auto& [name, value] : call.headers)
            list = curl_slist_append(list, fmt::format("{}: {}", name, value).c_str());
        if (const std::string parent = currentSpan().traceparent(); !parent.empty())
            list = curl_slist_append(list, ("traceparent: " + parent).c_str());
        return list;
    }

} // namespace

void startLibrary()
{
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(initialised);
}

void prepare(CURL* handle, Transfer& transfer, long keptConnections)
{
    const Call& call = transfer.call;
    curl_easy_reset(handle);
    curl_easy_setopt(handle, CURLOPT_URL, fmt::format("http://{}{}", call.address, call.path).c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT")
        giveBody(handle, transfer);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_HTTP09_ALLOWED, 0L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_MAXCONNECTS, keptConnections);
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
    transfer.headers = headerList(call);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.headers);
}

void finish(CURL* handle, CURLcode code, Transfer& transfer)
{
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    curl_slist_free_all(transfer.headers);
    transfer.headers = nullptr;
    Reply& reply = transfer.reply;
    reply.status = static_cast<int>(status);
    if (code == CURLE_OK) {
        reply.sent = Sent::Answered;
        return;
    }
    reply.sent = transfer.wroteBytes ? Sent::Perhaps : Sent::Nothing;
    const std::string why = transfer.overLimit ? fmt::format("the answer is over {} bytes", transfer.call.replyLimit) : curl_easy_strerror(code);
    reply.error = Error { codeFor(code, transfer.wroteBytes), "http." + transfer.call.method + " " + transfer.call.path, transfer.call.address, why, {} };
}

} // namespace rattan::http::detail
