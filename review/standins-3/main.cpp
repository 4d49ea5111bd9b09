// Plays one case of the review against gateway processes: standins CASE PROGRAM RECORD_FOLDER TEMPORARY_FOLDER.
// With TROUBLE=0 the disruption is left out. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
#include "deployment.hpp"

#include <random>

using namespace review;

namespace {

struct paths {
    std::string program;
    std::string temporary;
};

/// One service with its backends, one route to it, and gateways in one zone.
struct deployment {
    paths where;
    store platform { addressOf(1) };
    std::vector<std::unique_ptr<backend>> backends;
    std::vector<std::unique_ptr<gateway>> gateways;

    void addBackends(
        int count, const std::string& service, const std::function<void(int, connection&, const message&)>& run)
    {
        for (int number = 0; number < count; ++number) {
            backends.push_back(std::make_unique<backend>(addressOf(10 + number), "i-" + std::to_string(number), service,
                [number, run](connection& to, const message& request) { run(number, to, request); }));
            platform.put("servers/" + backends.back()->id, backends.back()->entry("midden-a"));
        }
    }

    void startGateways(int count)
    {
        for (int number = 0; number < count; ++number) {
            gateways.push_back(std::make_unique<gateway>(where.program, where.temporary,
                "front-" + std::to_string(number), addressOf(101 + number), "midden-a", platform.address(),
                std::vector<std::string> { addressOf(101) }));
            gateways.back()->start();
        }
        sleepFor(5000ms); // longer than stable-window, so that all machines are in touch
        for (const auto& started : gateways) {
            if (!started->isReady())
                cannotRun(started->name() + " is not ready");
        }
        record::line("all gateways are ready");
    }

    [[noreturn]] void finish(bool broken, const std::string& summary)
    {
        std::string how;
        for (const auto& running : gateways) {
            if (running->hasEnded(how))
                record::line("%s has ended by itself: %s", running->name().c_str(), how.c_str());
            running->kill();
        }
        record::line("%s: %s", broken ? "BROKEN" : "held", summary.c_str());
        std::printf("%s: %s\n", broken ? "BROKEN" : "held", summary.c_str());
        std::fflush(stdout);
        ::_exit(broken ? 1 : 0);
    }
};

std::string idOf(const message& request)
{
    return request.header("X-Acaciaslip-Request-Id");
}

/// Requests by id: where they were seen.
class ledger {
public:
    void arrive(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        ++m_arrivals[id];
    }
    int arrivals(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals[id];
    }

private:
    std::mutex m_mutex;
    std::map<std::string, int> m_arrivals;
};

/// Some backends end a small part of their answers with the connection instead of a length, while clients have sent a
/// further request on the same connection.
[[noreturn]] void playUnframed(deployment& played, bool trouble)
{
    ledger seen;
    std::atomic<int> unframed { 0 };
    std::atomic<bool> garbles { false };
    played.platform.put(
        "op/config", configuration(1, { { "x.example", "/slots/", "slotview", true, "1200ms", "600ms", 2 } }));
    played.addBackends(6, "slotview", [&](int number, connection& to, const message& request) {
        thread_local std::mt19937 random(std::random_device {}());
        const auto id = idOf(request);
        seen.arrive(id);
        sleepFor(std::chrono::milliseconds(120 + random() % 200));
        const auto headers = played.backends[static_cast<std::size_t>(number)]->headers(request);
        const std::string body = "answer to " + id;
        if (garbles && number < 3 && random() % 100 < 5) {
            ++unframed;
            record::line("backend i-%d: answers %s without a length", number, id.c_str());
            to.send("HTTP/1.1 200 OK\r\n" + headers + "\r\n" + body);
            ::shutdown(to.socket(), SHUT_WR);
            sleepFor(50ms);
            to.close();
            return;
        }
        to.send(answer(200, headers, body));
    });
    played.startGateways(2);
    std::atomic<int> sent { 0 };
    std::atomic<int> answered { 0 };
    std::atomic<int> lost { 0 };
    std::vector<std::thread> clients;
    const auto until = clock_type::now() + 50s;
    std::thread disruption([&] {
        for (int window = 0; trouble && window < 8; ++window) {
            garbles = true;
            record::line("backends i-0 to i-2: 5 in 100 answers have no length, for 5 s");
            sleepFor(5000ms);
            garbles = false;
            sleepFor(1000ms);
        }
    });
    for (int number = 0; number < 8; ++number) {
        clients.emplace_back([&, number] {
            std::unique_ptr<connection> kept;
            bool isKept = false;
            for (int round = 0; clock_type::now() < until; ++round) {
                if (!kept) {
                    kept = played.gateways[static_cast<std::size_t>(number) % 2]->connect();
                    isKept = false;
                }
                if (!kept)
                    cannotRun("cannot connect to a gateway");
                std::string ids[2];
                std::string both;
                for (int place = 0; place < 2; ++place) {
                    ids[place] = "c" + std::to_string(number) + "-" + std::to_string(round) + (place == 0 ? "a" : "b");
                    both += request("GET", "x.example", "/slots/" + ids[place], ids[place], 2500);
                }
                kept->send(both);
                sent += 2;
                const auto first = kept->read(4s);
                answered += first.status() == 200 ? 1 : 0;
                if (first.header("Content-Length").empty()) {
                    // The answer ends with the connection, and so does the wait for the second one.
                    const auto rest = kept->read(4s);
                    const int arrivals = seen.arrivals(ids[1]);
                    record::line(
                        "client %d: answer %d to %s has no length and ends the connection; %s had reached %d backends "
                        "and has no answer%s",
                        number, first.status(), ids[0].c_str(), ids[1].c_str(), arrivals, isKept ? "" : " (first use)");
                    lost += isKept && arrivals > 0 ? 1 : 0;
                    kept.reset();
                    continue;
                }
                const auto second = kept->read(4s);
                answered += second.status() == 200 ? 1 : 0;
                isKept = true;
                if (second.header("Content-Length").empty())
                    kept.reset();
            }
        });
    }
    for (auto& client : clients)
        client.join();
    disruption.join();
    played.finish(lost > 3,
        std::to_string(lost)
            + " requests from kept connections were passed on to sound backends and their connections closed "
            + "without an answer (3 are allowed); " + std::to_string(sent) + " sent, " + std::to_string(answered)
            + " answered, " + std::to_string(unframed) + " answers without a length");
}

/// A version adds a route to the service of the first one. Its requests are short, and so is its timeout; those of the
/// first route are long.
[[noreturn]] void playAddedRoute(deployment& played, bool trouble)
{
    struct outcome {
        std::atomic<int> sent { 0 };
        std::atomic<int> served { 0 };
    };
    outcome first;
    outcome added;
    const route history { "x.example", "/history/", "archiefdesk", true, "6000ms", "2500ms", 2 };
    const route status { "x.example", "/status/", "archiefdesk", true, "800ms", "200ms", 2 };
    played.platform.put("op/config", configuration(1, { history }));
    played.addBackends(6, "archiefdesk", [&](int number, connection& to, const message& request) {
        thread_local std::mt19937 random(std::random_device {}());
        const int mean = request.target().starts_with("/history/") ? 1100 : 48; // ms, of job-history and order-status
        sleepFor(std::chrono::milliseconds(
            mean * 7 / 10 + static_cast<int>(random() % static_cast<unsigned>(mean * 6 / 10))));
        to.send(answer(200, played.backends[static_cast<std::size_t>(number)]->headers(request), "found"));
    });
    played.startGateways(3);
    std::atomic<bool> stopped { false };
    std::vector<std::thread> clients;
    const auto addClient
        = [&](const std::string& path, int number, std::chrono::milliseconds pause, int deadlineMs, outcome& counted) {
              clients.emplace_back([&, path, number, pause, deadlineMs] {
                  for (int round = 0; !stopped; ++round) {
                      const auto to = played.gateways[static_cast<std::size_t>(number + round) % 3]->connect();
                      const auto id = path.substr(1, 7) + "-" + std::to_string(number) + "-" + std::to_string(round);
                      if (!to || !to->send(request("GET", "x.example", path, id, deadlineMs)))
                          cannotRun("cannot connect to a gateway");
                      const auto read = to->read(std::chrono::milliseconds(deadlineMs));
                      ++counted.sent;
                      counted.served += read.status() == 200 ? 1 : 0;
                      if (read.status() != 200)
                          record::line("%s: status %d", id.c_str(), read.status());
                      sleepFor(pause);
                  }
              });
          };
    for (int number = 0; number < 6; ++number)
        addClient("/history/jobs", number, 200ms, 12000, first);
    sleepFor(12000ms);
    if (trouble) {
        played.platform.put("op/config", configuration(2, { history, status }));
        sleepFor(3000ms); // longer than config-apply
        for (int number = 0; number < 5; ++number)
            addClient("/status/jobs", number, 1000ms, 1500, added);
    }
    sleepFor(30000ms);
    stopped = true;
    for (auto& client : clients)
        client.join();
    const double shareOfFirst = first.sent > 0 ? static_cast<double>(first.served) / first.sent : 0;
    const double shareOfAdded = added.sent > 0 ? static_cast<double>(added.served) / added.sent : 1;
    played.finish(added.sent >= 20 && shareOfAdded * 4 < shareOfFirst,
        std::to_string(added.served) + " of " + std::to_string(added.sent)
            + " requests on the route that was added were served, " + std::to_string(first.served) + " of "
            + std::to_string(first.sent) + " on the first one");
}

/// How the case with a booking that crashes backends is played.
struct deadly_options {
    bool holdsPort = false; ///< the port of a crashed backend accepts connections until it is back
    bool hasClockInCookie = false; ///< one of the caller's cookies tells the time of its last visit
};

/// A caller's booking crashes each backend that begins to run it, and comes again and again.
[[noreturn]] void playDeadly(deployment& played, bool trouble, const deadly_options& options)
{
    constexpr int backendCount = 6;
    std::mutex mutex;
    std::vector<double> crashes;
    std::atomic<bool> stopped { false };
    std::vector<std::thread> restarts;
    played.platform.put(
        "op/config", configuration(1, { { "x.example", "/bookings/", "boekhuis", false, "1500ms", "800ms", 2 } }));
    played.addBackends(backendCount, "boekhuis", [&](int number, connection& to, const message& request) {
        auto& own = *played.backends[static_cast<std::size_t>(number)];
        if (trouble && request.body == "two crews at once") {
            const std::lock_guard lock(mutex);
            crashes.push_back(elapsed());
            record::line("backend i-%d: begins %s and crashes", number, idOf(request).c_str());
            own.crash(options.holdsPort);
            restarts.emplace_back([&played, &own] {
                sleepFor(3000ms);
                own.restart();
                played.platform.put("servers/" + own.id, own.entry("midden-a"));
            });
            return;
        }
        const int lifetime = own.lifetime();
        sleepFor(290ms);
        if (own.lifetime() != lifetime)
            return; // it has crashed meanwhile
        to.send(answer(200, own.headers(request), "booked"));
    });
    played.startGateways(3);
    std::atomic<int> sent { 0 };
    std::atomic<int> lost { 0 };
    std::vector<std::thread> clients;
    for (int number = 0; number < 12; ++number) {
        clients.emplace_back([&, number] {
            for (int round = 0; !stopped; ++round) {
                const auto to = played.gateways[static_cast<std::size_t>(number + round) % 3]->connect();
                const auto id = "c" + std::to_string(number) + "-" + std::to_string(round);
                if (!to || !to->send(request("POST", "x.example", "/bookings/new", id, 3000, "visit " + id)))
                    cannotRun("cannot connect to a gateway");
                const auto read = to->read(4s);
                ++sent;
                if (read.status() != 200 && read.status() != 503) {
                    ++lost;
                    record::line("booking %s is lost: status %d", id.c_str(), read.status());
                }
                sleepFor(200ms);
            }
        });
    }
    sleepFor(1000ms);
    for (int round = 0; round < 10; ++round) {
        const auto to = played.gateways[static_cast<std::size_t>(round) % 3]->connect();
        const auto id = "fatal-" + std::to_string(round);
        const std::string body = "two crews at once";
        const auto text = "POST /bookings/new HTTP/1.1\r\nHost: x.example\r\nX-Acaciaslip-Request-Id: " + id
            + "\r\nX-Acaciaslip-Deadline-Ms: 3000\r\nAuthorization: Bearer desk-7\r\nUser-Agent: desk/2.1\r\n"
            + "Cookie: session=91c0"
            + (options.hasClockInCookie ? "; seen=" + std::to_string(static_cast<long>(elapsed() * 1000)) : "")
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        if (!to || !to->send(text))
            cannotRun("cannot connect to a gateway");
        record::line("%s: status %d", id.c_str(), to->read(4s).status());
        sleepFor(2000ms);
    }
    sleepFor(1000ms);
    stopped = true;
    for (auto& client : clients)
        client.join();
    for (auto& restart : restarts)
        restart.join();
    int late = 0;
    for (std::size_t index = 3; index < crashes.size(); ++index)
        late += crashes[index] > crashes[2] + 3.0 ? 1 : 0;
    played.finish(late > 3,
        std::to_string(late)
            + " runs of a request that crashes backends began later than stable-window (3 s) after its third "
            + "crash (3 are allowed), " + std::to_string(crashes.size()) + " in all; " + std::to_string(lost) + " of "
            + std::to_string(sent) + " bookings of others were lost");
}

/// One of seven backends fails four in ten of its bookings after it has run them: it answers them with a 503 of its
/// own.
[[noreturn]] void playFailedAfterRun(deployment& played, bool trouble)
{
    std::mutex mutex;
    std::map<std::string, int> runsOfVisit;
    ledger ran;
    std::atomic<bool> isGrey { false };
    played.platform.put(
        "op/config", configuration(1, { { "x.example", "/bookings/", "boekhuis", false, "1500ms", "800ms", 2 } }));
    played.addBackends(7, "boekhuis", [&](int number, connection& to, const message& request) {
        thread_local std::mt19937 random(std::random_device {}());
        const auto id = idOf(request);
        ran.arrive(id);
        {
            const std::lock_guard lock(mutex);
            ++runsOfVisit[request.body];
        }
        sleepFor(290ms);
        const auto headers = played.backends[static_cast<std::size_t>(number)]->headers(request);
        if (number == 3 && isGrey && random() % 10 < 4) {
            record::line("backend i-3: has run %s and answers 503, without X-Acaciaslip-Not-Executed", id.c_str());
            to.send(answer(503, headers, "booked, but the confirmation could not be sent"));
            return;
        }
        to.send(answer(200, headers, "booked"));
    });
    played.startGateways(2);
    std::atomic<int> visits { 0 };
    std::atomic<int> refused { 0 };
    std::vector<std::thread> clients;
    std::atomic<bool> stopped { false };
    for (int number = 0; number < 12; ++number) {
        clients.emplace_back([&, number] {
            for (int round = 0; !stopped; ++round) {
                ++visits;
                const auto visit = "visit " + std::to_string(number) + "-" + std::to_string(round);
                // A client repeats a booking once, and only after a status that promises that it has not run.
                for (int attempt = 0; attempt < 2; ++attempt) {
                    const auto to = played.gateways[static_cast<std::size_t>(number + attempt) % 2]->connect();
                    const auto id
                        = "c" + std::to_string(number) + "-" + std::to_string(round) + "-" + std::to_string(attempt);
                    if (!to || !to->send(request("POST", "x.example", "/bookings/new", id, 3000, visit)))
                        cannotRun("cannot connect to a gateway");
                    const auto read = to->read(4s);
                    if (read.status() != 503)
                        break;
                    if (ran.arrivals(id) > 0) {
                        ++refused;
                        record::line("booking %s is answered 503 and has run", id.c_str());
                    }
                    sleepFor(100ms);
                }
                sleepFor(200ms);
            }
        });
    }
    sleepFor(1000ms);
    for (int span = 0; span < 3; ++span) {
        isGrey = trouble;
        record::line("backend i-3: %s",
            trouble ? "fails 4 in 10 requests for 6.5 s; its status check stays good" : "is undisturbed");
        sleepFor(6500ms);
        isGrey = false;
        sleepFor(4000ms);
    }
    stopped = true;
    for (auto& client : clients)
        client.join();
    int twice = 0;
    for (const auto& [visit, runs] : runsOfVisit) {
        twice += runs > 1 ? 1 : 0;
        if (runs > 1)
            record::line("%s was booked %d times", visit.c_str(), runs);
    }
    played.finish(refused > 0,
        std::to_string(refused) + " bookings were answered 503 although they had run; " + std::to_string(twice) + " of "
            + std::to_string(visits) + " visits were booked twice");
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5)
        cannotRun("usage: standins CASE PROGRAM RECORD_FOLDER TEMPORARY_FOLDER");
    (void)std::signal(SIGPIPE, SIG_IGN);
    const std::string name = argv[1];
    record::open(std::string(argv[3]) + "/record.txt");
    const char* const setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string_view(setting) != "0";
    record::line("case %s, %s the disruption", name.c_str(), trouble ? "with" : "without");
    deployment played;
    played.where = { argv[2], argv[4] };
    if (name == "unframed")
        playUnframed(played, trouble);
    if (name == "added-route")
        playAddedRoute(played, trouble);
    if (name == "failed-after-run")
        playFailedAfterRun(played, trouble);
    if (name == "deadly-silent")
        playDeadly(played, trouble, { true, false });
    if (name == "deadly-cookie")
        playDeadly(played, trouble, { false, true });
    if (name == "deadly") // the control of the two: the request is refused after its third crash
        playDeadly(played, trouble, {});
    cannotRun("no case " + name);
}
