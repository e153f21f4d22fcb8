//! A client sends many commands at once on one connection. Each is owed its final answer in its own time.
mod common;
use common::*;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Commands that the client sends at once.
const COMMANDS: usize = 30;
/// How long a job runs, in seconds: the class's mean of the brief is 0.19 to 0.38.
const RUN: f64 = 0.3;
/// How long the client waits for each answer, in seconds: the class's `give_up`.
const TIME: f64 = 5.0;
/// After its time an answer only earns nothing for half a second, and every limit is 50 ms longer on sockets.
const LATE: f64 = 0.5 + 0.05;
/// Slack of what an attempt tells its worker.
const TOLD_SLACK: f64 = 0.15;

fn main() {
    let record = Record::new();
    let scheduler_at = free_address();
    let sent: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let told_too_much: Arc<Mutex<Vec<String>>> = Arc::default();
    let worker = |host: &'static str| {
        let (record, sent, told_too_much) = (record.clone(), Arc::clone(&sent), Arc::clone(&told_too_much));
        Worker::start(host, move |call, writer| {
            if call.method() != "POST" {
                return answer_call(call, writer);
            }
            let (id, told) = (call.id(), call.header("X-Time-Left").parse::<f64>().unwrap_or(0.0));
            let number: usize = id[1..].parse().unwrap_or(0);
            let left = TIME - sent.lock().unwrap()[number].elapsed().as_secs_f64();
            record.line(format!("{host} gets {id}, told {told:.3} s, the client has {left:.3} s left"));
            if told > left.max(0.0) + TOLD_SLACK {
                told_too_much.lock().unwrap().push(format!("{id}: told {told:.3} s, {left:.3} s left"));
            }
            let record = record.clone();
            std::thread::spawn(move || {
                call_back(&record, scheduler_at, host, &id, "started", "");
                sleep(RUN);
                call_back(&record, scheduler_at, host, &id, "done", &format!(r#","result":"r-{id}""#));
            });
            writer.write_all(response("202 Accepted", "X-Backend-Load: inflight=1,qps=3,x0=3\r\n", "").as_bytes()).is_ok()
        })
    };
    let workers = [worker("s-00000001"), worker("s-00000002"), worker("s-00000003"), worker("s-00000004")];
    let entries = workers.iter().map(|worker| entry(&worker.host, worker.address, 0, "active")).collect();
    let discovery = Discovery::start(entries);
    let log = work_folder().join("scheduler.log");
    let text = config(scheduler_at, &discovery, &settings(1, "cell"));
    let mut scheduler = Scheduler::start("n1", scheduler_at, &text, &[], &log);
    scheduler.wait_until_ready(&record);
    sleep(0.5);

    let Ok((mut reader, mut writer)) = connect(scheduler_at) else { cannot_run(&record, "no connection") };
    let requests: Vec<String> = (0..COMMANDS).map(|i| job("view", &format!("c{i:03}"), TIME)).collect();
    let mut answers: Vec<Option<(u16, f64)>> = vec![None; COMMANDS];
    let mut sent_at = vec![Instant::now(); COMMANDS];
    if trouble() {
        let all = requests.concat();
        *sent.lock().unwrap() = vec![Instant::now(); COMMANDS];
        if writer.write_all(all.as_bytes()).is_err() {
            cannot_run(&record, "the commands were not written");
        }
        sent_at = vec![Instant::now(); COMMANDS];
        *sent.lock().unwrap() = sent_at.clone();
        record.line(format!("client sends {COMMANDS} commands at once, {} bytes", all.len()));
    } else {
        *sent.lock().unwrap() = sent_at.clone();
    }
    let _ = writer.set_read_timeout(Some(Duration::from_secs(20)));
    for i in 0..COMMANDS {
        if !trouble() {
            sent_at[i] = Instant::now();
            sent.lock().unwrap()[i] = sent_at[i];
            if writer.write_all(requests[i].as_bytes()).is_err() {
                break;
            }
            record.line(format!("client sends c{i:03}"));
        }
        let Some(answer) = read_message(&mut reader) else {
            record.line(format!("the connection ended before the answer to c{i:03}"));
            break;
        };
        let after = sent_at[i].elapsed().as_secs_f64();
        record.line(format!("client gets {} for c{i:03} after {after:.3} s: {}", answer.status(), answer.text().trim()));
        answers[i] = Some((answer.status(), after));
    }
    // A close may cross requests that were not read: the client sends those once more, each on a connection of its own.
    for i in 0..COMMANDS {
        if answers[i].is_some() {
            continue;
        }
        let left = TIME - sent_at[i].elapsed().as_secs_f64();
        if left <= 0.0 {
            continue;
        }
        let (status, _) = ask(scheduler_at, &job("view", &format!("c{i:03}"), left), left + LATE);
        record.line(format!("client sends c{i:03} once more: {status}"));
        answers[i] = (status > 0).then(|| (status, sent_at[i].elapsed().as_secs_f64()));
    }
    let lost: Vec<String> = (0..COMMANDS)
        .filter(|&i| answers[i].is_none_or(|(_, after)| after > TIME + LATE))
        .map(|i| format!("c{i:03}: {}", answers[i].map_or("never".into(), |(status, after)| format!("{status} after {after:.3} s"))))
        .collect();
    let told = told_too_much.lock().unwrap().clone();
    record.say(format!("{} of {COMMANDS} answered later than {:.2} s, or never: {}", lost.len(), TIME + LATE, lost.join("; ")));
    record.say(format!("{} attempts told more than the client had left: {}", told.len(), told.iter().take(3).cloned().collect::<Vec<_>>().join("; ")));
    // The verdict is on lost requests alone; what the attempts told goes beside it into the record.
    end(i32::from(!lost.is_empty()));
}
