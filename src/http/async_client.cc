// All transfers hang on one libcurl multi handle: a thread for each long poll
// would cost a stack and a wake-up for each of the hundreds of peers. libcurl says
// which sockets it waits for, and epoll tells which of them have something; only
// those are handed back to it. So an answer costs the same beside ten waiting calls
// and beside three thousand, where curl_multi_perform() would ask the kernel about
// every one of them.
//
// Time limits are kept here and not by libcurl, which looks at the time before it
// looks at the socket: once its thread has stood still for longer than a timeout, it
// ends the call although the answer lies there to be read. A call is given up only
// after a pass that began past its limit and read every socket that was ready.

#include "http/async_client.h"

#include "http/transfer.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <unordered_map>

namespace rattan::http {

namespace {

    using SteadyClock = std::chrono::steady_clock;

    constexpr std::size_t idleHandles = 64; // Kept for reuse; about 6 KB each.
    constexpr long receiveBufferBytes = 8192; // libcurl's default of 16 KB is more than most answers need.

    // Sockets handled before the caller has its turn again: about 4 ms of answers, so
    // that a thousand that arrive at once do not hold up what the caller must do.
    constexpr std::size_t eventsAtOnce = 64;

    // libcurl's own limits, beyond any of ours.
    constexpr long noLimitMillis = 24L * 3600 * 1000;

    // Calls past their limit end although every pass for so long has left ready sockets
    // to the next one: else nothing would end while this thread cannot keep up with
    // what arrives.
    constexpr Millis longestBehind = 500;

    struct Pending {
        detail::Transfer transfer;
        AsyncClient::Handler handler;
        int group { 0 };
        Millis connectBy { 0 }; // Some of the request has to be sent by then,
        Millis answerBy { 0 }; // and all of the answer read by then.
        Millis listedAt { 0 }; // Its place in the list of limits.
        std::uint64_t bytesSeen { 0 }; // Received when its limit was last put off.

        // The next of the two that can end this call.
        Millis limit() const { return this->transfer.wroteBytes ? this->answerBy : std::min(this->connectBy, this->answerBy); }

        // Puts the limit off where bytes have come since that was last done.
        void putOff(Millis now)
        {
            if (!this->transfer.call.timeoutWhileSilent || this->transfer.bytesReceived == this->bytesSeen)
                return;
            this->bytesSeen = this->transfer.bytesReceived;
            this->answerBy = now + this->transfer.call.timeout.count();
        }
    };

} // namespace

struct AsyncClient::Native {
    explicit Native(const Clock& clock)
        : clock(clock)
    {
    }

    const Clock& clock;
    CURLM* multi { nullptr };
    int poller { -1 };
    int waker { -1 };
    bool timerSet { false };
    SteadyClock::time_point timerAt; // When libcurl wants to be called although no socket is ready.
    std::unordered_map<CURL*, std::unique_ptr<Pending>> pending;
    std::set<std::pair<Millis, CURL*>> limits; // When to look at each pending call; may be before its present limit.
    std::vector<CURL*> idle;
    std::map<std::string_view, Traffic> traffic;
    std::optional<Millis> behindSince; // Since when no pass has read all that was ready.

    static int onSocket(CURL*, curl_socket_t socket, int what, void* user, void* known)
    {
        auto* native = static_cast<Native*>(user);
        if (what == CURL_POLL_REMOVE) {
            epoll_ctl(native->poller, EPOLL_CTL_DEL, socket, nullptr);
            return 0;
        }
        epoll_event event {};
        event.data.fd = socket;
        event.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) | ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
        if (epoll_ctl(native->poller, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event) != 0)
            epoll_ctl(native->poller, known ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &event); // libcurl closed and reopened it meanwhile.
        curl_multi_assign(native->multi, socket, native);
        return 0;
    }

    static int onTimer(CURLM*, long millis, void* user)
    {
        auto* native = static_cast<Native*>(user);
        native->timerSet = millis >= 0;
        native->timerAt = SteadyClock::now() + std::chrono::milliseconds(std::max(millis, 0L));
        return 0;
    }

    CURL* take()
    {
        if (this->idle.empty())
            return curl_easy_init();
        CURL* handle = this->idle.back();
        this->idle.pop_back();
        return handle;
    }

    void give(CURL* handle)
    {
        if (this->idle.size() < idleHandles)
            this->idle.push_back(handle);
        else
            curl_easy_cleanup(handle);
    }

    void drop(CURL* handle)
    {
        curl_multi_remove_handle(this->multi, handle);
        const auto found = this->pending.find(handle);
        this->account(handle, found->second->transfer);
        curl_slist_free_all(found->second->transfer.headers);
        this->limits.erase({ found->second->listedAt, handle });
        this->pending.erase(found);
        curl_easy_cleanup(handle);
    }

    void account(CURL* handle, const detail::Transfer& transfer)
    {
        long opened = 0;
        curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &opened);
        Traffic& sum = this->traffic[transfer.call.purpose];
        ++sum.calls;
        sum.connections += static_cast<std::uint64_t>(opened);
        sum.bytesSent += transfer.bytesSent;
        sum.bytesReceived += transfer.bytesReceived;
    }

    void runTimer()
    {
        if (!this->timerSet || SteadyClock::now() < this->timerAt)
            return;
        this->timerSet = false;
        int running = 0;
        curl_multi_socket_action(this->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }

    std::chrono::milliseconds untilTimer(std::chrono::milliseconds longest) const
    {
        auto left = longest;
        if (this->timerSet)
            left = std::min(left, std::chrono::ceil<std::chrono::milliseconds>(this->timerAt - SteadyClock::now()));
        if (!this->limits.empty())
            left = std::min(left, std::chrono::milliseconds(this->limits.begin()->first - this->clock.now()));
        return std::max(left, std::chrono::milliseconds(0));
    }

    // Waits for sockets, and lets libcurl work on those that are ready. True if it worked
    // on all of them.
    bool runSockets(std::chrono::milliseconds longest)
    {
        std::array<epoll_event, eventsAtOnce> events {};
        const int ready = epoll_wait(this->poller, events.data(), static_cast<int>(events.size()), static_cast<int>(longest.count()));
        for (int i = 0; i < ready; ++i) {
            const epoll_event& event = events[static_cast<std::size_t>(i)];
            if (event.data.fd == this->waker) {
                std::uint64_t count = 0;
                static_cast<void>(read(this->waker, &count, sizeof(count))); // Only to make it wait again.
                continue;
            }
            int what = 0;
            if ((event.events & EPOLLIN) != 0)
                what |= CURL_CSELECT_IN;
            if ((event.events & EPOLLOUT) != 0)
                what |= CURL_CSELECT_OUT;
            if ((event.events & (EPOLLERR | EPOLLHUP)) != 0)
                what |= CURL_CSELECT_ERR;
            int running = 0;
            curl_multi_socket_action(this->multi, event.data.fd, what, &running);
        }
        return ready < static_cast<int>(events.size());
    }

    // True if an answer was handled.
    bool deliverAll()
    {
        int left = 0;
        bool delivered = false;
        while (CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            delivered = true;
            this->deliver(message->easy_handle, message->data.result);
        }
        return delivered;
    }

    // Ends calls that were past their limit at `now`; `readAll` tells whether every
    // answer that had arrived by then was read.
    void endLate(Millis now, bool readAll)
    {
        if (readAll)
            this->behindSince.reset();
        else if (!this->behindSince)
            this->behindSince = now;
        const Millis overdue = readAll ? now : now - longestBehind;
        if (this->behindSince.value_or(overdue) > overdue)
            return;
        while (!this->limits.empty() && this->limits.begin()->first <= overdue) {
            CURL* handle = this->limits.begin()->second;
            this->limits.erase(this->limits.begin());
            Pending& late = *this->pending.at(handle);
            late.putOff(now);
            if (late.limit() <= overdue) {
                this->deliver(handle, CURLE_OPERATION_TIMEDOUT);
                continue;
            }
            late.listedAt = late.limit();
            this->limits.emplace(late.listedAt, handle);
        }
    }

    void deliver(CURL* handle, CURLcode code)
    {
        curl_multi_remove_handle(this->multi, handle);
        const auto found = this->pending.find(handle);
        const std::unique_ptr<Pending> done = std::move(found->second);
        this->pending.erase(found);
        this->limits.erase({ done->listedAt, handle });
        this->account(handle, done->transfer);
        detail::finish(handle, code, done->transfer);
        this->give(handle);
        done->handler(done->transfer.reply);
    }
};

AsyncClient::AsyncClient(AsyncClientOptions options, const Clock& clock)
    : native(std::make_unique<Native>(clock))
{
    detail::startLibrary();
    Native& own = *this->native;
    own.poller = epoll_create1(EPOLL_CLOEXEC);
    own.waker = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    epoll_event event {};
    event.data.fd = own.waker;
    event.events = EPOLLIN;
    epoll_ctl(own.poller, EPOLL_CTL_ADD, own.waker, &event);
    own.multi = curl_multi_init();
    curl_multi_setopt(own.multi, CURLMOPT_SOCKETFUNCTION, &Native::onSocket);
    curl_multi_setopt(own.multi, CURLMOPT_SOCKETDATA, &own);
    curl_multi_setopt(own.multi, CURLMOPT_TIMERFUNCTION, &Native::onTimer);
    curl_multi_setopt(own.multi, CURLMOPT_TIMERDATA, &own);
    curl_multi_setopt(own.multi, CURLMOPT_MAX_HOST_CONNECTIONS, options.connectionsPerPeer);
    curl_multi_setopt(own.multi, CURLMOPT_MAXCONNECTS, options.connectionsKept);
    curl_multi_setopt(own.multi, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
}

AsyncClient::~AsyncClient()
{
    while (!this->native->pending.empty())
        this->native->drop(this->native->pending.begin()->first);
    for (CURL* handle : this->native->idle)
        curl_easy_cleanup(handle);
    curl_multi_cleanup(this->native->multi);
    close(this->native->waker);
    close(this->native->poller);
}

void AsyncClient::send(Call call, Handler handler)
{
    CURL* handle = this->native->take();
    auto entry = std::make_unique<Pending>();
    entry->transfer.call = std::move(call);
    entry->handler = std::move(handler);
    entry->group = this->group;
    const Millis now = this->native->clock.now();
    entry->connectBy = now + entry->transfer.call.connectTimeout.count();
    entry->answerBy = now + entry->transfer.call.timeout.count();
    entry->listedAt = entry->limit();
    detail::prepare(handle, entry->transfer, 0);
    curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, receiveBufferBytes);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, 0L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, noLimitMillis);
    this->native->limits.emplace(entry->listedAt, handle);
    this->native->pending.emplace(handle, std::move(entry));
    curl_multi_add_handle(this->native->multi, handle);
}

void AsyncClient::run(std::chrono::milliseconds longest)
{
    const bool delivered = this->native->deliverAll();
    const Millis now = this->native->clock.now();
    const bool readAll = this->native->runSockets(delivered ? std::chrono::milliseconds(0) : this->native->untilTimer(longest));
    this->native->runTimer();
    this->native->deliverAll();
    // What had arrived at `now` has been read. A starved or frozen thread would otherwise
    // take workers that answered for silent ones, and stop whole gangs for them.
    this->native->endLate(now, readAll);
}

void AsyncClient::wake()
{
    const std::uint64_t one = 1;
    static_cast<void>(write(this->native->waker, &one, sizeof(one))); // Fails only if it has been woken already.
}

void AsyncClient::abandon(int group)
{
    std::vector<CURL*> handles;
    for (const auto& [handle, entry] : this->native->pending) {
        if (entry->group == group)
            handles.push_back(handle);
    }
    for (CURL* handle : handles)
        this->native->drop(handle);
}

std::size_t AsyncClient::underWay() const { return this->native->pending.size(); }

const std::map<std::string_view, Traffic>& AsyncClient::traffic() const { return this->native->traffic; }

} // namespace rattan::http
