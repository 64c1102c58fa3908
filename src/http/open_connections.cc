#include "http/open_connections.h"

#include <algorithm>
#include <chrono>
#include <sys/socket.h>
#include <utility>

namespace rattan::http {

namespace {

    // A caller that reads gets its answer within a few round trips.
    constexpr Millis maxSendTime = 2000;

} // namespace

OpenConnection& OpenConnections::add(int socket)
{
    const std::lock_guard lock(this->mutex);
    if (this->isClosing)
        shutdown(socket, SHUT_RD);
    else if (this->connections.size() - this->closing >= this->maxOpen)
        this->closeLongestWaiting();
    return this->connections.emplace_back(OpenConnection { .socket = socket, .waitingSince = this->clock.now() });
}

void OpenConnections::markRequestStarted(OpenConnection& connection)
{
    const std::lock_guard lock(this->mutex);
    connection.stage = RequestStage::Reading;
    connection.waitingSince = this->clock.now();
}

void OpenConnections::markRequestRead(OpenConnection& connection)
{
    const std::lock_guard lock(this->mutex);
    connection.stage = RequestStage::Answering;
}

void OpenConnections::markAnswerReady(OpenConnection& connection)
{
    const std::lock_guard lock(this->mutex);
    connection.stage = RequestStage::Sending;
    connection.waitingSince = this->clock.now();
}

void OpenConnections::markLargeBody(OpenConnection& connection)
{
    const std::lock_guard lock(this->mutex);
    connection.holdsLargeBody = true;
}

// What has arrived is still read, so a complete request is answered. Its caller must not lose it to
// clients that send none.
void OpenConnections::close(OpenConnection& connection)
{
    connection.isClosing = true;
    shutdown(connection.socket, connection.stage == RequestStage::Sending ? SHUT_RDWR : SHUT_RD);
}

void OpenConnections::closeLongestWaiting()
{
    const Millis now = this->clock.now();
    OpenConnection* chosen = nullptr;
    for (OpenConnection& candidate : this->connections) {
        const bool isAnswerUnread = candidate.stage == RequestStage::Sending && now - candidate.waitingSince >= maxSendTime;
        const bool waits = candidate.stage == RequestStage::None || candidate.stage == RequestStage::Reading || isAnswerUnread;
        if (candidate.isClosing || !waits)
            continue;
        if (!chosen || std::pair(candidate.hasAnswered, candidate.waitingSince) < std::pair(chosen->hasAnswered, chosen->waitingSince))
            chosen = &candidate;
    }
    if (!chosen)
        return;
    close(*chosen);
    ++this->closing;
}

void OpenConnections::closeSlowestLargeBody(Millis minTime)
{
    const std::lock_guard lock(this->mutex);
    OpenConnection* chosen = nullptr;
    for (OpenConnection& candidate : this->connections) {
        const bool isSending = candidate.stage == RequestStage::Reading && candidate.holdsLargeBody && !candidate.isClosing;
        if (isSending && (!chosen || candidate.waitingSince < chosen->waitingSince))
            chosen = &candidate;
    }
    if (!chosen || this->clock.now() - chosen->waitingSince < minTime)
        return;
    close(*chosen);
    ++this->closing;
}

void OpenConnections::markRequestFinished(OpenConnection& connection)
{
    const std::lock_guard lock(this->mutex);
    connection.hasAnswered = connection.hasAnswered || connection.stage == RequestStage::Sending;
    connection.stage = RequestStage::None;
    connection.waitingSince = this->clock.now();
    connection.holdsLargeBody = false;
    if (this->isClosing)
        shutdown(connection.socket, SHUT_RD);
}

void OpenConnections::remove(OpenConnection& connection)
{
    const std::lock_guard lock(this->mutex);
    this->closing -= connection.isClosing ? 1 : 0;
    this->connections.remove_if([&](const OpenConnection& other) { return &other == &connection; });
    this->changed.notify_all();
}

void OpenConnections::closeWhenIdle()
{
    const std::lock_guard lock(this->mutex);
    this->isClosing = true;
    for (const OpenConnection& connection : this->connections) {
        if (connection.stage == RequestStage::None)
            shutdown(connection.socket, SHUT_RD);
    }
}

bool OpenConnections::waitUntilEmpty(Millis limit)
{
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(lock, std::chrono::milliseconds(limit), [this] { return this->connections.empty(); });
}

std::int64_t OpenConnections::requestsInProgress() const { return this->count(RequestStage::Reading); }

std::int64_t OpenConnections::requestsBeingAnswered() const { return this->count(RequestStage::Answering); }

std::int64_t OpenConnections::count(RequestStage minStage) const
{
    const std::lock_guard lock(this->mutex);
    return std::count_if(this->connections.begin(), this->connections.end(), [&](const OpenConnection& connection) { return connection.stage >= minStage; });
}

} // namespace rattan::http
