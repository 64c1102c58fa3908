#pragma once

// The thread that makes all decisions of an instance: it follows the streams of the store,
// answers callers through the gateway, takes part in the election of the planner, and
// plans while it leads.
//
//     ControlLoop loop(settings, protocols, clock, metrics);
//     loop.start();
//     CallerAnswer answer = loop.handleRequest(request); // from any thread; blocks
//     loop.drain(clock.now() + 5000);                    // resign, and answer all requests by then
//     loop.stop();
//
// Callers' threads pass requests through two bounded queues: one iteration accepts all small
// requests, and one of those with a large body, which takes milliseconds to parse. When the queue
// of small requests is full, a request is refused immediately; when the other one is, the body is
// dropped, and the request is refused by its head.

#include "base/bounded_queue.h"
#include "base/datagram_socket.h"
#include "base/metrics.h"
#include "delivery/delivery_thread.h"
#include "delivery/order_forwarder.h"
#include "delivery/relay_selector.h"
#include "http/async_client.h"
#include "instance/gateway.h"
#include "instance/leadership.h"
#include "instance/planner_watch.h"
#include "instance/readiness.h"
#include "instance/request_forwarder.h"
#include "instance/settings.h"
#include "instance/stream_reader.h"
#include "instance/traffic_report.h"
#include "tasks/election.h"
#include "tasks/evacuated_domains.h"
#include "tasks/job_table.h"

#include <atomic>
#include <future>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace rattan::instance {

struct Protocols {
    const StoreProtocol& store;
    const delivery::WorkerProtocol& workers;
    const CallerProtocol& callers;
    const ConfigurationProtocol& configuration;
};

class ControlLoop final : public StreamHandler {
public:
    ControlLoop(InstanceSettings, Protocols, const Clock&, Metrics&);
    ~ControlLoop() override;
    ControlLoop(const ControlLoop&) = delete;
    ControlLoop& operator=(const ControlLoop&) = delete;

    void start();
    void stop();

    // Resigns, so that another instance takes over planning immediately. Every request is
    // answered by the deadline, with Outcome::Unknown if its outcome is not known by then.
    void drain(Millis answerDeadline);

    // Sets reloaded settings, which the next iteration of the loop applies.
    void apply(const InstanceSettings&);

    CallerAnswer handleRequest(CallerRequest);

    // The limit of the configuration in use, in bytes, or 0 if there is none. From any thread.
    std::int64_t maxBodyBytes() const { return this->bodyLimit; }

    // Whether the load balancer should send new connections to this instance.
    bool isReady() const { return this->ready && !this->draining; }

    void recordRead(Stream, const StoreRecord&, Millis now) override;
    void loadStarted(Stream) override;
    void streamConfirmed(Stream, std::int64_t end, Millis confirmedAt, Millis now) override;
    void streamFailed(Stream, const std::string& why, Millis now) override;

private:
    struct QueuedRequest {
        CallerRequest request;
        std::promise<CallerAnswer> answer;
        Millis callerDeadline { 0 }; // When the caller gives up.
    };

    // A request whose caller's thread waits for the answer of the loop.
    struct UnansweredRequest {
        std::promise<CallerAnswer> answer;
        CallerRequest request;
    };

    void runLoop();
    void step();
    void applyNewSettings();
    void acceptRequests(Millis now, Millis wallTime);
    void acceptRequest(QueuedRequest, Millis now, Millis wallTime);
    void answerCallers();
    void answerCaller(const GatewayAnswer&);
    void answerAll(const CallerAnswer&);
    void appendRecords(Millis now);
    void updateReadiness(Millis now);
    void runElection(Millis now);
    bool isReadyToClaim(Millis now);
    void sendClaim(const tasks::Election::Append&);
    void openPeerSocket();
    void startDeliveryThread();
    void watchPlanner(Millis now);
    void receiveDatagrams(Millis now);
    void sendRelayOffer(Millis now);
    void processDeliveryEvents(Millis now);
    std::unique_ptr<delivery::WorkerChannel> channelFor(std::uint64_t session);
    void handleDelivery(const delivery::OrdersReceived& orders, Millis now) { this->orderForwarder.handleOrders(orders, now); }
    void handleDelivery(const delivery::SessionEnded& session, Millis) { this->orderForwarder.handleSessionEnded(session); }
    void handleDelivery(const delivery::AnswersReceived&, Millis now);
    void handleDelivery(const delivery::PeerLost&, Millis now);
    void handleDelivery(const delivery::ArrivalCheck&, Millis now);
    bool maySend(const delivery::WorkerCall&) const;
    bool areEvacuationsKnown(Millis now) const;
    void evacuationsChanged(Millis now);
    void handleEvacuationRecord(const std::string& domain, const StoreRecord&, Millis now);
    void endEvacuation(const std::string& domain, Millis since, Millis now);
    void endEvacuationLoad(Millis now);
    std::string peerAddressOf(const std::string& holder) const;
    void stepLeadership(Millis now, Millis wallTime);
    void endTerm(const char* why);
    void handleJobRecord(const StoreRecord&, Millis now);
    void configurationSeen(std::int64_t version)
    {
        this->gateway.configurationSeen(version);
        this->requestForwarder.configurationSeen(version);
    }
    void handleConfigurationRecord(const StoreRecord&, Millis now);
    void handleClaimRecord(const StoreRecord&, Millis now);
    void publishGauges(Millis now);
    Millis nextWake(Millis now, Millis wallTime) const;

    InstanceSettings settings;
    Protocols protocols;
    const Clock& clock;
    Metrics& metrics;
    http::AsyncClient client;
    tasks::JobTable jobs;
    tasks::PlanTable plans; // Read before a claim and at the start of a term; not updated while this instance plans.
    Gateway gateway;
    RequestForwarder requestForwarder;
    Readiness readiness;
    StreamReader configurationReader;
    StreamReader jobsReader;
    StreamReader claimsReader;
    StreamReader plansReader;
    std::map<Stream, bool> reachableStreams;
    tasks::Election election;
    PlannerWatch plannerWatch;
    DatagramSocket peerSocket;
    delivery::DeliveryThread deliveryThread;
    delivery::OrderForwarder orderForwarder;
    delivery::RelaySelector relaySelector;
    Millis nextOfferAt { 0 };
    bool deliveryThreadFailed { false };
    std::unique_ptr<Leadership> leadership;
    std::shared_ptr<const tasks::Catalog> catalog;
    tasks::EvacuatedDomains evacuatedDomains;

    BoundedQueue<QueuedRequest> requestQueue;
    BoundedQueue<QueuedRequest> largeRequestQueue;
    std::atomic<std::int64_t> bodyLimit { 0 };
    std::map<std::uint64_t, UnansweredRequest> unansweredRequests;
    std::uint64_t lastTicket { 0 };
    bool appendInFlight { false };
    bool claimInFlight { false };
    Millis nextAppendAt { 0 };
    Millis nextGaugesAt { 0 };
    TrafficReport trafficReport;

    std::mutex newSettingsMutex;
    std::optional<InstanceSettings> newSettings; // Reloaded and not applied yet.

    std::thread thread;
    std::atomic<bool> stopping { false };
    std::atomic<bool> draining { false };
    std::atomic<Millis> answerDeadline { std::numeric_limits<Millis>::max() };
    std::atomic<bool> ready { false };
};

} // namespace rattan::instance
