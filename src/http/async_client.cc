// All transfers share one libcurl multi handle: a thread per long poll would cost a
// stack and a wake-up for each of hundreds of peers. libcurl reports the sockets that it
// waits for, epoll reports which of them are ready, and only these are passed back to
// libcurl. The cost of an answer is therefore the same with ten pending calls as with
// three thousand, whereas curl_multi_perform() would query the kernel about every socket.
//
// Timeouts are handled here and not by libcurl, which checks the time before it reads the
// socket: if its thread is suspended for longer than a timeout, libcurl ends the call
// although the answer can already be read. Here a call times out only after a pass that
// started after its deadline and handled every socket that was ready, or after a series of
// passes that left sockets unhandled; in both cases only if nothing can be read from its socket.
// The check of the socket is needed because the thread may have been suspended between two
// passes, so the duration of such a series does not show that the answer is missing. A request
// that is sent after its deadline, which a suspension while its connection is opened can cause, gets
// the whole time for its answer.

#include "http/async_client.h"

#include "http/transfer.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <optional>
#include <poll.h>
#include <set>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <unordered_map>

namespace rattan::http {

namespace {

    using SteadyClock = std::chrono::steady_clock;

    constexpr std::size_t maxIdleHandles = 64; // libcurl handles kept for reuse; about 6 KB each.
    constexpr long receiveBufferBytes = 8192; // Most answers need less than libcurl's default of 16 KB.

    // Sockets handled per call of run(), about 4 ms of answers, so that a thousand
    // answers that arrive at once do not delay the caller's other work.
    constexpr std::size_t maxEventsPerPass = 64;

    // Connect timeout given to libcurl, longer than any timeout of a call.
    constexpr long noTimeoutMillis = 24L * 3600 * 1000;

    // A call times out this long after its deadline even if every pass since then has left
    // ready sockets unhandled. Without this bound no call would time out while this thread
    // cannot keep up with the arriving answers.
    constexpr Millis maxExpiryDelay = 500;

    // Reads after the deadline of a call that has unread data, 8 KB each. Without this bound a peer
    // that sends without end would keep its call from timing out.
    constexpr int maxLateReads = 64;

    struct PendingCall {
        detail::Transfer transfer;
        AsyncClient::Handler handler;
        int group { 0 };
        Millis sendDeadline { 0 }; // The first byte of the request must be sent by then.
        Millis answerDeadline { 0 }; // The complete answer must be received by then.
        Millis listedDeadline { 0 }; // The key of this call in Native::deadlines.
        std::uint64_t bytesAtExtension { 0 }; // Bytes received when the deadline was last extended.
        std::uint64_t bytesAtLateRead { 0 }; // Bytes received when `lateReads` was last increased.
        int lateReads { 0 };
        curl_socket_t socket { CURL_SOCKET_BAD }; // Reported by libcurl; CURLINFO_ACTIVESOCKET is unset during a transfer.

        // The earlier of the deadlines that apply; sendDeadline applies until a byte is sent.
        Millis deadline() const { return this->transfer.hasSentBytes ? this->answerDeadline : std::min(this->sendDeadline, this->answerDeadline); }

        // Extends the answer deadline if the request was sent after it, since the call would end in
        // doubt before the peer can answer; and if bytes were received since the last extension and
        // the call has restartTimeoutOnData.
        void extendDeadline(Millis now)
        {
            if (this->transfer.hasSentBytes && this->transfer.firstByteAt > this->answerDeadline)
                this->answerDeadline = this->transfer.firstByteAt + this->transfer.call.timeout.count();
            if (!this->transfer.call.restartTimeoutOnData || this->transfer.bytesReceived == this->bytesAtExtension)
                return;
            this->bytesAtExtension = this->transfer.bytesReceived;
            this->answerDeadline = now + this->transfer.call.timeout.count();
        }

        // Whether data for this call can be read and it may still be waited for.
        bool hasUnreadData()
        {
            if (this->lateReads >= maxLateReads || this->socket == CURL_SOCKET_BAD)
                return false;
            pollfd query { .fd = this->socket, .events = POLLIN, .revents = 0 };
            if (poll(&query, 1, 0) <= 0)
                return false;
            if (std::exchange(this->bytesAtLateRead, this->transfer.bytesReceived) != this->transfer.bytesReceived)
                ++this->lateReads;
            return true;
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
    int epollDescriptor { -1 };
    int wakeDescriptor { -1 };
    bool isTimerSet { false };
    SteadyClock::time_point timerDeadline; // When to call libcurl even if no socket is ready.
    std::unordered_map<CURL*, std::unique_ptr<PendingCall>> pendingCalls;
    std::set<std::pair<Millis, CURL*>> deadlines; // When to check each pending call; can be earlier than its current deadline.
    std::unordered_map<curl_socket_t, CURL*> socketOwners; // The call that uses each open socket.
    std::vector<CURL*> idleHandles;
    std::map<std::string_view, Traffic> traffic;
    std::uint64_t timedOutCalls { 0 };
    std::optional<Millis> backlogSince; // Start of the current sequence of passes that leave ready sockets unhandled.

    static int onSocket(CURL* handle, curl_socket_t socket, int socketEvents, void* user, void* socketData)
    {
        auto* native = static_cast<Native*>(user);
        native->setSocketOwner(socket, socketEvents == CURL_POLL_REMOVE ? nullptr : handle);
        if (socketEvents == CURL_POLL_REMOVE) {
            epoll_ctl(native->epollDescriptor, EPOLL_CTL_DEL, socket, nullptr);
            return 0;
        }
        epoll_event event {};
        event.data.fd = socket;
        event.events = ((socketEvents & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) | ((socketEvents & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
        if (epoll_ctl(native->epollDescriptor, socketData ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event) != 0)
            epoll_ctl(native->epollDescriptor, socketData ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &event); // libcurl has closed and reopened the socket in between.
        curl_multi_assign(native->multi, socket, native);
        return 0;
    }

    // Records which call uses the socket; null if none does.
    void setSocketOwner(curl_socket_t socket, CURL* handle)
    {
        if (const auto owner = this->socketOwners.find(socket); owner != this->socketOwners.end()) {
            if (const auto previous = this->pendingCalls.find(owner->second); previous != this->pendingCalls.end() && previous->second->socket == socket)
                previous->second->socket = CURL_SOCKET_BAD;
            this->socketOwners.erase(owner);
        }
        const auto found = this->pendingCalls.find(handle);
        if (found == this->pendingCalls.end())
            return;
        found->second->socket = socket;
        this->socketOwners.emplace(socket, handle);
    }

    static int onTimer(CURLM*, long millis, void* user)
    {
        auto* native = static_cast<Native*>(user);
        native->isTimerSet = millis >= 0;
        native->timerDeadline = SteadyClock::now() + std::chrono::milliseconds(std::max(millis, 0L));
        return 0;
    }

    CURL* acquireHandle()
    {
        if (this->idleHandles.empty())
            return curl_easy_init();
        CURL* handle = this->idleHandles.back();
        this->idleHandles.pop_back();
        return handle;
    }

    void releaseHandle(CURL* handle)
    {
        if (this->idleHandles.size() < maxIdleHandles)
            this->idleHandles.push_back(handle);
        else
            curl_easy_cleanup(handle);
    }

    void cancel(CURL* handle)
    {
        curl_multi_remove_handle(this->multi, handle);
        const auto found = this->pendingCalls.find(handle);
        this->addTraffic(handle, found->second->transfer);
        curl_slist_free_all(found->second->transfer.headers);
        this->deadlines.erase({ found->second->listedDeadline, handle });
        this->pendingCalls.erase(found);
        curl_easy_cleanup(handle);
    }

    void addTraffic(CURL* handle, const detail::Transfer& transfer)
    {
        long newConnections = 0;
        curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &newConnections);
        Traffic& purposeTraffic = this->traffic[transfer.call.purpose];
        ++purposeTraffic.calls;
        purposeTraffic.connections += static_cast<std::uint64_t>(newConnections);
        purposeTraffic.bytesSent += transfer.bytesSent;
        purposeTraffic.bytesReceived += transfer.bytesReceived;
    }

    void handleTimer()
    {
        if (!this->isTimerSet || SteadyClock::now() < this->timerDeadline)
            return;
        this->isTimerSet = false;
        int running = 0;
        curl_multi_socket_action(this->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }

    std::chrono::milliseconds maxPollTime(std::chrono::milliseconds maxWait) const
    {
        auto remaining = maxWait;
        if (this->isTimerSet)
            remaining = std::min(remaining, std::chrono::ceil<std::chrono::milliseconds>(this->timerDeadline - SteadyClock::now()));
        if (!this->deadlines.empty())
            remaining = std::min(remaining, std::chrono::milliseconds(this->deadlines.begin()->first - this->clock.now()));
        return std::max(remaining, std::chrono::milliseconds(0));
    }

    // Waits for sockets and passes the ready ones to libcurl. Returns true if all ready
    // sockets were handled.
    bool handleSockets(std::chrono::milliseconds maxWait)
    {
        std::array<epoll_event, maxEventsPerPass> events {};
        int readyCount = epoll_wait(this->epollDescriptor, events.data(), static_cast<int>(events.size()), static_cast<int>(maxWait.count()));
        // The wait ends without events when a stopped process continues, although sockets may have
        // become ready meanwhile.
        while (readyCount < 0 && errno == EINTR)
            readyCount = epoll_wait(this->epollDescriptor, events.data(), static_cast<int>(events.size()), 0);
        for (int i = 0; i < readyCount; ++i) {
            const epoll_event& event = events[static_cast<std::size_t>(i)];
            if (event.data.fd == this->wakeDescriptor) {
                std::uint64_t count = 0;
                static_cast<void>(read(this->wakeDescriptor, &count, sizeof(count))); // Resets the event, so that the next epoll_wait() blocks.
                continue;
            }
            int socketEvents = 0;
            if ((event.events & EPOLLIN) != 0)
                socketEvents |= CURL_CSELECT_IN;
            if ((event.events & EPOLLOUT) != 0)
                socketEvents |= CURL_CSELECT_OUT;
            if ((event.events & (EPOLLERR | EPOLLHUP)) != 0)
                socketEvents |= CURL_CSELECT_ERR;
            int running = 0;
            curl_multi_socket_action(this->multi, event.data.fd, socketEvents, &running);
        }
        return readyCount < static_cast<int>(events.size());
    }

    // Completes the calls that libcurl has finished. Returns true if there was any.
    bool completeAll()
    {
        int remaining = 0;
        bool anyCompleted = false;
        while (CURLMsg* message = curl_multi_info_read(this->multi, &remaining)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            anyCompleted = true;
            this->complete(message->easy_handle, message->data.result);
        }
        return anyCompleted;
    }

    // Times out the calls whose deadline had passed at `now`; `allRead` says whether every
    // answer that had arrived by then has been read.
    void expireCalls(Millis now, bool allRead)
    {
        if (allRead)
            this->backlogSince.reset();
        else if (!this->backlogSince)
            this->backlogSince = now;
        const Millis latestExpired = allRead ? now : now - maxExpiryDelay;
        if (this->backlogSince.value_or(latestExpired) > latestExpired)
            return;
        while (!this->deadlines.empty() && this->deadlines.begin()->first <= latestExpired) {
            CURL* handle = this->deadlines.begin()->second;
            this->deadlines.erase(this->deadlines.begin());
            PendingCall& pendingCall = *this->pendingCalls.at(handle);
            pendingCall.extendDeadline(now);
            const bool isExpired = pendingCall.deadline() <= latestExpired;
            if (isExpired && !pendingCall.hasUnreadData()) {
                ++this->timedOutCalls;
                this->complete(handle, CURLE_OPERATION_TIMEDOUT);
                continue;
            }
            pendingCall.listedDeadline = isExpired ? latestExpired + 1 : pendingCall.deadline();
            this->deadlines.emplace(pendingCall.listedDeadline, handle);
        }
    }

    void complete(CURL* handle, CURLcode code)
    {
        curl_multi_remove_handle(this->multi, handle);
        const auto found = this->pendingCalls.find(handle);
        const std::unique_ptr<PendingCall> finishedCall = std::move(found->second);
        this->pendingCalls.erase(found);
        this->deadlines.erase({ finishedCall->listedDeadline, handle });
        this->addTraffic(handle, finishedCall->transfer);
        detail::fillReply(handle, code, finishedCall->transfer);
        this->releaseHandle(handle);
        finishedCall->handler(finishedCall->transfer.reply);
    }
};

AsyncClient::AsyncClient(AsyncClientOptions options, const Clock& clock)
    : native(std::make_unique<Native>(clock))
{
    detail::initializeCurl();
    Native& state = *this->native;
    state.epollDescriptor = epoll_create1(EPOLL_CLOEXEC);
    state.wakeDescriptor = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    epoll_event event {};
    event.data.fd = state.wakeDescriptor;
    event.events = EPOLLIN;
    epoll_ctl(state.epollDescriptor, EPOLL_CTL_ADD, state.wakeDescriptor, &event);
    state.multi = curl_multi_init();
    curl_multi_setopt(state.multi, CURLMOPT_SOCKETFUNCTION, &Native::onSocket);
    curl_multi_setopt(state.multi, CURLMOPT_SOCKETDATA, &state);
    curl_multi_setopt(state.multi, CURLMOPT_TIMERFUNCTION, &Native::onTimer);
    curl_multi_setopt(state.multi, CURLMOPT_TIMERDATA, &state);
    curl_multi_setopt(state.multi, CURLMOPT_MAX_HOST_CONNECTIONS, options.maxConnectionsPerPeer);
    curl_multi_setopt(state.multi, CURLMOPT_MAXCONNECTS, options.maxIdleConnections);
    curl_multi_setopt(state.multi, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
}

AsyncClient::~AsyncClient()
{
    while (!this->native->pendingCalls.empty())
        this->native->cancel(this->native->pendingCalls.begin()->first);
    for (CURL* handle : this->native->idleHandles)
        curl_easy_cleanup(handle);
    curl_multi_cleanup(this->native->multi);
    close(this->native->wakeDescriptor);
    close(this->native->epollDescriptor);
}

void AsyncClient::send(Call call, Handler handler)
{
    CURL* handle = this->native->acquireHandle();
    auto newCall = std::make_unique<PendingCall>();
    newCall->transfer.call = std::move(call);
    newCall->transfer.clock = &this->native->clock;
    newCall->handler = std::move(handler);
    newCall->group = this->group;
    const Millis now = this->native->clock.now();
    newCall->sendDeadline = now + newCall->transfer.call.connectTimeout.count();
    newCall->answerDeadline = now + newCall->transfer.call.timeout.count();
    newCall->listedDeadline = newCall->deadline();
    detail::configureHandle(handle, newCall->transfer, 0);
    curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, receiveBufferBytes);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, 0L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, noTimeoutMillis);
    this->native->deadlines.emplace(newCall->listedDeadline, handle);
    this->native->pendingCalls.emplace(handle, std::move(newCall));
    curl_multi_add_handle(this->native->multi, handle);
}

void AsyncClient::run(std::chrono::milliseconds maxWait)
{
    const bool anyCompleted = this->native->completeAll();
    const Millis now = this->native->clock.now();
    const bool allRead = this->native->handleSockets(anyCompleted ? std::chrono::milliseconds(0) : this->native->maxPollTime(maxWait));
    this->native->handleTimer();
    this->native->completeAll();
    // Answers that had arrived at `now` have been read before calls time out. Otherwise a
    // starved or suspended thread would treat workers that have answered as silent, and
    // stop whole gangs because of them.
    this->native->expireCalls(now, allRead);
}

void AsyncClient::wake()
{
    const std::uint64_t one = 1;
    static_cast<void>(write(this->native->wakeDescriptor, &one, sizeof(one))); // Fails only if a wake-up is already pending.
}

void AsyncClient::cancelGroup(int group)
{
    std::vector<CURL*> handles;
    for (const auto& [handle, pendingCall] : this->native->pendingCalls) {
        if (pendingCall->group == group)
            handles.push_back(handle);
    }
    for (CURL* handle : handles)
        this->native->cancel(handle);
}

std::size_t AsyncClient::callsInFlight() const { return this->native->pendingCalls.size(); }

std::uint64_t AsyncClient::timedOutCalls() const { return this->native->timedOutCalls; }

const std::map<std::string_view, Traffic>& AsyncClient::traffic() const { return this->native->traffic; }

} // namespace rattan::http
