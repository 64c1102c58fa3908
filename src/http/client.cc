#include "http/client.h"

#include "http/transfer.h"

#include <deque>

namespace rattan::http {

struct Client::Pool {
    std::mutex mutex;
    std::deque<CURL*> idleHandles;

    CURL* acquireHandle()
    {
        const std::lock_guard lock(this->mutex);
        if (this->idleHandles.empty())
            return curl_easy_init();
        CURL* handle = this->idleHandles.back();
        this->idleHandles.pop_back();
        return handle;
    }

    void releaseHandle(CURL* handle, std::size_t maxIdle)
    {
        const std::lock_guard lock(this->mutex);
        if (this->idleHandles.size() < maxIdle)
            this->idleHandles.push_back(handle);
        else
            curl_easy_cleanup(handle);
    }
};

Client::Client(ClientOptions options)
    : options(options)
    , pool(std::make_unique<Pool>())
{
    detail::initializeCurl();
}

Client::~Client()
{
    for (CURL* handle : this->pool->idleHandles)
        curl_easy_cleanup(handle);
}

Reply Client::send(const Call& call)
{
    CURL* handle = this->pool->acquireHandle();
    detail::Transfer transfer { .call = call };
    detail::configureHandle(handle, transfer, this->options.maxConnectionsPerHandle);
    const CURLcode code = curl_easy_perform(handle);
    detail::fillReply(handle, code, transfer);
    this->pool->releaseHandle(handle, this->options.maxIdleHandles);
    return std::move(transfer.reply);
}

} // namespace rattan::http
