//! A bad client names a class that does not exist, or a deadline that is no number, in bytes that are no UTF-8. It is owed an
//! error.
mod common;
use common::*;
use std::io::Write;
use std::time::Duration;

/// Seconds that a job runs.
const RUN: f64 = 0.1;
/// A bad client is owed an error or a close within 3 s of connecting.
const OWED: f64 = 3.0;

/// A request with these bytes as the class and as the time that is left.
fn request(id: &str, class: &[u8], time_left: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /view/k{id} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Account: acme\r\nContent-Length: 2\r\n"
    );
    [head.as_bytes(), b"X-Service-Class: ", class, b"\r\nX-Time-Left: ", time_left, b"\r\n\r\nhi"].concat()
}

fn main() {
    let record = Record::new();
    let listen = free_address();
    let runs = Runs::default();
    let worker = |host: &'static str| {
        let (record, runs) = (record.clone(), runs.clone());
        Worker::start(host, move |call, writer| {
            if call.method() != "POST" {
                return answer_call(call, writer);
            }
            let id = call.id();
            runs.add(&id, host);
            record.line(format!("{host} takes {id}, told {} s", call.header("X-Time-Left")));
            let record = record.clone();
            std::thread::spawn(move || {
                call_back(&record, listen, host, &id, "started", "");
                sleep(RUN);
                call_back(&record, listen, host, &id, "done", &format!(r#","result":"r-{id}""#));
            });
            writer.write_all(response("202 Accepted", "", "").as_bytes()).is_ok()
        })
    };
    let workers = [worker("s-00000001"), worker("s-00000002")];
    let entries = workers.iter().map(|worker| entry(&worker.host, worker.address, 0, "active")).collect();
    let discovery = Discovery::start(entries);
    let log = work_folder().join("scheduler.log");
    let text = config(listen, &discovery, &settings(1, "cell"));
    let mut scheduler = Scheduler::start("n1", listen, &text, &[], &log);
    scheduler.wait_until_ready(&record);
    sleep(0.3);
    // The usual client, and the bad one: a class that does not exist, and deadlines that are no numbers. The last two are text, for
    // comparison.
    let usual: Vec<(&str, &[u8], &[u8])> = vec![("usual1", b"view", b"5.000"), ("usual2", b"view", b"4.000")];
    let bad: Vec<(&str, &[u8], &[u8])> = vec![
        ("badclass", b"\xff\xfe", b"5.000"),
        ("badtime1", b"view", b"\xbd"),
        ("badtime2", b"view", b"5\xff"),
        ("textclass", b"nosuch", b"5.000"),
        ("texttime", b"view", b"soon"),
    ];
    let mut served = Vec::new();
    let mut usual_failed = false;
    for (id, class, time_left) in usual.iter().chain(if trouble() { bad.iter() } else { [].iter() }) {
        let Ok((mut reader, mut writer)) = connect(listen) else { cannot_run(&record, "no connection") };
        let _ = writer.set_read_timeout(Some(Duration::from_secs_f64(OWED)));
        record.line(format!("client sends {id}: class {class:?}, time left {time_left:?}"));
        let _ = writer.write_all(&request(id, class, time_left));
        let (status, body) = read_message(&mut reader).map_or((0, String::new()), |answer| (answer.status(), answer.text()));
        record.line(format!("client gets {status} for {id}: {}", body.trim()));
        if id.starts_with("usual") {
            usual_failed |= status != 200;
        } else if status == 200 {
            served.push(format!("{id}: 200 {}, run at {:?}", body.trim(), runs.of(id).iter().map(|run| run.0.clone()).collect::<Vec<_>>()));
        }
    }
    if usual_failed {
        cannot_run(&record, "a usual request was not served");
    }
    record.say(format!("{} bad requests served: {}", served.len(), served.join("; ")));
    drop(scheduler);
    end(i32::from(!served.is_empty()));
}
