//! Races at the end of something: clients disconnect, connections close, watches hang, timeouts expire and processes
//! exit while an answer or a message is still due. Each race is forced: a peer sends or withholds data once the program
//! has provably reached a certain state, and tests sleep only where time has to pass. See docs/design/0008-endings.md.

mod harness;

use harness::{
    AgentMode, DiscoveryAgent, FullBacklogServer, HttpConnection, SchedulerProcess, Server, job, list,
    response,
};
use insta::assert_snapshot;
use std::time::{Duration, Instant};

/// Long deadlines, so that no request times out during a test.
const LONG_DEADLINES: (&str, &str) =
    (r#""aim":900000000,"give_up":5000000000"#, r#""aim":20000000000,"give_up":20000000000"#);
/// A long timeout for connecting to targets.
const LONG_DIAL_TIMEOUT: (&str, &str) = (r#""dial_timeout":1000000000"#, r#""dial_timeout":15000000000"#);
/// Attempts are not cancelled when their client disconnects, so only the check before their first byte stops them.
const NO_CANCELLATION: (&str, &str) = (r#""cancel":true"#, r#""cancel":false"#);
/// A worker's response that rejects a job before starting it.
const REJECTED_UNSTARTED: &str = "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
/// Enough sockets for the connections of many clients.
const MANY_SOCKETS: (&str, &str) = (r#""sockets":64"#, r#""sockets":256"#);

/// A worker's call-back that a job is done, with the job's id as the result.
fn done_call_back(id: &str, worker: &Server) -> String {
    format!(r#"{{"id":"{id}","from":"{}","state":"done","result":"{id}"}}"#, worker.name)
}

/// Receives the next job on a connection of a worker and serves it.
fn serve_next_job(scheduler: &SchedulerProcess, connection: &mut HttpConnection, worker: &Server, id: &str) {
    let head = connection.receive();
    assert!(head.contains(&format!("X-Correlation-Id: {id}\r\n")), "not job {id}: {head}");
    connection.send(&response("202 Accepted", ""));
    scheduler.call_back(&done_call_back(id, worker));
}

/// Sends a job on a new connection and checks that it is forwarded to this worker, which serves it.
fn assert_served_by(scheduler: &SchedulerProcess, worker: &Server, id: &str, seconds: &str) {
    let mut client = scheduler.connect();
    client.send(&job("view", id, seconds));
    serve_next_job(scheduler, &mut worker.accept(), worker, id);
    assert!(client.receive_response().ends_with(id), "{id}");
}

// ---- clients that disconnect

/// Guards against forwarding waiting jobs of clients that have disconnected, however they did, once there is a worker.
#[test]
fn disconnected_clients_are_noticed_while_their_jobs_wait_whatever_they_send_last() {
    let (discovery, target) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let scheduler =
        SchedulerProcess::start_with_changes(&[], &discovery.server, &[LONG_DEADLINES, MANY_SOCKETS]);
    type Disconnect = (&'static str, fn(HttpConnection));
    let disconnects: [Disconnect; 5] = [
        ("closes", drop),
        ("resets", HttpConnection::reset),
        ("has begun its next request", |connection| connection.send_and_close("POST /view/7f HTTP/1.1\r\n")),
        ("has sent several", |connection| connection.send_and_close(&job("view", "x", "9.000").repeat(80))),
        ("floods", |connection| connection.send_and_close(&"x".repeat(400_000))),
    ];
    let waiting: Vec<_> = (0..20)
        .map(|n| {
            let mut connection = scheduler.connect();
            connection.send(&job("view", &format!("a{n}"), "19.000"));
            (connection, disconnects[n % disconnects.len()])
        })
        .collect();
    scheduler.wait_for_counters("flows=20 forwards=0");
    waiting.into_iter().for_each(|(connection, (_, disconnect))| disconnect(connection));
    scheduler.wait_for_counters("flows=20 gone=20 forwards=0");
    // A worker appears, and only the job of a new client may be sent to it.
    discovery.publish(&[target.entry("active")]);
    discovery.set_mode(AgentMode::Answers);
    assert_served_by(&scheduler, &target, "b1", "19.000");
    scheduler.wait_for_counters("flows=21 gone=20 forwards=1");
}

/// A stopped process resumes and finds requests whose clients have already disconnected.
#[test]
fn a_request_whose_client_disconnected_before_it_was_read_is_not_accepted() {
    let (discovery, target) = (DiscoveryAgent::new(AgentMode::Answers, &[]), Server::new("s-00000001"));
    discovery.publish(&[target.entry("active")]);
    let scheduler = SchedulerProcess::start(&[&target], &discovery.server);
    let mut idle = scheduler.connect();
    idle.send("GET /healthz HTTP/1.1\r\n\r\n");
    assert!(idle.receive_response().ends_with("ready"));
    scheduler.freeze();
    for i in 0..3 {
        scheduler.connect().send_and_close(&job("view", &format!("a{i}"), "3.000"));
        scheduler.connect().send_and_close(&job("view", &format!("b{i}"), "3.000").repeat(3));
    }
    idle.send_and_close(&job("view", "c", "3.000"));
    let mut connected = scheduler.connect();
    connected.send(&job("view", "d", "3.000"));
    scheduler.signal("CONT");
    serve_next_job(&scheduler, &mut target.accept(), &target, "d");
    assert!(connected.receive_response().ends_with("d"));
    assert_snapshot!(scheduler.counters(&["flows", "forwards"]), @"flows=1 forwards=1");
}

/// A forward starts with its first byte: the client may disconnect while the connection to the worker is being opened.
#[test]
fn a_forward_is_not_written_if_its_client_disconnected_while_the_connection_was_opened() {
    let (discovery, mut backlogged) =
        (DiscoveryAgent::new(AgentMode::Silent, &[]), FullBacklogServer::new("s-00000001"));
    let scheduler = SchedulerProcess::start_with_changes(
        &[&backlogged.server],
        &discovery.server,
        &[LONG_DEADLINES, LONG_DIAL_TIMEOUT, NO_CANCELLATION],
    );
    let mut client = scheduler.connect();
    client.send(&job("view", "a1", "19.000"));
    scheduler.wait_for_counters("forwards=1 NotSent=0 dials=1");
    drop(client);
    scheduler.wait_for_counters("gone=1 forwards=1 NotSent=0");
    backlogged.free_backlog();
    scheduler.wait_for_counters("gone=1 forwards=1 NotSent=1 dials=1");
    // The new connection is kept, and the next job is the first one sent on it.
    assert_served_by(&scheduler, &backlogged.server, "b1", "19.000");
}

/// A worker rejects the first attempt after the client has disconnected: no further attempt may follow, even where
/// attempts are not cancelled.
#[test]
fn a_rejected_attempt_is_not_retried_once_its_client_has_disconnected() {
    let (one, two) = (Server::new("s-00000001"), Server::new("s-00000002"));
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[one.entry("active")]);
    let scheduler =
        SchedulerProcess::start_with_changes(&[&one], &discovery.server, &[LONG_DEADLINES, NO_CANCELLATION]);
    scheduler.wait_for_counters("lists=1");
    let mut client = scheduler.connect();
    client.send(&job("view", "a1", "19.000"));
    let mut first = one.accept();
    assert!(first.receive().contains("a1"));
    discovery.publish(&[one.entry("leaving"), two.entry("active")]);
    scheduler.wait_for_counters("lists=2");
    drop(client);
    scheduler.wait_for_counters("gone=1 forwards=1");
    first.send(REJECTED_UNSTARTED);
    scheduler.wait_for_counters("gone=1 forwards=1 Full=1");
    // The first job that the other worker receives is the next client's.
    assert_served_by(&scheduler, &two, "b1", "19.000");
    scheduler.wait_for_counters("gone=1 forwards=2 Full=1");
}

// ---- the remaining time that an attempt sends to its worker

/// The first attempt is rejected late, and the connection for the second one is opened late: `X-Time-Left` of the second
/// attempt must account for both delays.
#[test]
fn a_retry_sends_no_more_time_left_than_its_client_has() {
    let (one, mut backlogged) = (Server::new("s-00000001"), FullBacklogServer::new("s-00000002"));
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[one.entry("active")]);
    let scheduler = SchedulerProcess::start_with_changes(
        &[&one],
        &discovery.server,
        &[LONG_DEADLINES, LONG_DIAL_TIMEOUT],
    );
    scheduler.wait_for_counters("lists=1");
    let time_left = |head: &str| -> f64 {
        let value = head.lines().find_map(|header| header.strip_prefix("X-Time-Left: "));
        value.expect("no X-Time-Left header").parse().unwrap()
    };
    let mut client = scheduler.connect();
    client.send(&job("view", "a1", "15.000"));
    let mut first = one.accept();
    let first_time_left = time_left(&first.receive());
    // The client has been waiting since before this moment.
    let received = Instant::now();
    assert!(first_time_left <= 15.0, "{first_time_left}");
    discovery.publish(&[one.entry("leaving"), backlogged.server.entry("active")]);
    scheduler.wait_for_counters("lists=2");
    std::thread::sleep(Duration::from_millis(700));
    first.send(REJECTED_UNSTARTED);
    scheduler.wait_for_counters("forwards=2 Full=1 dials=2");
    std::thread::sleep(Duration::from_millis(700));
    let left = 15.0 - received.elapsed().as_secs_f64();
    backlogged.free_backlog();
    let mut second = backlogged.server.accept();
    let second_time_left = time_left(&second.receive());
    assert!(
        second_time_left <= left + 0.001 && second_time_left > 0.0,
        "{second_time_left} s sent, {left} s left"
    );
    second.send(&response("202 Accepted", ""));
    scheduler.call_back(&done_call_back("a1", &backlogged.server));
    assert!(client.receive_response().ends_with("a1"));
}

// ---- messages in pieces, in all permitted forms, slow ones, and many at once

/// Sends a message in pieces. The program reads each piece before the next one is sent, as reporting its counters takes
/// an iteration of its event loop.
fn send_in_pieces(scheduler: &SchedulerProcess, connection: &mut HttpConnection, text: &str) {
    let body_start = text.find("\r\n\r\n").map_or(text.len(), |at| at + 4);
    let mut cuts = [3, body_start / 3, body_start - 3, body_start - 1, body_start + 1, text.len()];
    cuts.sort_unstable();
    let mut start = 0;
    for end in cuts.into_iter().filter(|end| *end <= text.len()) {
        connection.send(&text[start..end]);
        scheduler.counters(&["flows"]);
        start = end;
    }
}

/// Requests, call-backs, workers' responses and endpoint lists, in pieces and in all forms that the protocol permits.
#[test]
fn messages_in_pieces_and_in_all_permitted_forms_are_accepted() {
    let (discovery, one, two) = (Server::new("d"), Server::new("s-00000001"), Server::new("s-00000002"));
    let scheduler = SchedulerProcess::start(&[&one], &discovery);
    // An indented, chunked list replaces the initial one.
    let mut connection = discovery.accept();
    connection.receive();
    let text =
        list(3, true, &[two.entry("active")]).replace(':', " :\t").replace("127.0.0.1 :\t", "127.0.0.1:");
    let text = text.replace(',', ",\n  ").replace('{', "{\n  ");
    let (a, b) = text.split_at(text.len() / 2);
    let chunked = format!("{:x}\r\n{a}\r\n{:X};part=2\r\n{b}\r\n0\r\n\r\n", a.len(), b.len());
    send_in_pieces(
        &scheduler,
        &mut connection,
        &format!("HTTP/1.1 200 Fine\r\ntransfer-encoding: Chunked\r\n\r\n{chunked}"),
    );
    scheduler.wait_for_counters("lists=1");
    // Requests with header names in any case, with and without spaces, with whole seconds, with a query, with a body of
    // any bytes, chunked or not, and with unknown headers.
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
    // Responses with which a worker accepts a job, and the call-backs that follow or precede them.
    let accept_responses = [
        "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 202 \r\ncontent-length:5\r\nx-backend-load: inflight=1,util=0.5\r\n\r\nhello",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    ];
    let call_backs = [
        r#"{"id":"ID","from":"s-00000002","state":"done","result":"made ID"}"#,
        "{\n\t\"state\" : \"done\",\n\t\"load\" : {\"rif\": 1.0e0, \"q\": null},\n\t\"result\" : \"made ID\",\n\t\"more\" : [{}],\n\t\"from\" : \"s-00000002\",\n\t\"id\" : \"ID\"\n}\n",
        r#"{"id":"\u0069D","from":"s-0000000\u0032","state":"d\u006fne","result":"m\u0061de ID"}"#,
    ];
    for (n, request) in requests.iter().enumerate() {
        for (m, accept_response) in accept_responses.iter().enumerate() {
            // The last call-back has the first letter of the id escaped.
            let id = format!("i{n}{m}");
            let call_back =
                call_backs[(n + m) % 3].replace(r"\u0069D", &format!(r"\u0069{n}{m}")).replace("ID", &id);
            let mut client = scheduler.connect();
            send_in_pieces(&scheduler, &mut client, &request.replace("ID", &id));
            let mut forward = two.accept();
            let received = forward.receive();
            assert!(received.starts_with("POST /view/7f?a=b&c=%20 HTTP/1.1\r\n"), "{received}");
            assert!(received.contains(&format!("\r\nX-Correlation-Id: {id}\r\n")), "{received}");
            assert!(received.contains(&format!("\r\nIdempotency-Key: k-{id}\r\n")), "{received}");
            assert!(received.ends_with("\r\n\r\nh\r\ni"), "{received}");
            let mut caller = scheduler.connect();
            let call_back = format!(
                "POST /v1/job-events HTTP/1.1\r\ncontent-length: {}\r\n\r\n{call_back}",
                call_back.len()
            );
            let before_response = m == 0;
            if before_response {
                send_in_pieces(&scheduler, &mut caller, &call_back);
            }
            send_in_pieces(&scheduler, &mut forward, accept_response);
            if !before_response {
                send_in_pieces(&scheduler, &mut caller, &call_back);
            }
            assert_eq!(caller.receive_response(), "HTTP/1.1 200 OK | noted");
            assert_eq!(client.receive_response(), format!("HTTP/1.1 200 OK | made {id}"));
            // Makes the next job use a new connection.
            forward.reset();
        }
    }
}

/// The deadline of a request counts from its last byte, and a client that writes slowly blocks no other.
#[test]
fn the_deadline_of_a_slowly_written_request_counts_from_its_last_byte_and_others_are_served_meanwhile() {
    let (discovery, target) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let scheduler = SchedulerProcess::start(&[&target], &discovery.server);
    let mut slow = scheduler.connect();
    let text = job("view", "a1", "0.900");
    let (last_byte, start) = (text.len() - 1, Instant::now());
    slow.send(&text[..last_byte - 60]);
    assert_served_by(&scheduler, &target, "b1", "3.000");
    while start.elapsed() < Duration::from_millis(1100) {
        std::thread::sleep(Duration::from_millis(50));
    }
    slow.send(&text[last_byte - 60..last_byte]);
    assert_snapshot!(scheduler.counters(&["flows", "forwards"]), @"flows=1 forwards=1");
    slow.send(&text[last_byte..]);
    let mut forward = target.accept();
    serve_next_job(&scheduler, &mut forward, &target, "a1");
    assert!(slow.receive_response().ends_with("a1"));
}

/// Many requests arrive in one piece on one connection. Each is forwarded once and answered, in their order.
#[test]
fn pipelined_requests_are_forwarded_once_and_answered_in_order() {
    const REQUEST_COUNT: usize = 30;
    let (discovery, target) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let scheduler = SchedulerProcess::start_with_changes(&[&target], &discovery.server, &[LONG_DEADLINES]);
    let mut client = scheduler.connect();
    let health = "GET /healthz HTTP/1.1\r\n\r\n";
    let all: String = (0..REQUEST_COUNT).map(|n| job("view", &format!("a{n}"), "19.000") + health).collect();
    client.send(&all);
    let mut forward = target.accept();
    for n in 0..REQUEST_COUNT {
        serve_next_job(&scheduler, &mut forward, &target, &format!("a{n}"));
        assert_eq!(client.receive_response(), format!("HTTP/1.1 200 OK | a{n}"));
        assert_eq!(client.receive_response(), "HTTP/1.1 200 OK | ready");
    }
    assert_snapshot!(scheduler.counters(&["flows", "forwards", "served"]), @"flows=30 served=30 forwards=30");
}

// ---- changes while a connection to a worker is being opened

/// Checks that a job is sent to another worker if the entry of its first worker changes in this way while the connection
/// to it is being opened.
fn check_entry_change_while_connecting(changed_entry: fn(&Server) -> String) {
    let (mut backlogged, two) = (FullBacklogServer::new("s-00000001"), Server::new("s-00000002"));
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[backlogged.server.entry("active")]);
    // The job must not be sent although the worker would accept it for another minute.
    let long_drain_grace = (r#""drain_grace":1000000000"#, r#""drain_grace":60000000000"#);
    let scheduler = SchedulerProcess::start_with_changes(
        &[&backlogged.server],
        &discovery.server,
        &[LONG_DEADLINES, LONG_DIAL_TIMEOUT, long_drain_grace],
    );
    scheduler.wait_for_counters("lists=1");
    let mut client = scheduler.connect();
    client.send(&job("lodge", "a1", "19.000"));
    scheduler.wait_for_counters("forwards=1 dials=1");
    discovery.publish(&[changed_entry(&backlogged.server), two.entry("active")]);
    scheduler.wait_for_counters("lists=2");
    backlogged.free_backlog();
    serve_next_job(&scheduler, &mut two.accept(), &two, "a1");
    assert!(client.receive_response().ends_with("a1"));
    assert_eq!(scheduler.counters(&["forwards", "NotSent", "served"]), "served=1 forwards=2 NotSent=1");
}

#[test]
fn a_worker_that_starts_draining_while_a_connection_to_it_is_opened_gets_no_job() {
    check_entry_change_while_connecting(|server| server.entry("leaving"));
}

/// The restarted worker is cold, and the job was counted against the capacity of its previous incarnation.
#[test]
fn a_worker_that_restarts_while_a_connection_to_it_is_opened_gets_no_job_of_its_previous_incarnation() {
    check_entry_change_while_connecting(|server| {
        server.entry("active").replace(r#""born_ms":0"#, r#""born_ms":1000"#)
    });
}

/// Workers drop repeats for two seconds after the first attempt. The second attempt is decided within that window, but its
/// connection is opened only after it.
#[test]
fn a_retry_is_not_written_if_its_connection_opens_after_the_deduplication_window() {
    let (one, mut backlogged) = (Server::new("s-00000001"), FullBacklogServer::new("s-00000002"));
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[one.entry("active")]);
    let deduplicated = r#""effect":"deduplicated","group":"cell","repeat_window":2000000000"#;
    let deduplicated = (r#""effect":"idempotent""#, deduplicated);
    let scheduler = SchedulerProcess::start_with_changes(
        &[&one],
        &discovery.server,
        &[LONG_DEADLINES, LONG_DIAL_TIMEOUT, deduplicated],
    );
    scheduler.wait_for_counters("lists=1");
    let mut client = scheduler.connect();
    client.send(&job("view", "a1", "19.000").replace("X-Service", "Idempotency-Key: k\r\nX-Service"));
    let mut first = one.accept();
    assert!(first.receive().contains("Idempotency-Key: k\r\n"));
    discovery.publish(&[one.entry("leaving"), backlogged.server.entry("active")]);
    scheduler.wait_for_counters("forwards=1 lists=2");
    drop(first);
    scheduler.wait_for_counters("forwards=2 Reset=1 dials=2");
    std::thread::sleep(Duration::from_millis(2100));
    backlogged.free_backlog();
    assert_snapshot!(client.receive_response(), @"HTTP/1.1 502 Bad Gateway | failed");
    assert_snapshot!(scheduler.counters(&["forwards", "NotSent"]), @"forwards=2 NotSent=1");
}

// ---- watches and calls that fail

/// A change must be known six seconds after discovery has it, although the watches of all processes of a fleet hang, and
/// so do the calls after them.
#[test]
fn hanging_watches_of_all_processes_are_replaced_in_time_even_if_the_next_calls_hang() {
    const PROCESS_COUNT: usize = 5;
    let (one, two) = (Server::new("s-00000001"), Server::new("s-00000002"));
    for mode in ["automatic", "subscribe"] {
        let registry_mode = (r#""registry_mode":"automatic""#, &*format!(r#""registry_mode":"{mode}""#));
        let must_ask_in = (r#""obligations":{"#, r#""obligations":{"must_ask_in":10000000000,"#);
        let discovery = DiscoveryAgent::new(AgentMode::Answers, &[one.entry("active")]);
        let start = || {
            SchedulerProcess::start_with_changes(&[&one], &discovery.server, &[registry_mode, must_ask_in])
        };
        let schedulers: Vec<SchedulerProcess> = (0..PROCESS_COUNT).map(|_| start()).collect();
        discovery.wait_for_calls("from=2&hold_ms=", PROCESS_COUNT);
        discovery.set_mode(AgentMode::Silent);
        discovery.publish(&[one.entry("leaving"), two.entry("active")]);
        let (silent_since, before) = (Instant::now(), discovery.calls_containing("from=2").len());
        discovery.wait_for_calls("from=2", before + PROCESS_COUNT);
        discovery.set_mode(AgentMode::Answers);
        discovery.wait_for_calls("from=3", PROCESS_COUNT);
        assert!(silent_since.elapsed() < Duration::from_secs(6), "{mode}: {:?}", silent_since.elapsed());
        for scheduler in &schedulers {
            assert_served_by(scheduler, &two, "a1", "3.000");
        }
    }
}

/// A watch hangs after many successful calls, just as the process is told to shut down: a job that still waits must be
/// routed by the current list.
#[test]
fn a_watch_that_hangs_as_the_process_shuts_down_is_replaced_in_time() {
    let (one, two) = (Server::new("s-00000001"), Server::new("s-00000002"));
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[one.entry("leaving")]);
    let mut scheduler = SchedulerProcess::start_with_changes(&[&one], &discovery.server, &[LONG_DEADLINES]);
    scheduler.wait_for_counters("lists=1");
    discovery.wait_for_calls("from=2", 4);
    let mut client = scheduler.connect();
    client.send(&job("view", "a1", "19.000"));
    scheduler.wait_for_counters("flows=1 forwards=0");
    let before = discovery.calls_containing("from=2").len();
    discovery.set_mode(AgentMode::Silent);
    discovery.publish(&[two.entry("active")]);
    let silent_since = Instant::now();
    scheduler.signal("TERM");
    scheduler.wait_for_log("asked to end");
    discovery.wait_for_calls("from=2", before + 1);
    discovery.set_mode(AgentMode::Answers);
    serve_next_job(&scheduler, &mut two.accept(), &two, "a1");
    assert!(silent_since.elapsed() < Duration::from_secs(6), "{:?}", silent_since.elapsed());
    assert!(client.receive_response().ends_with("a1"));
    assert!(scheduler.wait_for_exit());
}

/// Rejected calls for the endpoint list must be retried often enough that the list arrives in time after an outage,
/// however long it was.
#[test]
fn rejected_calls_for_the_list_are_retried_soon_however_often_they_failed() {
    let (one, two) = (Server::new("s-00000001"), Server::new("s-00000002"));
    let subscribe = (r#""registry_mode":"automatic""#, r#""registry_mode":"subscribe""#);
    let must_ask_in = (r#""obligations":{"#, r#""obligations":{"must_ask_in":10000000000,"#);
    let discovery = DiscoveryAgent::new(AgentMode::Refuses, &[one.entry("leaving"), two.entry("active")]);
    let scheduler =
        SchedulerProcess::start_with_changes(&[&one], &discovery.server, &[subscribe, must_ask_in]);
    discovery.wait_for_calls("GET", 7);
    let calls = discovery.calls_containing("GET");
    let longest_interval = calls.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap();
    assert!(longest_interval < Duration::from_secs(2), "{longest_interval:?}");
    discovery.set_mode(AgentMode::Answers);
    discovery.wait_for_calls("from=2", 1);
    assert_served_by(&scheduler, &two, "a1", "3.000");
}

/// A hanging call must not delay the list: further calls are made beside it from the start, so that the list arrives as
/// soon as an outage ends.
#[test]
fn a_hanging_call_does_not_delay_the_next_one_in_automatic_mode() {
    let (discovery, one, two) = (Server::new("d"), Server::new("s-00000001"), Server::new("s-00000002"));
    let scheduler = SchedulerProcess::start(&[&one], &discovery);
    let hanging = [discovery.accept(), discovery.accept()];
    let mut watch = discovery.accept();
    assert!(watch.receive().starts_with("GET /v1/servers?from=1&"));
    watch.send(&response("200 OK", &list(7, true, &[two.entry("active")])));
    assert!(watch.receive().starts_with("GET /v1/servers?from=7&"));
    // No call had failed: they were open in parallel.
    assert_snapshot!(scheduler.counters(&["lists", "list_faults"]), @"lists=1 list_faults=0");
    assert!(
        hanging
            .into_iter()
            .all(|mut connection| connection.receive().starts_with("GET") && connection.wait_until_closed())
    );
}

/// Idle clients use up the descriptors while discovery is down, and more keep connecting. Health checks must still be
/// answered, and the list must arrive once discovery is back.
#[test]
fn idle_clients_that_use_all_descriptors_block_neither_health_checks_nor_the_list() {
    let (one, two) = (Server::new("s-00000001"), Server::new("s-00000002"));
    let discovery = DiscoveryAgent::new(AgentMode::Silent, &[two.entry("active")]);
    let scheduler = SchedulerProcess::start(&[&one], &discovery.server);
    let start = Instant::now();
    let mut idle = Vec::new();
    for i in 0..150 {
        let mut connection = scheduler.connect();
        if i % 2 == 0 {
            connection.send("GET /healthz HTTP/1.1\r\n\r\n");
            assert!(connection.receive_response().ends_with("ready"));
        }
        idle.push(connection);
    }
    assert!(start.elapsed() < Duration::from_secs(10), "connecting took {:?}", start.elapsed());
    assert!(scheduler.descriptor_count() <= 64);
    discovery.set_mode(AgentMode::Answers);
    scheduler.wait_for_counters("lists=1");
    assert_served_by(&scheduler, &two, "a1", "3.000");
}

// ---- connections that close

/// Each of many clients writes a request as soon as it sees that its idle connection was closed. The request must not be
/// forwarded, and must not cause a reset.
#[test]
fn a_request_that_crosses_the_close_of_its_idle_connection_is_neither_forwarded_nor_reset() {
    let (discovery, target) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let scheduler = SchedulerProcess::start(&[&target], &discovery.server);
    let (sender, results) = std::sync::mpsc::channel();
    // More than a quarter of the descriptors: the oldest connections are closed.
    for _ in 0..40 {
        let mut connection = scheduler.connect();
        connection.send("GET /healthz HTTP/1.1\r\n\r\n");
        assert!(connection.receive_response().ends_with("ready"));
        let sender = sender.clone();
        std::thread::spawn(move || {
            connection.wait_until_closed();
            // On a socket that the peer has closed, the first write causes a reset and the second one fails.
            let text = job("view", "a1", "3.000");
            let _ = sender
                .send(connection.try_send(&text[..20]).is_ok() && connection.try_send(&text[20..]).is_ok());
        });
    }
    let mut written = (0..20).map(|_| results.recv().unwrap());
    assert!(written.any(|success| success), "every connection was reset");
    assert_snapshot!(scheduler.counters(&["flows", "forwards"]), @"flows=0 forwards=0");
}

/// A client that is still writing must receive its answer: the process waits for it, within its shutdown time.
#[test]
fn a_process_that_shuts_down_does_not_reset_a_connection_whose_client_is_still_writing() {
    let two_schedulers = (r#""balancers":1"#, r#""balancers":2"#);
    let mut scheduler = SchedulerProcess::start_with_changes(
        &[],
        &DiscoveryAgent::new(AgentMode::Silent, &[]).server,
        &[two_schedulers],
    );
    scheduler.signal("TERM");
    scheduler.wait_for_log("asked to end");
    let terminated = Instant::now();
    let mut client = None;
    while terminated.elapsed() < Duration::from_millis(2900) {
        if client.is_none() && terminated.elapsed() > Duration::from_millis(1500) {
            let mut connection = scheduler.connect();
            connection.send("POST /view/7f HTTP/1.1\r\nContent-Length: 8000000\r\n\r\n");
            client = Some(connection);
        }
        let sent = client.as_mut().map_or(Ok(()), |connection| connection.try_send("x"));
        assert!(sent.is_ok(), "{sent:?} after {:?}", terminated.elapsed());
        std::thread::sleep(Duration::from_millis(20));
    }
    let mut client = client.unwrap();
    assert_snapshot!(client.receive_response(), @"HTTP/1.1 413 Content Too Large | body too large");
    drop(client);
    assert!(scheduler.wait_for_exit());
}

/// A job that its worker is not told to drop would run although nobody waits for it.
#[test]
fn a_process_that_shuts_down_sends_delete_for_a_job_even_if_the_connection_opens_late() {
    let (discovery, mut backlogged) =
        (DiscoveryAgent::new(AgentMode::Silent, &[]), FullBacklogServer::new("s-00000001"));
    let mut scheduler =
        SchedulerProcess::start_with_changes(&[&backlogged.server], &discovery.server, &[LONG_DIAL_TIMEOUT]);
    let mut client = scheduler.connect();
    client.send(&job("lodge", "a1", "4.500"));
    scheduler.wait_for_counters("forwards=1 dials=1");
    backlogged.free_backlog();
    let mut forward = backlogged.server.accept();
    forward.receive();
    forward.send(&response("202 Accepted", "").replace("Content", "Connection: close\r\nContent"));
    scheduler.wait_for_counters("forwards=1 dials=1");
    // The worker's backlog is full again, so the connection for the DELETE hangs.
    let queued = std::net::TcpStream::connect(backlogged.server.address()).unwrap();
    scheduler.signal("TERM");
    assert_snapshot!(client.receive_response(), @"HTTP/1.1 502 Bad Gateway | failed");
    std::thread::sleep(Duration::from_millis(100));
    assert!(scheduler.is_running(), "the process exited before it sent the DELETE");
    backlogged.server.accept();
    assert_eq!(backlogged.server.accept().receive().lines().next(), Some("DELETE /jobs/a1 HTTP/1.1"));
    assert!(scheduler.wait_for_exit());
    drop((queued, forward));
}

// ---- responses of workers that are cut off, endless, or sent twice

#[test]
fn a_job_whose_202_never_ends_is_cancelled_by_a_delete_on_another_connection() {
    let (discovery, target) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let scheduler = SchedulerProcess::start(&[&target], &discovery.server);
    let mut client = scheduler.connect();
    client.send(&job("lodge", "a1", "0.500"));
    let mut endless = target.accept();
    endless.receive();
    endless.send("HTTP/1.1 202 Accepted\r\nContent-Length: 60000\r\n\r\nand so on");
    assert_snapshot!(client.receive_response(), @"HTTP/1.1 502 Bad Gateway | failed");
    assert_eq!(target.accept().receive().lines().next(), Some("DELETE /jobs/a1 HTTP/1.1"));
    assert!(endless.wait_until_closed(), "the connection stays open");
}

#[test]
fn a_job_whose_202_is_cut_off_after_its_head_is_served_by_its_call_back() {
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
        // An iteration of the program's event loop, so that it sees the close before the call-back.
        scheduler.counters(&["served"]);
        scheduler.call_back(&done_call_back(id, &target));
        assert!(client.receive_response().ends_with(id));
    }
    assert_snapshot!(scheduler.counters(&["served", "Reset"]), @"served=2 Reset=0");
}

/// A worker that accepted a job may still serve it after its connection was reset.
#[test]
fn a_reset_long_after_the_202_does_not_fail_the_job() {
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
    scheduler.call_back(&done_call_back("a1", &target));
    assert!(client.receive_response().ends_with("a1"));
    assert_snapshot!(scheduler.counters(&["served", "Reset"]), @"served=1 Reset=0");
}

/// Guards against reading a second response on an idle connection as the response to the next job.
#[test]
fn a_second_response_on_an_idle_connection_is_not_taken_for_that_of_the_next_job() {
    let (discovery, target) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let scheduler = SchedulerProcess::start(&[&target], &discovery.server);
    let mut responded_twice = None;
    for id in ["a1", "a2"] {
        let mut client = scheduler.connect();
        client.send(&job("lodge", id, "3.000"));
        let mut forward = target.accept();
        serve_next_job(&scheduler, &mut forward, &target, id);
        assert!(client.receive_response().ends_with(id));
        if id == "a1" {
            forward.send("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
            // An iteration of the program's event loop, so that it sees the response before the next job.
            scheduler.counters(&["served"]);
            responded_twice = Some(forward);
        }
    }
    assert_snapshot!(scheduler.counters(&["forwards", "Full", "dials", "reused"]), @"forwards=2 Full=0 dials=2 reused=0");
    assert!(responded_twice.unwrap().wait_until_closed());
}

// ---- many processes that start at once

/// Thirty processes start at once and keep offering jobs for one cold worker. The number of jobs that it receives in a
/// window must stay within the budget of the settings, plus a margin for random variation.
#[test]
#[expect(clippy::disallowed_methods, reason = "discovery dates its workers by the wall clock")]
fn thirty_processes_that_start_at_once_stay_within_a_cold_workers_budget() {
    const PROCESS_COUNT: usize = 30;
    let cold = Server::new("s-00000001");
    let born_ms = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis();
    let entry = cold.entry("active").replace(r#""born_ms":0"#, &format!(r#""born_ms":{born_ms}"#));
    let discovery = DiscoveryAgent::new(AgentMode::Answers, std::slice::from_ref(&entry));
    let cold_limits = (
        r#""obligations":{"#,
        r#""obligations":{"cold":600000000000,"cold_from":0.3,"overload_factor":2.5,"overload_for":4000000000,"#,
    );
    let balancers = (r#""balancers":1"#, r#""balancers":30"#);
    // The objective is far shorter than a job takes: a second, on a worker with one slot.
    let aim = (r#""aim":900000000,"give_up":5000000000"#, r#""aim":20000000,"give_up":16000000000"#);
    let no_peer_messages = (r#""may_tell":true"#, r#""may_tell":false"#);
    let start = |_| {
        SchedulerProcess::start_with_changes(
            &[],
            &discovery.server,
            &[cold_limits, balancers, aim, no_peer_messages],
        )
    };
    let mut schedulers: Vec<SchedulerProcess> = (0..PROCESS_COUNT).map(start).collect();
    discovery.wait_for_calls("from=2", PROCESS_COUNT);
    // Each process gets the next job as soon as it has answered, for two seconds: half of `overload_for`.
    std::thread::scope(|scope| {
        for (process, scheduler) in schedulers.iter().enumerate() {
            let mut connection = scheduler.connect();
            scope.spawn(move || {
                let start_time = Instant::now();
                for i in 0.. {
                    if start_time.elapsed() > Duration::from_secs(2) {
                        break;
                    }
                    connection.send(&job("view", &format!("n{process}-{i}"), "0.300"));
                    assert!(connection.receive_response().starts_with("HTTP/1.1 5"));
                }
            });
        }
    });
    let forwards =
        |scheduler: &SchedulerProcess| -> usize { scheduler.counters(&["forwards"])[9..].parse().unwrap() };
    let sent: usize = schedulers.iter().map(forwards).sum();
    let allowed: f64 = 2.5 * 0.3 * 4.0;
    assert!((sent as f64) <= allowed + 2.0 * allowed.sqrt() + 2.0, "{sent} forwards, {allowed} allowed");
    assert!(schedulers.iter_mut().all(SchedulerProcess::is_running));
}

// ---- endpoint lists of large fleets

/// A list of two thousand workers, which is longer than any request may be, is accepted. A list beyond a sixteenth of the
/// memory is rejected, and the previous one stays in use.
#[test]
fn an_endpoint_list_is_accepted_up_to_a_sixteenth_of_the_memory() {
    let (discovery, one) = (Server::new("d"), Server::new("s-00000001"));
    let scheduler = SchedulerProcess::start(&[&one], &discovery);
    let mut connection = discovery.accept();
    connection.receive();
    let entry = one.entry("active");
    let entries: Vec<String> =
        (1..=2_000).map(|n| entry.replace("s-00000001", &format!("s-{n:08x}"))).collect();
    let text = list(3, true, &entries);
    assert!(text.len() > 200_000, "{}", text.len());
    connection.send(&response("200 OK", &text));
    scheduler.wait_for_counters("lists=1 list_faults=0");
    assert!(connection.receive().contains("from=3"), "the watch does not continue from the accepted list");
    connection.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 64 << 20));
    scheduler.wait_for_counters("lists=1 list_faults=1");
    assert!(
        discovery.accept().receive().contains("from=3"),
        "the watch does not continue from the previous list"
    );
}
