//! Stories of ends: clients that go, connections that close, watches that die, time-outs and exits, each at the instant in
//! which something is still owed. The crossing is forced: a peer holds back or sends at a point that the program has
//! provably reached, and nothing is slept for but time that must pass. docs/design/0008-endings.md names the terms.

mod harness;

use harness::{
    AgentMode, DiscoveryAgent, FullBacklogServer, HttpConnection, SchedulerProcess, Server, job, list,
    response,
};
use insta::assert_snapshot;
use std::time::{Duration, Instant};

/// Clients that wait for long, so that nothing here ends for its time.
const PATIENT: (&str, &str) =
    (r#""aim":900000000,"give_up":5000000000"#, r#""aim":20000000000,"give_up":20000000000"#);
/// Dials may take long.
const SLOW_DIALS: (&str, &str) = (r#""dial_timeout":1000000000"#, r#""dial_timeout":15000000000"#);
/// Attempts are not cancelled when their client has gone: the last look before the first byte is all that holds them.
const NO_CANCEL: (&str, &str) = (r#""cancel":true"#, r#""cancel":false"#);
/// A worker's word that it has turned a job away, unstarted.
const TURNED_AWAY: &str = "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
const ROOMY: (&str, &str) = (r#""sockets":64"#, r#""sockets":256"#);

fn done(id: &str, from: &Server) -> String {
    format!(r#"{{"id":"{id}","from":"{}","state":"done","result":"{id}"}}"#, from.name)
}

/// Serves the next job on a connection as its target would.
fn serve(scheduler: &SchedulerProcess, line: &mut HttpConnection, from: &Server, id: &str) {
    let head = line.receive();
    assert!(head.contains(&format!("X-Correlation-Id: {id}\r\n")), "another job than {id}: {head}");
    line.send(&response("202 Accepted", ""));
    scheduler.call_back(&done(id, from));
}

/// A job of a new client goes to this server and is served there.
fn goes_to(scheduler: &SchedulerProcess, to: &Server, id: &str, seconds: &str) {
    let mut client = scheduler.connect();
    client.send(&job("view", id, seconds));
    serve(scheduler, &mut to.accept(), to, id);
    assert!(client.receive_response().ends_with(id), "{id}");
}

// ---- clients that go

/// Whatever a client does as it goes, and with a crowd of others at once: nothing of its is sent once there is a worker.
#[test]
fn a_client_that_leaves_while_its_job_waits_is_noticed_whatever_it_says_as_it_goes() {
    let (discovery, target) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let scheduler = SchedulerProcess::start_with_changes(&[], &discovery.server, &[PATIENT, ROOMY]);
    type Way = (&'static str, fn(HttpConnection));
    let ways: [Way; 5] = [
        ("closes", drop),
        ("resets", HttpConnection::reset),
        ("has begun its next request", |line| line.send_and_close("POST /view/7f HTTP/1.1\r\n")),
        ("has sent several", |line| line.send_and_close(&job("view", "x", "9.000").repeat(80))),
        ("floods", |line| line.send_and_close(&"x".repeat(400_000))),
    ];
    let waiting: Vec<_> = (0..20)
        .map(|n| {
            let mut line = scheduler.connect();
            line.send(&job("view", &format!("a{n}"), "19.000"));
            (line, ways[n % ways.len()])
        })
        .collect();
    scheduler.wait_for_counters("flows=20 forwards=0");
    waiting.into_iter().for_each(|(line, (_, go))| go(line));
    scheduler.wait_for_counters("flows=20 gone=20 forwards=0");
    // There is a worker now, and one job that is still wanted.
    discovery.publish(&[target.entry("active")]);
    discovery.set_mode(AgentMode::Answers);
    goes_to(&scheduler, &target, "b1", "19.000");
    scheduler.wait_for_counters("flows=21 gone=20 forwards=1");
}

/// A process that stands still, as one without its core does, finds requests whose clients have gone long ago.
#[test]
fn a_request_whose_client_left_before_it_was_read_is_never_taken() {
    let (discovery, target) = (DiscoveryAgent::new(AgentMode::Answers, &[]), Server::new("s-00000001"));
    discovery.publish(&[target.entry("active")]);
    let scheduler = SchedulerProcess::start(&[&target], &discovery.server);
    let mut kept = scheduler.connect();
    kept.send("GET /healthz HTTP/1.1\r\n\r\n");
    assert!(kept.receive_response().ends_with("ready"));
    scheduler.freeze();
    for i in 0..3 {
        scheduler.connect().send_and_close(&job("view", &format!("a{i}"), "3.000"));
        scheduler.connect().send_and_close(&job("view", &format!("b{i}"), "3.000").repeat(3));
    }
    kept.send_and_close(&job("view", "c", "3.000"));
    let mut stays = scheduler.connect();
    stays.send(&job("view", "d", "3.000"));
    scheduler.signal("CONT");
    serve(&scheduler, &mut target.accept(), &target, "d");
    assert!(stays.receive_response().ends_with("d"));
    assert_snapshot!(scheduler.counters(&["flows", "forwards"]), @"flows=1 forwards=1");
}

/// The first byte of a forward is what counts: its dial may have begun long before the client left.
#[test]
fn a_forward_whose_dial_comes_up_after_its_client_left_is_not_written() {
    let (discovery, mut narrow) =
        (DiscoveryAgent::new(AgentMode::Silent, &[]), FullBacklogServer::new("s-00000001"));
    let scheduler = SchedulerProcess::start_with_changes(
        &[&narrow.server],
        &discovery.server,
        &[PATIENT, SLOW_DIALS, NO_CANCEL],
    );
    let mut client = scheduler.connect();
    client.send(&job("view", "a1", "19.000"));
    scheduler.wait_for_counters("forwards=1 NotSent=0 dials=1");
    drop(client);
    scheduler.wait_for_counters("gone=1 forwards=1 NotSent=0");
    narrow.free_backlog();
    scheduler.wait_for_counters("gone=1 forwards=1 NotSent=1 dials=1");
    // The connection that came up is kept, and the next job is the first that is ever said on it.
    goes_to(&scheduler, &narrow.server, "b1", "19.000");
}

/// An attempt that comes back unstarted once its client has gone is the last one, also where attempts are not cancelled.
#[test]
fn a_first_attempt_that_comes_back_after_its_client_left_is_followed_by_none() {
    let (one, two) = (Server::new("s-00000001"), Server::new("s-00000002"));
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[one.entry("active")]);
    let scheduler = SchedulerProcess::start_with_changes(&[&one], &discovery.server, &[PATIENT, NO_CANCEL]);
    scheduler.wait_for_counters("lists=1");
    let mut client = scheduler.connect();
    client.send(&job("view", "a1", "19.000"));
    let mut first = one.accept();
    assert!(first.receive().contains("a1"));
    discovery.publish(&[one.entry("leaving"), two.entry("active")]);
    scheduler.wait_for_counters("lists=2");
    drop(client);
    scheduler.wait_for_counters("gone=1 forwards=1");
    first.send(TURNED_AWAY);
    scheduler.wait_for_counters("gone=1 forwards=1 Full=1");
    // The first that the other worker hears is the next client's job.
    goes_to(&scheduler, &two, "b1", "19.000");
    scheduler.wait_for_counters("gone=1 forwards=2 Full=1");
}

// ---- the time that an attempt tells its worker

/// A first attempt comes back late, and the connection of the second comes up late: what the second tells its worker is no
/// more than what is left to the client by then.
#[test]
fn a_further_attempt_tells_its_worker_no_more_than_what_is_left_to_the_client() {
    let (one, mut narrow) = (Server::new("s-00000001"), FullBacklogServer::new("s-00000002"));
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[one.entry("active")]);
    let scheduler = SchedulerProcess::start_with_changes(&[&one], &discovery.server, &[PATIENT, SLOW_DIALS]);
    scheduler.wait_for_counters("lists=1");
    let told = |head: &str| -> f64 {
        let line = head.lines().find_map(|l| l.strip_prefix("X-Time-Left: "));
        line.expect("it tells its time").parse().unwrap()
    };
    let mut client = scheduler.connect();
    client.send(&job("view", "a1", "15.000"));
    let mut first = one.accept();
    let at_first = told(&first.receive());
    // Its client has waited since before this moment.
    let heard = Instant::now();
    assert!(at_first <= 15.0, "{at_first}");
    discovery.publish(&[one.entry("leaving"), narrow.server.entry("active")]);
    scheduler.wait_for_counters("lists=2");
    std::thread::sleep(Duration::from_millis(700));
    first.send(TURNED_AWAY);
    scheduler.wait_for_counters("forwards=2 Full=1 dials=2");
    std::thread::sleep(Duration::from_millis(700));
    let left = 15.0 - heard.elapsed().as_secs_f64();
    narrow.free_backlog();
    let mut second = narrow.server.accept();
    let at_second = told(&second.receive());
    assert!(at_second <= left + 0.001 && at_second > 0.0, "{at_second} told, {left} left");
    second.send(&response("202 Accepted", ""));
    scheduler.call_back(&done("a1", &narrow.server));
    assert!(client.receive_response().ends_with("a1"));
}

// ---- messages in pieces, in all forms, slowly, and many at once

/// What is said of one message in pieces, each read before the next is said: a turn of the program's loop lies between them.
fn in_pieces(scheduler: &SchedulerProcess, line: &mut HttpConnection, text: &str) {
    let body = text.find("\r\n\r\n").map_or(text.len(), |at| at + 4);
    let mut cuts = [3, body / 3, body - 3, body - 1, body + 1, text.len()];
    cuts.sort_unstable();
    let mut from = 0;
    for to in cuts.into_iter().filter(|to| *to <= text.len()) {
        line.send(&text[from..to]);
        scheduler.counters(&["flows"]);
        from = to;
    }
}

/// Requests, call-backs, workers' answers and lists, each in pieces and in the forms that the protocol page leaves free.
#[test]
fn messages_in_pieces_and_in_all_allowed_forms_are_read_like_any_other() {
    let (discovery, one, two) = (Server::new("d"), Server::new("s-00000001"), Server::new("s-00000002"));
    let scheduler = SchedulerProcess::start(&[&one], &discovery);
    // An indented list in chunks takes the place of the one that was known.
    let mut line = discovery.accept();
    line.receive();
    let text =
        list(3, true, &[two.entry("active")]).replace(':', " :\t").replace("127.0.0.1 :\t", "127.0.0.1:");
    let text = text.replace(',', ",\n  ").replace('{', "{\n  ");
    let (a, b) = text.split_at(text.len() / 2);
    let chunked = format!("{:x}\r\n{a}\r\n{:X};part=2\r\n{b}\r\n0\r\n\r\n", a.len(), b.len());
    in_pieces(
        &scheduler,
        &mut line,
        &format!("HTTP/1.1 200 Fine\r\ntransfer-encoding: Chunked\r\n\r\n{chunked}"),
    );
    scheduler.wait_for_counters("lists=1");
    // What a client may send: names in any case, blanks or none, decimals or whole seconds, a query, a body of any bytes
    // and in chunks, more headers than anybody knows.
    let head =
        "x-correlation-id:ID\r\nX-SERVICE-CLASS:   view  \r\nx-time-left: 9\r\nidempotency-key: k-ID\r\n";
    let requests = [
        format!("POST /view/7f?a=b&c=%20 HTTP/1.1\r\nhost: h\r\n{head}content-length: 4\r\n\r\nh\r\ni"),
        format!(
            "POST /view/7f?a=b&c=%20 HTTP/1.1\r\n{head}Transfer-Encoding: CHUNKED\r\n\r\n1\r\nh\r\n3;x=\"y\"\r\n\r\ni\r\n0\r\nT: t\r\n\r\n"
        ),
        format!(
            "POST /view/7f?a=b&c=%20 HTTP/1.1\r\nX-Facts: weight=3,none=\r\nX-Weight-Hint: soon\r\nX-Repeat: 0\r\nConnection: Keep-Alive\r\n{head}X-Account: nobody\r\nContent-Length:4\r\n\r\nh\r\ni"
        ),
    ];
    // What a worker may answer when it takes a job, and how it may tell of it: before its 202 as well.
    let taken = [
        "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 202 \r\ncontent-length:5\r\nx-backend-load: inflight=1,util=0.5\r\n\r\nhello",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    ];
    let calls = [
        r#"{"id":"ID","from":"s-00000002","state":"done","result":"made ID"}"#,
        "{\n\t\"state\" : \"done\",\n\t\"load\" : {\"rif\": 1.0e0, \"q\": null},\n\t\"result\" : \"made ID\",\n\t\"more\" : [{}],\n\t\"from\" : \"s-00000002\",\n\t\"id\" : \"ID\"\n}\n",
        r#"{"id":"\u0069D","from":"s-0000000\u0032","state":"d\u006fne","result":"m\u0061de ID"}"#,
    ];
    for (n, request) in requests.iter().enumerate() {
        for (m, taken) in taken.iter().enumerate() {
            // The last of the call-backs has the first letter of the number escaped.
            let id = format!("i{n}{m}");
            let call = calls[(n + m) % 3].replace(r"\u0069D", &format!(r"\u0069{n}{m}")).replace("ID", &id);
            let mut client = scheduler.connect();
            in_pieces(&scheduler, &mut client, &request.replace("ID", &id));
            let mut forward = two.accept();
            let heard = forward.receive();
            assert!(heard.starts_with("POST /view/7f?a=b&c=%20 HTTP/1.1\r\n"), "{heard}");
            assert!(heard.contains(&format!("\r\nX-Correlation-Id: {id}\r\n")), "{heard}");
            assert!(heard.contains(&format!("\r\nIdempotency-Key: k-{id}\r\n")), "{heard}");
            assert!(heard.ends_with("\r\n\r\nh\r\ni"), "{heard}");
            let mut caller = scheduler.connect();
            let call =
                format!("POST /v1/job-events HTTP/1.1\r\ncontent-length: {}\r\n\r\n{call}", call.len());
            let early = m == 0;
            if early {
                in_pieces(&scheduler, &mut caller, &call);
            }
            in_pieces(&scheduler, &mut forward, taken);
            if !early {
                in_pieces(&scheduler, &mut caller, &call);
            }
            assert_eq!(caller.receive_response(), "HTTP/1.1 200 OK | noted");
            assert_eq!(client.receive_response(), format!("HTTP/1.1 200 OK | made {id}"));
            // The next job has a connection of its own to come by.
            forward.reset();
        }
    }
}

/// A client's time counts from its request's last byte, and while it writes it holds nobody up.
#[test]
fn a_slow_writers_time_counts_from_its_last_byte_and_others_are_served_meanwhile() {
    let (discovery, target) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let scheduler = SchedulerProcess::start(&[&target], &discovery.server);
    let mut slow = scheduler.connect();
    let text = job("view", "a1", "0.900");
    let (body, begun) = (text.len() - 1, Instant::now());
    slow.send(&text[..body - 60]);
    goes_to(&scheduler, &target, "b1", "3.000");
    while begun.elapsed() < Duration::from_millis(1100) {
        std::thread::sleep(Duration::from_millis(50));
    }
    slow.send(&text[body - 60..body]);
    assert_snapshot!(scheduler.counters(&["flows", "forwards"]), @"flows=1 forwards=1");
    slow.send(&text[body..]);
    let mut forward = target.accept();
    serve(&scheduler, &mut forward, &target, "a1");
    assert!(slow.receive_response().ends_with("a1"));
}

/// Many commands come in one piece on one connection. Each is sent on once, in its turn, and answered in its turn.
#[test]
fn many_commands_in_one_piece_are_answered_one_by_one_in_their_order() {
    const MANY: usize = 30;
    let (discovery, target) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let scheduler = SchedulerProcess::start_with_changes(&[&target], &discovery.server, &[PATIENT]);
    let mut client = scheduler.connect();
    let health = "GET /healthz HTTP/1.1\r\n\r\n";
    let all: String = (0..MANY).map(|n| job("view", &format!("a{n}"), "19.000") + health).collect();
    client.send(&all);
    let mut forward = target.accept();
    for n in 0..MANY {
        serve(&scheduler, &mut forward, &target, &format!("a{n}"));
        assert_eq!(client.receive_response(), format!("HTTP/1.1 200 OK | a{n}"));
        assert_eq!(client.receive_response(), "HTTP/1.1 200 OK | ready");
    }
    assert_snapshot!(scheduler.counters(&["flows", "forwards", "served"]), @"flows=30 served=30 forwards=30");
}

// ---- what changes while a dial is on its way

/// A job is on its way to one worker, whose connection hangs; then this news of that worker comes, and only then the
/// connection. The job has to go to the other one.
fn news_overtakes_a_dial(news: fn(&Server) -> String) {
    let (mut narrow, two) = (FullBacklogServer::new("s-00000001"), Server::new("s-00000002"));
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[narrow.server.entry("active")]);
    // A grace of a minute: not even the grace is ours to use up.
    let grace = (r#""drain_grace":1000000000"#, r#""drain_grace":60000000000"#);
    let scheduler = SchedulerProcess::start_with_changes(
        &[&narrow.server],
        &discovery.server,
        &[PATIENT, SLOW_DIALS, grace],
    );
    scheduler.wait_for_counters("lists=1");
    let mut client = scheduler.connect();
    client.send(&job("lodge", "a1", "19.000"));
    scheduler.wait_for_counters("forwards=1 dials=1");
    discovery.publish(&[news(&narrow.server), two.entry("active")]);
    scheduler.wait_for_counters("lists=2");
    narrow.free_backlog();
    serve(&scheduler, &mut two.accept(), &two, "a1");
    assert!(client.receive_response().ends_with("a1"));
    assert_eq!(scheduler.counters(&["forwards", "NotSent", "served"]), "served=1 forwards=2 NotSent=1");
}

#[test]
fn a_worker_that_drains_while_it_is_dialled_gets_nothing_new() {
    news_overtakes_a_dial(|server| server.entry("leaving"));
}

/// It is cold, and the job was charged to the process before it.
#[test]
fn a_worker_that_starts_anew_while_it_is_dialled_gets_nothing_that_was_meant_for_the_one_before() {
    news_overtakes_a_dial(|server| server.entry("active").replace(r#""born_ms":0"#, r#""born_ms":1000"#));
}

/// Repeats are dropped for two seconds after the first attempt. The second attempt was chosen within it, and its connection
/// comes up after it.
#[test]
fn a_repeat_whose_dial_comes_up_after_its_keys_window_is_not_written() {
    let (one, mut narrow) = (Server::new("s-00000001"), FullBacklogServer::new("s-00000002"));
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[one.entry("active")]);
    let keyed = r#""effect":"deduplicated","group":"cell","repeat_window":2000000000"#;
    let keyed = (r#""effect":"idempotent""#, keyed);
    let scheduler =
        SchedulerProcess::start_with_changes(&[&one], &discovery.server, &[PATIENT, SLOW_DIALS, keyed]);
    scheduler.wait_for_counters("lists=1");
    let mut client = scheduler.connect();
    client.send(&job("view", "a1", "19.000").replace("X-Service", "Idempotency-Key: k\r\nX-Service"));
    let mut first = one.accept();
    assert!(first.receive().contains("Idempotency-Key: k\r\n"));
    discovery.publish(&[one.entry("leaving"), narrow.server.entry("active")]);
    scheduler.wait_for_counters("forwards=1 lists=2");
    drop(first);
    scheduler.wait_for_counters("forwards=2 Reset=1 dials=2");
    std::thread::sleep(Duration::from_millis(2100));
    narrow.free_backlog();
    assert_snapshot!(client.receive_response(), @"HTTP/1.1 502 Bad Gateway | failed");
    assert_snapshot!(scheduler.counters(&["forwards", "NotSent"]), @"forwards=2 NotSent=1");
}

// ---- watches and calls that die

/// What discovery had counts as told six seconds later, whatever became of the calls: a watch falls silent at every process
/// of a fleet, and so does the call after it.
#[test]
fn watches_that_fall_silent_at_all_processes_are_opened_anew_in_time_also_after_a_call_in_vain() {
    const FLEET: usize = 5;
    let (one, two) = (Server::new("s-00000001"), Server::new("s-00000002"));
    for mode in ["automatic", "subscribe"] {
        let asks = (r#""registry_mode":"automatic""#, &*format!(r#""registry_mode":"{mode}""#));
        let bound = (r#""obligations":{"#, r#""obligations":{"must_ask_in":10000000000,"#);
        let discovery = DiscoveryAgent::new(AgentMode::Answers, &[one.entry("active")]);
        let start = || SchedulerProcess::start_with_changes(&[&one], &discovery.server, &[asks, bound]);
        let schedulers: Vec<SchedulerProcess> = (0..FLEET).map(|_| start()).collect();
        discovery.wait_for_calls("from=2&hold_ms=", FLEET);
        discovery.set_mode(AgentMode::Silent);
        discovery.publish(&[one.entry("leaving"), two.entry("active")]);
        let (silent, before) = (Instant::now(), discovery.calls_containing("from=2").len());
        discovery.wait_for_calls("from=2", before + FLEET);
        discovery.set_mode(AgentMode::Answers);
        discovery.wait_for_calls("from=3", FLEET);
        assert!(silent.elapsed() < Duration::from_secs(6), "{mode}: {:?}", silent.elapsed());
        for scheduler in &schedulers {
            goes_to(scheduler, &two, "a1", "3.000");
        }
    }
}

/// A watch that has gone on for many calls falls silent in the end, and the process has just been told to end: a job that it
/// still holds is nothing that an old list may decide on.
#[test]
fn a_watch_that_falls_silent_late_at_a_process_that_is_to_end_is_opened_anew_in_time() {
    let (one, two) = (Server::new("s-00000001"), Server::new("s-00000002"));
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[one.entry("leaving")]);
    let mut scheduler = SchedulerProcess::start_with_changes(&[&one], &discovery.server, &[PATIENT]);
    scheduler.wait_for_counters("lists=1");
    discovery.wait_for_calls("from=2", 4);
    let mut client = scheduler.connect();
    client.send(&job("view", "a1", "19.000"));
    scheduler.wait_for_counters("flows=1 forwards=0");
    let before = discovery.calls_containing("from=2").len();
    discovery.set_mode(AgentMode::Silent);
    discovery.publish(&[two.entry("active")]);
    let silent = Instant::now();
    scheduler.signal("TERM");
    scheduler.wait_for_log("asked to end");
    discovery.wait_for_calls("from=2", before + 1);
    discovery.set_mode(AgentMode::Answers);
    serve(&scheduler, &mut two.accept(), &two, "a1");
    assert!(silent.elapsed() < Duration::from_secs(6), "{:?}", silent.elapsed());
    assert!(client.receive_response().ends_with("a1"));
    assert!(scheduler.wait_for_exit());
}

/// Where the list is asked for, calls that are turned away are made again so soon that discovery's first answer after an
/// outage comes in time, however long the outage was.
#[test]
fn refused_calls_for_the_list_are_made_again_soon_however_often_they_failed() {
    let (one, two) = (Server::new("s-00000001"), Server::new("s-00000002"));
    let asks = (r#""registry_mode":"automatic""#, r#""registry_mode":"subscribe""#);
    let bound = (r#""obligations":{"#, r#""obligations":{"must_ask_in":10000000000,"#);
    let discovery = DiscoveryAgent::new(AgentMode::Refuses, &[one.entry("leaving"), two.entry("active")]);
    let scheduler = SchedulerProcess::start_with_changes(&[&one], &discovery.server, &[asks, bound]);
    discovery.wait_for_calls("GET", 7);
    let calls = discovery.calls_containing("GET");
    let longest = calls.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap();
    assert!(longest < Duration::from_secs(2), "{longest:?}");
    discovery.set_mode(AgentMode::Answers);
    discovery.wait_for_calls("from=2", 1);
    goes_to(&scheduler, &two, "a1", "3.000");
}

/// What the agent has counts from the first moment, and at once when an outage ends: a call that it left unanswered is not
/// waited for alone.
#[test]
fn a_call_that_hangs_does_not_keep_the_next_one_back_where_lists_are_pushed() {
    let (discovery, one, two) = (Server::new("d"), Server::new("s-00000001"), Server::new("s-00000002"));
    let scheduler = SchedulerProcess::start(&[&one], &discovery);
    let hung = [discovery.accept(), discovery.accept()];
    let mut news = discovery.accept();
    assert!(news.receive().starts_with("GET /v1/servers?from=1&"));
    news.send(&response("200 OK", &list(7, true, &[two.entry("active")])));
    assert!(news.receive().starts_with("GET /v1/servers?from=7&"));
    // None of them had failed: they were open beside each other.
    assert_snapshot!(scheduler.counters(&["lists", "list_faults"]), @"lists=1 list_faults=0");
    assert!(hung.into_iter().all(|mut line| line.receive().starts_with("GET") && line.wait_until_closed()));
}

/// Clients that rest fill the places while discovery is down, and more of them come all the time. Health is answered, and
/// the list comes in with discovery's return.
#[test]
fn idle_clients_that_fill_the_descriptors_keep_neither_health_nor_the_list_out() {
    let (one, two) = (Server::new("s-00000001"), Server::new("s-00000002"));
    let discovery = DiscoveryAgent::new(AgentMode::Silent, &[two.entry("active")]);
    let scheduler = SchedulerProcess::start(&[&one], &discovery.server);
    let begun = Instant::now();
    let mut idle = Vec::new();
    for i in 0..150 {
        let mut line = scheduler.connect();
        if i % 2 == 0 {
            line.send("GET /healthz HTTP/1.1\r\n\r\n");
            assert!(line.receive_response().ends_with("ready"));
        }
        idle.push(line);
    }
    assert!(begun.elapsed() < Duration::from_secs(10), "ready in time: {:?}", begun.elapsed());
    assert!(scheduler.descriptor_count() <= 64);
    discovery.set_mode(AgentMode::Answers);
    scheduler.wait_for_counters("lists=1");
    goes_to(&scheduler, &two, "a1", "3.000");
}

// ---- connections that end

/// A request crosses the close of its connection: it is read for nobody, neither sent on nor reset. Each of many clients
/// writes as soon as it sees the end.
#[test]
fn bytes_that_cross_the_close_of_an_idle_connection_neither_reset_it_nor_are_sent_on() {
    let (discovery, target) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let scheduler = SchedulerProcess::start(&[&target], &discovery.server);
    let (tell, ended) = std::sync::mpsc::channel();
    // More than a quarter of the descriptors: the oldest make room.
    for _ in 0..40 {
        let mut line = scheduler.connect();
        line.send("GET /healthz HTTP/1.1\r\n\r\n");
        assert!(line.receive_response().ends_with("ready"));
        let tell = tell.clone();
        std::thread::spawn(move || {
            line.wait_until_closed();
            // The first of two writes to a socket that is closed has it reset, and the second fails.
            let text = job("view", "a1", "3.000");
            let _ = tell.send(line.try_send(&text[..20]).is_ok() && line.try_send(&text[20..]).is_ok());
        });
    }
    let mut seen = (0..20).map(|_| ended.recv().unwrap());
    assert!(seen.any(|whole| whole), "every one was reset");
    assert_snapshot!(scheduler.counters(&["flows", "forwards"]), @"flows=0 forwards=0");
}

/// A client that is still writing has its answer on the way: the process waits for it, within its time.
#[test]
fn a_process_that_ends_does_not_reset_a_connection_on_which_something_still_comes() {
    let others = (r#""balancers":1"#, r#""balancers":2"#);
    let mut scheduler = SchedulerProcess::start_with_changes(
        &[],
        &DiscoveryAgent::new(AgentMode::Silent, &[]).server,
        &[others],
    );
    scheduler.signal("TERM");
    scheduler.wait_for_log("asked to end");
    let asked = Instant::now();
    let mut client = None;
    while asked.elapsed() < Duration::from_millis(2900) {
        if client.is_none() && asked.elapsed() > Duration::from_millis(1500) {
            let mut line = scheduler.connect();
            line.send("POST /view/7f HTTP/1.1\r\nContent-Length: 8000000\r\n\r\n");
            client = Some(line);
        }
        let said = client.as_mut().map_or(Ok(()), |line| line.try_send("x"));
        assert!(said.is_ok(), "{said:?} after {:?}", asked.elapsed());
        std::thread::sleep(Duration::from_millis(20));
    }
    let mut client = client.unwrap();
    assert_snapshot!(client.receive_response(), @"HTTP/1.1 413 Content Too Large | body too large");
    drop(client);
    assert!(scheduler.wait_for_exit());
}

/// What a worker was not told to drop would run for nobody.
#[test]
fn a_process_that_ends_tells_a_worker_to_drop_a_job_though_the_connection_comes_up_late() {
    let (discovery, mut narrow) =
        (DiscoveryAgent::new(AgentMode::Silent, &[]), FullBacklogServer::new("s-00000001"));
    let mut scheduler =
        SchedulerProcess::start_with_changes(&[&narrow.server], &discovery.server, &[SLOW_DIALS]);
    let mut client = scheduler.connect();
    client.send(&job("lodge", "a1", "4.500"));
    scheduler.wait_for_counters("forwards=1 dials=1");
    narrow.free_backlog();
    let mut forward = narrow.server.accept();
    forward.receive();
    forward.send(&response("202 Accepted", "").replace("Content", "Connection: close\r\nContent"));
    scheduler.wait_for_counters("forwards=1 dials=1");
    // The worker's machine is full again: the call that gives the job up hangs in its dial.
    let crowd = std::net::TcpStream::connect(narrow.server.address()).unwrap();
    scheduler.signal("TERM");
    assert_snapshot!(client.receive_response(), @"HTTP/1.1 502 Bad Gateway | failed");
    std::thread::sleep(Duration::from_millis(100));
    assert!(scheduler.is_running(), "it ended with a word to a worker unsaid");
    narrow.server.accept();
    assert_eq!(narrow.server.accept().receive().lines().next(), Some("DELETE /jobs/a1 HTTP/1.1"));
    assert!(scheduler.wait_for_exit());
    drop((crowd, forward));
}

// ---- answers of workers that are cut, have no end, or come twice

#[test]
fn a_job_whose_202_has_no_end_is_given_up_by_a_word_of_its_own() {
    let (discovery, target) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let scheduler = SchedulerProcess::start(&[&target], &discovery.server);
    let mut client = scheduler.connect();
    client.send(&job("lodge", "a1", "0.500"));
    let mut endless = target.accept();
    endless.receive();
    endless.send("HTTP/1.1 202 Accepted\r\nContent-Length: 60000\r\n\r\nand so on");
    assert_snapshot!(client.receive_response(), @"HTTP/1.1 502 Bad Gateway | failed");
    assert_eq!(target.accept().receive().lines().next(), Some("DELETE /jobs/a1 HTTP/1.1"));
    assert!(endless.wait_until_closed(), "it would hold memory and a descriptor");
}

#[test]
fn a_job_whose_202_was_cut_after_its_head_is_served_by_its_call_back() {
    let (discovery, target) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let scheduler = SchedulerProcess::start(&[&target], &discovery.server);
    for (id, cut) in [("a1", "Content-Length: 9\r\n\r\nabc"), ("a2", "Transfer-Encoding: chunked\r\n\r\nzz")]
    {
        let mut client = scheduler.connect();
        client.send(&job("lodge", id, "3.000"));
        let mut forward = target.accept();
        forward.receive();
        forward.send(&format!("HTTP/1.1 202 Accepted\r\n{cut}"));
        drop(forward);
        // A turn of the program's loop, so that the end has reached it before the call-back does.
        scheduler.counters(&["served"]);
        scheduler.call_back(&done(id, &target));
        assert!(client.receive_response().ends_with(id));
    }
    assert_snapshot!(scheduler.counters(&["served", "Reset"]), @"served=2 Reset=0");
}

/// A reset of the connection long after the 202 says nothing of the job.
#[test]
fn a_reset_long_after_the_202_leaves_the_job_to_its_call_back() {
    let (discovery, target) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let scheduler = SchedulerProcess::start(&[&target], &discovery.server);
    let mut client = scheduler.connect();
    client.send(&job("lodge", "a1", "4.500"));
    let mut forward = target.accept();
    forward.receive();
    forward.send(&response("202 Accepted", ""));
    scheduler.call_back(r#"{"id":"a1","from":"s-00000001","state":"started"}"#);
    forward.reset();
    scheduler.counters(&["served"]);
    scheduler.call_back(&done("a1", &target));
    assert!(client.receive_response().ends_with("a1"));
    assert_snapshot!(scheduler.counters(&["served", "Reset"]), @"served=1 Reset=0");
}

/// A second answer that comes while its connection rests is not taken for the answer to the next job.
#[test]
fn a_second_answer_on_a_resting_connection_is_never_taken_for_the_next_jobs() {
    let (discovery, target) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let scheduler = SchedulerProcess::start(&[&target], &discovery.server);
    let mut twice = None;
    for id in ["a1", "a2"] {
        let mut client = scheduler.connect();
        client.send(&job("lodge", id, "3.000"));
        let mut forward = target.accept();
        serve(&scheduler, &mut forward, &target, id);
        assert!(client.receive_response().ends_with(id));
        if id == "a1" {
            forward.send("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
            // A turn of the program's loop, so that it has come before the next job does.
            scheduler.counters(&["served"]);
            twice = Some(forward);
        }
    }
    assert_snapshot!(scheduler.counters(&["forwards", "Full", "dials", "reused"]), @"forwards=2 Full=0 dials=2 reused=0");
    assert!(twice.unwrap().wait_until_closed());
}

// ---- starts by the dozen

/// Thirty processes start at once before a worker that has just started, and each has jobs for it all the time: what reaches
/// the worker in a window is within the budget that the settings give, and what is put down to chance.
#[test]
#[expect(clippy::disallowed_methods, reason = "discovery dates its workers by the wall clock")]
fn thirty_processes_that_start_at_once_stay_within_a_cold_workers_budget() {
    const FLEET: usize = 30;
    let cold = Server::new("s-00000001");
    let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis();
    let entry = cold.entry("active").replace(r#""born_ms":0"#, &format!(r#""born_ms":{born}"#));
    let discovery = DiscoveryAgent::new(AgentMode::Answers, std::slice::from_ref(&entry));
    let rule = (
        r#""obligations":{"#,
        r#""obligations":{"cold":600000000000,"cold_from":0.3,"overload_factor":2.5,"overload_for":4000000000,"#,
    );
    let fleet = (r#""balancers":1"#, r#""balancers":30"#);
    // An aim that tells nothing of what a job takes: a second, on a worker of one slot.
    let aim = (r#""aim":900000000,"give_up":5000000000"#, r#""aim":20000000,"give_up":16000000000"#);
    let alone = (r#""may_tell":true"#, r#""may_tell":false"#);
    let start = |_| SchedulerProcess::start_with_changes(&[], &discovery.server, &[rule, fleet, aim, alone]);
    let mut schedulers: Vec<SchedulerProcess> = (0..FLEET).map(start).collect();
    discovery.wait_for_calls("from=2", FLEET);
    // Each is asked again as soon as it has answered, for two seconds: half a window of the rule.
    std::thread::scope(|scope| {
        for (n, scheduler) in schedulers.iter().enumerate() {
            let mut line = scheduler.connect();
            scope.spawn(move || {
                let begun = Instant::now();
                for i in 0.. {
                    if begun.elapsed() > Duration::from_secs(2) {
                        break;
                    }
                    line.send(&job("view", &format!("n{n}-{i}"), "0.300"));
                    assert!(line.receive_response().starts_with("HTTP/1.1 5"));
                }
            });
        }
    });
    let forwards =
        |scheduler: &SchedulerProcess| -> usize { scheduler.counters(&["forwards"])[9..].parse().unwrap() };
    let sent: usize = schedulers.iter().map(forwards).sum();
    let n: f64 = 2.5 * 0.3 * 4.0;
    assert!((sent as f64) <= n + 2.0 * n.sqrt() + 2.0, "{sent} calls, {n} allowed");
    assert!(schedulers.iter_mut().all(SchedulerProcess::is_running));
}

// ---- lists of large fleets

/// A list of two thousand workers is longer than any request may be, and is taken in like any other; one that is beyond
/// a sixteenth of the memory is turned down, and the last one stays.
#[test]
fn a_list_is_taken_in_up_to_a_sixteenth_of_the_memory() {
    let (discovery, one) = (Server::new("d"), Server::new("s-00000001"));
    let scheduler = SchedulerProcess::start(&[&one], &discovery);
    let mut line = discovery.accept();
    line.receive();
    let entry = one.entry("active");
    let many: Vec<String> = (1..=2_000).map(|n| entry.replace("s-00000001", &format!("s-{n:08x}"))).collect();
    let text = list(3, true, &many);
    assert!(text.len() > 200_000, "{}", text.len());
    line.send(&response("200 OK", &text));
    scheduler.wait_for_counters("lists=1 list_faults=0");
    assert!(line.receive().contains("from=3"), "it goes on from this list");
    line.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 64 << 20));
    scheduler.wait_for_counters("lists=1 list_faults=1");
    assert!(discovery.accept().receive().contains("from=3"), "the last list stays");
}
