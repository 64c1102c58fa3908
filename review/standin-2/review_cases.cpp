// Plays one case of the review: review-cases CASE PROGRAM DIRECTORY RECORD
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. The variable
// TROUBLE is 0 for a play without the disruption.

#include "deployment.hpp"

#include <functional>

namespace review {

namespace {

    constexpr int held = 0;
    constexpr int broken = 1;
    constexpr int notRun = 2;

    struct Play {
        Recorder& recorder;
        std::string program;
        std::string directory;
        std::string trouble; // "0", "1", or a word that a case knows.
    };

    // Whether the system runs a first job, so that one instance plans and all workers are known.
    bool warmUp(Deployment& site, Recorder& recorder)
    {
        if (!site.waitUntilReady(20000)) {
            recorder.say("the instances are not ready");
            return false;
        }
        if (!site.submit("00000000000000aa", Deployment::oneTask(300)) || site.waitForEnd("00000000000000aa", 15000) != "completed") {
            recorder.say("the first job was not completed");
            return false;
        }
        sleepFor(2000);
        return true;
    }

    int judgeDoubles(Deployment& site, Recorder& recorder)
    {
        const std::vector<std::string> doubles = site.allRuns().doubleRuns();
        for (const std::string& text : doubles)
            recorder.say("BROKEN TWICE: %s", text.c_str());
        return doubles.empty() ? held : broken;
    }

    // The bound of leases is raised while an instance plans. After that, the worker of a long task is
    // cut off for 5.5 s and runs on. TROUBLE=cut plays the cut alone, TROUBLE=settings the change alone.
    int raisedLeaseBound(const Play& play)
    {
        Deployment site({ .program = play.program, .directory = play.directory, .workers = 8, .maxHold = 6000 }, play.recorder);
        if (!warmUp(site, play.recorder))
            return notRun;
        const int planner = site.planner();
        play.recorder.say("instance %d plans", planner);
        if (planner < 0)
            return notRun;
        if (play.trouble == "1" || play.trouble == "settings") {
            site.changeMaxHold(10000, planner);
            sleepFor(4000);
        }
        if (!site.submit("00000000000000b1", Deployment::oneTask(20000)))
            return notRun;
        const auto start = site.waitForStart("00000000000000b1", 0, 10000);
        if (!start)
            return notRun;
        sleepFor(3900);
        if (play.trouble == "1" || play.trouble == "cut")
            site.workerOf(start->worker)->cut(5500);
        const std::string state = site.waitForEnd("00000000000000b1", 45000);
        if (state != "completed") {
            play.recorder.say("the job has not ended: %s", state.c_str());
            return notRun;
        }
        return judgeDoubles(site, play.recorder);
    }

    // A job waits since the workers of its queue's service are full. A new configuration sends the queue
    // to another service, whose workers are idle.
    int changedRoute(const Play& play)
    {
        Deployment site({ .program = play.program, .directory = play.directory, .workers = 8, .workersOfSecondService = 4, .isGrown = true }, play.recorder);
        if (!warmUp(site, play.recorder))
            return notRun;
        const std::string filling = "{\"spec\":\"lasting\",\"steps\":[{\"count\":4,\"cpu\":32000,\"mem_mb\":1024,\"gpu\":8,\"estimate_ms\":60000,\"long_running\":true}]}";
        if (!site.submit("00000000000000f0", filling, 8, "/lasting/"))
            return notRun;
        sleepFor(3000);
        const std::string job = "00000000000000f1";
        if (play.trouble == "0")
            site.publishConfiguration(2, "s2"); // Before the job is handed in.
        sleepFor(3000);
        if (!site.submit(job, Deployment::oneTask(1000)))
            return notRun;
        sleepFor(3000);
        if (play.trouble != "0")
            site.publishConfiguration(2, "s2");
        const Millis changedAt = steadyNow();
        const std::string state = site.waitForEnd(job, 30000);
        if (state == "completed")
            return held;
        // A job that is handed in now shows that the queue's new service runs its tasks.
        const std::string laterJob = "00000000000000f2";
        if (!site.submit(laterJob, Deployment::oneTask(1000)) || site.waitForEnd(laterJob, 10000) != "completed")
            return notRun;
        for (const Runs::Start& start : site.allRuns().allStarts()) {
            if (start.task.rfind(job, 0) == 0)
                return notRun;
        }
        play.recorder.say("BROKEN LOST: %ld ms after the change the job is %s and has never begun, beside four idle workers of its queue's service; a later job of the queue has run there", static_cast<long>(steadyNow() - changedAt), site.stateOf(job, 1).c_str());
        return broken;
    }

    // A lasting task may run on the two workers of a rack only. Its runs fail for 20 s by its own fault;
    // after that it would run. Nothing else happens.
    int failingTask(const Play& play)
    {
        Deployment site({ .program = play.program, .directory = play.directory, .workers = 14, .workersPerRack = 2, .isGrown = true }, play.recorder);
        if (!warmUp(site, play.recorder))
            return notRun;
        const std::string job = "00000000000000e1";
        const Millis soundFrom = steadyNow() + (play.trouble == "0" ? 0 : 20000);
        if (!site.submit(job, Deployment::lastingTask(" fails-before=" + std::to_string(soundFrom), ",\"requirements\":\"r1\"")))
            return notRun;
        // Watches the job for 60 s: the longest time with nothing of it running, from 6 s after each run.
        Millis lastSeen = steadyNow();
        Millis longest = 0;
        const Millis end = steadyNow() + (play.trouble == "0" ? 15000 : 60000);
        while (steadyNow() < end) {
            if (site.allRuns().atWorkOf(job))
                lastSeen = steadyNow();
            longest = std::max(longest, steadyNow() - lastSeen);
            sleepFor(5);
        }
        play.recorder.say("the longest time with nothing of the job running: %ld ms", static_cast<long>(longest));
        if (longest <= 9000)
            return held;
        play.recorder.say("BROKEN LOST: for %ld ms from 6 s after a run of a lasting task nothing of it ran, beside 16 free GPUs of its rack", static_cast<long>(longest - 6000));
        return broken;
    }

    // Both workers of a rack crash twice, 1.4 s apart, and start again under their ids. At the first start
    // the time of day of their machines is 2 s ahead, at the second one it is right again. TROUBLE=crashes
    // plays the crashes with the right time.
    int earlierBirth(const Play& play)
    {
        Deployment site({ .program = play.program, .directory = play.directory, .workers = 14, .workersPerRack = 2, .isGrown = true }, play.recorder);
        if (!warmUp(site, play.recorder))
            return notRun;
        std::vector<Worker*> rack;
        for (const auto& worker : site.allWorkers()) {
            if (worker->rack() == "r1")
                rack.push_back(worker.get());
        }
        const auto crashAndRestart = [&] {
            for (Worker* worker : rack)
                worker->crash();
            sleepFor(700);
            for (Worker* worker : rack)
                worker->restart();
        };
        for (Worker* worker : rack)
            worker->setClockAhead(play.trouble == "0" || play.trouble == "crashes" ? 0 : 2000);
        if (play.trouble != "0")
            crashAndRestart();
        sleepFor(700);
        for (Worker* worker : rack)
            worker->setClockAhead(0);
        if (play.trouble != "0")
            crashAndRestart();
        sleepFor(2000);
        const std::string job = "00000000000000d2";
        if (!site.submit(job, Deployment::oneTask(1000, ",\"requirements\":\"r1\"")))
            return notRun;
        const std::string state = site.waitForEnd(job, 60000);
        if (state == "completed")
            return held;
        for (Worker* worker : rack)
            play.recorder.say("%s is up and has answered %d calls since its last start", worker->id().c_str(), worker->answeredCalls());
        std::size_t runs = 0;
        for (const Runs::Start& start : site.allRuns().allStarts())
            runs += start.task.rfind(job, 0) == 0 ? 1 : 0;
        play.recorder.say("BROKEN LOST: 60 s after its acceptance the job of one task of 1 s is %s; the task was started %zu times, and nothing of it is running beside 16 free GPUs of its rack", state.c_str(), runs);
        return broken;
    }

    // The store turns the planning instance away, and, when another one plans, one more instance. That one
    // serves a queue of a new configuration through the planner. Then the planner is killed.
    int olderPeer(const Play& play)
    {
        Deployment site({ .program = play.program, .directory = play.directory, .instances = 8, .workers = 8, .isGrown = true }, play.recorder);
        if (!warmUp(site, play.recorder))
            return notRun;
        const bool hasTrouble = play.trouble != "0";
        const int first = site.planner();
        if (first < 0)
            return notRun;
        if (hasTrouble)
            site.rejectAtStore(first, true);
        const Millis rejectedAt = steadyNow();
        int second = first;
        while (hasTrouble && (second < 0 || second == first) && steadyNow() < rejectedAt + 3000) {
            sleepFor(50);
            second = site.planner();
        }
        if (hasTrouble && (second < 0 || second == first))
            return notRun;
        play.recorder.say("instance %d planned, instance %d plans now", first, second);
        sleepFor(600); // All instances have read the claim.
        int asked = 0;
        while (asked == first || asked == second)
            ++asked;
        if (hasTrouble)
            site.rejectAtStore(asked, true);
        sleepFor(100);
        site.publishConfiguration(2, "s1", true);
        sleepFor(1300);
        const std::string body = Deployment::oneTask(300);
        if (site.post("/new/00000000000000c1", body, asked) != 200)
            return notRun;
        const auto start = site.waitForStart("00000000000000c1", 0, 3000);
        if (!start)
            return notRun;
        sleepFor(1000);
        if (hasTrouble)
            site.killInstance(second);
        int code = held;
        for (int i = 0; i < 8; ++i) {
            char id[17];
            std::snprintf(id, sizeof id, "0000000000e%05d", i);
            if (site.post(std::string("/new/") + id, body, asked) == 404) {
                play.recorder.say("BROKEN CONFIG: instance %d answers 404 for a queue of version 2, %ld ms after a worker began a job of it that the same instance had accepted", asked, static_cast<long>(steadyNow() - start->at));
                code = broken;
                break;
            }
            sleepFor(200);
        }
        play.recorder.say("%ld ms after the store began to turn an instance away", static_cast<long>(steadyNow() - rejectedAt));
        return code;
    }

} // namespace

} // namespace review

int main(int count, char** arguments)
{
    using namespace review;
    if (count != 5)
        return notRun;
    std::signal(SIGPIPE, SIG_IGN);
    try {
        Recorder recorder(arguments[4]);
        const char* trouble = std::getenv("TROUBLE");
        const Play play { recorder, arguments[2], arguments[3], trouble ? trouble : "1" };
        const std::map<std::string, std::function<int(const Play&)>> cases { { "raised-lease-bound", raisedLeaseBound }, { "changed-route", changedRoute }, { "earlier-birth", earlierBirth }, { "older-peer", olderPeer }, { "failing-task", failingTask } };
        const auto found = cases.find(arguments[1]);
        const int code = found == cases.end() ? notRun : found->second(play);
        recorder.say("exit %d (%s)", code, code == held ? "the rule held" : code == broken ? "the rule was broken"
                                                                                           : "the case could not run");
        return code;
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "review-cases: %s\n", problem.what());
        return notRun;
    }
}
