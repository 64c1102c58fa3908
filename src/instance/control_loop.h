#pragma once

// The thread of an instance on which everything is decided: it follows the store,
// answers callers through the gateway, takes part in the election, and plans
// while it leads.
//
//     ControlLoop loop(settings, protocols, clock, metrics);
//     loop.start();
//     CallerAnswer answer = loop.ask(request);      // from any thread; blocks
//     loop.drain(clock.now() + 5000);               // hand the term over, answer all by then
//     loop.stop();
//
// Callers' threads reach it through a bounded ring; when that is full, a request
// is refused at once.

#include "base/bounded_queue.h"
#include "base/datagram_socket.h"
#include "base/metrics.h"
#include "delivery/delivery_thread.h"
#include "delivery/order_carrier.h"
#include "delivery/relay_roster.h"
#include "http/async_client.h"
#include "instance/gateway.h"
#include "instance/leadership.h"
#include "instance/planner_watch.h"
#include "instance/relay.h"
#include "instance/settings.h"
#include "instance/stream_reader.h"
#include "instance/traffic_report.h"
#include "tasks/election.h"
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
    const ConfigurationProtocol& text;
};

class ControlLoop final : public StreamHandler {
public:
    ControlLoop(InstanceSettings, Protocols, const Clock&, Metrics&);
    ~ControlLoop() override;
    ControlLoop(const ControlLoop&) = delete;
    ControlLoop& operator=(const ControlLoop&) = delete;

    void start();
    void stop();

    // Gives the term up, so that another instance follows at once. Whatever is asked is
    // answered by that time, also where the outcome is not known by then.
    void drain(Millis lastAnswerAt);

    // Settings that were read again; taken by the loop's next round.
    void apply(const InstanceSettings&);

    CallerAnswer ask(CallerRequest);

    // Whether this instance wants new connections.
    bool ready() const { return this->isReady && !this->draining; }

    void recordRead(Stream, const StoreRecord&, Millis now) override;
    void loadBegun(Stream) override;
    void streamConfirmed(Stream, std::int64_t end, Millis confirmedAt, Millis now) override;
    void streamFailed(Stream, const std::string& why, Millis now) override;

private:
    struct Command {
        CallerRequest request;
        std::promise<CallerAnswer> answer;
    };

    // One waiter of the two sides: the caller's thread and the loop.
    struct Asked {
        std::promise<CallerAnswer> answer;
        CallerRequest request;
    };

    void run();
    void round();
    void takeSettings();
    void takeCommands(Millis now, Millis wall);
    void answerCallers();
    void answerCaller(const GatewayAnswer&);
    void answerAll(const CallerAnswer&);
    void appendRecords(Millis now);
    void runElection(Millis now);
    bool readyToClaim(Millis now);
    void sendClaim(const tasks::Election::Append&);
    void openPeerSocket();
    void startDeliveries();
    void watchPlanner(Millis now);
    void receiveDatagrams(Millis now);
    void offerRelay(Millis now);
    void takeDeliveries(Millis now);
    std::unique_ptr<delivery::WorkerChannel> channelFor(std::uint64_t session);
    void delivered(const delivery::OrdersArrived& orders, Millis now) { this->carrier.arrived(orders, now); }
    void delivered(const delivery::SessionEnded& session, Millis) { this->carrier.ended(session); }
    void delivered(const delivery::AnswersArrived&, Millis now);
    void delivered(const delivery::PeerLost&, Millis now);
    std::string peerOf(const std::string& holder) const;
    void lead(Millis now, Millis wall);
    void endTerm(const char* why);
    void jobRecordRead(const StoreRecord&, Millis now);
    void configurationRecordRead(const StoreRecord&);
    void claimRecordRead(const StoreRecord&, Millis now);
    void publishGauges(Millis now);
    Millis nextWake(Millis now, Millis wall) const;

    InstanceSettings settings;
    Protocols protocols;
    const Clock& clock;
    Metrics& metrics;
    http::AsyncClient client;
    tasks::JobTable jobs;
    tasks::PlanTable plans; // As they were when a term of this instance last began.
    Gateway gateway;
    Relay relay;
    StreamReader configurationReader;
    StreamReader jobsReader;
    StreamReader claimsReader;
    StreamReader plansReader;
    std::map<Stream, bool> reachable;
    tasks::Election election;
    PlannerWatch plannerWatch;
    DatagramSocket peerSocket;
    delivery::DeliveryThread deliveries;
    delivery::OrderCarrier carrier;
    delivery::RelayRoster roster;
    Millis offerAt { 0 };
    bool deliveriesFailed { false };
    std::unique_ptr<Leadership> leadership;
    std::shared_ptr<const tasks::Catalog> catalog;

    BoundedQueue<Command> commands;
    std::map<std::uint64_t, Asked> asked;
    std::uint64_t lastTicket { 0 };
    bool appendUnderWay { false };
    bool claimUnderWay { false };
    Millis nextAppendAt { 0 };
    Millis gaugesAt { 0 };
    TrafficReport trafficReport;

    std::mutex freshMutex;
    std::optional<InstanceSettings> fresh; // Read again, and not taken yet.

    std::thread thread;
    std::atomic<bool> stopping { false };
    std::atomic<bool> draining { false };
    std::atomic<Millis> lastAnswerAt { std::numeric_limits<Millis>::max() };
    std::atomic<bool> isReady { false };
};

} // namespace rattan::instance
