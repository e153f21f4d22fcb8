//! Tests that planned faults are injected into a process with the preloaded library. Each test runs itself again as a
//! child process under a plan; an environment variable marks the child.

#![expect(clippy::disallowed_methods, reason = "the tests read the wall clock that a plan shifts")]

use loomlb_fault_plan::{Call, FaultPlan, FaultSchedule, Limit, UNLIMITED};
use std::fs::File;
use std::io::{self, Read, Seek, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::process::{Command, Output};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const CHILD_VARIABLE: &str = "LOOMLB_FAULT_SMOKE";
/// An error number that these calls don't return without a fault.
const ERRNO: i32 = libc::EXDEV;

/// Runs a test of this file in a child process under a plan.
fn run_under(plan: &FaultPlan, test: &str, child_argument: &str) -> Output {
    let mut command = Command::new(std::env::current_exe().unwrap());
    command.args(["--exact", test, "--nocapture"]).env(CHILD_VARIABLE, child_argument);
    plan.apply(&mut command);
    command.output().unwrap()
}

fn child_argument() -> Option<String> {
    std::env::var(CHILD_VARIABLE).ok()
}

fn connected_pair() -> io::Result<(TcpStream, TcpStream)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let client = TcpStream::connect(listener.local_addr()?)?;
    Ok((client, listener.accept()?.0))
}

fn receive_a_datagram() -> io::Result<()> {
    let receiver = UdpSocket::bind("127.0.0.1:0")?;
    UdpSocket::bind("127.0.0.1:0")?.send_to(b"x", receiver.local_addr()?)?;
    receiver.recv_from(&mut [0; 8]).map(|_| ())
}

/// Makes a system call of this kind.
fn make_call(call: Call) -> io::Result<()> {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("file");
    match call {
        Call::Socket | Call::Bind | Call::Listen => TcpListener::bind("127.0.0.1:0").map(|_| ()),
        Call::Accept | Call::Connect => connected_pair().map(|_| ()),
        Call::EpollWait => {
            unreachable!("tested by waits_are_interrupted_as_planned")
        }
        Call::SocketRead => {
            let (mut client, mut server) = connected_pair()?;
            server.write_all(b"x")?;
            client.read(&mut [0; 8]).map(|_| ())
        }
        Call::SocketWrite => connected_pair()?.0.write(b"x").map(|_| ()),
        Call::DatagramSend | Call::DatagramReceive => receive_a_datagram(),
        Call::FileRead => {
            let mut file = tempfile::tempfile()?;
            file.read(&mut [0; 8]).map(|_| ())
        }
        Call::FileWrite => tempfile::tempfile()?.write(b"x").map(|_| ()),
        Call::Sync => tempfile::tempfile()?.sync_data(),
        Call::OpenForWriting => File::create(path).map(|_| ()),
        Call::Rename => {
            File::create(&path)?;
            std::fs::rename(&path, directory.path().join("other"))
        }
        Call::Truncate => tempfile::tempfile()?.set_len(8),
    }
}

#[test]
fn each_kind_of_call_fails_as_planned_and_no_other() {
    const NAME: &str = "each_kind_of_call_fails_as_planned_and_no_other";
    if let Some(number) = child_argument() {
        let call = Call::ALL[number.parse::<usize>().unwrap()];
        // Injected here, so that the fault doesn't hit the test runner.
        FaultPlan::inherited().unwrap().fail(call, ERRNO, 1);
        let error = make_call(call).unwrap_err();
        assert_eq!(error.raw_os_error(), Some(ERRNO), "{call:?}: {error}");
        make_call(call).unwrap();
        return;
    }
    for (number, call) in Call::ALL.into_iter().enumerate().filter(|(_, call)| *call != Call::EpollWait) {
        let plan = FaultPlan::new().unwrap();
        let output = run_under(&plan, NAME, &number.to_string());
        assert!(output.status.success(), "{call:?}: {}", String::from_utf8_lossy(&output.stderr));
        let hits: Vec<u64> = Call::ALL.iter().map(|kind| plan.hits(*kind)).collect();
        let expected: Vec<u64> = Call::ALL.iter().map(|kind| u64::from(*kind == call)).collect();
        assert_eq!(hits, expected, "{call:?}");
    }
}

#[test]
fn skipped_calls_pass_and_one_of_many_fails() {
    if child_argument().is_some() {
        let listener = || TcpListener::bind("127.0.0.1:0").is_ok();
        let listeners: Vec<bool> = (0..9).map(|_| listener()).collect();
        assert_eq!(listeners, [true, true, true, true, true, true, true, true, true]);
        let datagram_sockets: Vec<bool> = (0..6).map(|_| UdpSocket::bind("127.0.0.1:0").is_ok()).collect();
        assert_eq!(datagram_sockets, [false, true, true, false, true, true]);
        return;
    }
    let plan = FaultPlan::new().unwrap();
    // Nine listeners are bound, then six datagram sockets.
    plan.inject(Call::Bind, ERRNO, FaultSchedule { skip: 9, count: UNLIMITED, every_nth: 3 });
    plan.fail_after(Call::Listen, ERRNO, 100, 1);
    let output = run_under(&plan, "skipped_calls_pass_and_one_of_many_fails", "yes");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!((plan.hits(Call::Bind), plan.hits(Call::Listen)), (2, 0));
}

#[test]
fn waits_are_interrupted_as_planned() {
    if child_argument().is_some() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        return runtime.block_on(async { tokio::time::sleep(Duration::from_millis(5)).await });
    }
    let plan = FaultPlan::new().unwrap();
    plan.fail(Call::EpollWait, libc::EINTR, 3);
    let output = run_under(&plan, "waits_are_interrupted_as_planned", "yes");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(plan.hits(Call::EpollWait), 3);
}

#[test]
fn reads_and_writes_are_as_short_as_planned() {
    if child_argument().is_some() {
        let (mut client, mut server) = connected_pair().unwrap();
        assert_eq!(server.write(b"abcdefgh").unwrap(), 5);
        let mut first = [0; 8];
        assert_eq!(client.read(&mut first).unwrap(), 3);
        assert_eq!(&first[..3], b"abc");
        let mut file = tempfile::tempfile().unwrap();
        assert_eq!(file.write(b"abcdefgh").unwrap(), 7);
        file.rewind().unwrap();
        assert_eq!(file.read(&mut [0; 8]).unwrap(), 6);
        return;
    }
    let plan = FaultPlan::new().unwrap();
    plan.short_writes(5).short_reads(3).limit(Limit::FileWrite, 7).limit(Limit::FileRead, 6);
    let output = run_under(&plan, "reads_and_writes_are_as_short_as_planned", "yes");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    for limit in [Limit::SocketRead, Limit::SocketWrite, Limit::FileRead, Limit::FileWrite] {
        assert!(plan.shortened_calls(limit) > 0, "{limit:?}");
    }
}

#[test]
fn the_wall_clock_moves_as_planned() {
    const STEP: Duration = Duration::from_secs(86_400);
    if let Some(started) = child_argument() {
        let started = Duration::from_nanos(started.parse().unwrap());
        let offset = SystemTime::now().duration_since(UNIX_EPOCH).unwrap() - started;
        assert!(offset >= STEP && offset < STEP * 2, "{offset:?}");
        return;
    }
    let plan = FaultPlan::new().unwrap();
    plan.step_wall_clock(STEP.as_nanos() as i64);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
    let output = run_under(&plan, "the_wall_clock_moves_as_planned", &now.to_string());
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}
