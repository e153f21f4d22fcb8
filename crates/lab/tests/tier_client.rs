//! A process of the program and a hollow scheduler keep the same contract of messages to the voters, and what a hollow one
//! does wrong is found by it.

use loomlb_conformance::tier_client::{self, BOUND_S, KEY, NAME, RENEW_S, VOTERS};
use loomlb_consensus::timing::TimingConfig;
use loomlb_lab::scale::changes::settings;
use loomlb_lab::scale::fleet::Fleet;
use loomlb_lab::scale::hollow::{Flaw, Life, Marks, Spec};
use loomlb_lab::scale::host::{Counted, Host};
use serde_json::json;
use std::any::Any;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::Arc;

fn hollow(voters: &[SocketAddr], flaw: Option<Flaw>) -> Box<dyn Any> {
    let terms = TimingConfig {
        bound: (BOUND_S * 1e9) as u64,
        renewal_interval: (RENEW_S * 1e9) as u64,
        ..TimingConfig::default()
    };
    let timing = terms.derive().unwrap();
    let spec = Spec { key: KEY.into(), name: NAME.into(), voters: voters.to_vec(), timing, list: 1, flaw };
    let opened = Host::start("hollow", move || async move {
        let bytes = Arc::new(Counted::new(VOTERS));
        let life = Life::new(spec, Rc::new(Marks::default()), bytes, Rc::default())?;
        tokio::task::spawn_local(life.live());
        Ok(())
    });
    Box::new(opened.unwrap().0)
}

fn story(broken: &[loomlb_conformance::Violation]) -> String {
    broken.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

#[test]
fn a_hollow_scheduler_keeps_the_contract() {
    let broken = tier_client::violations(&|voters| hollow(voters, None), &settings(1, 1));
    assert!(broken.is_empty(), "{}", story(&broken));
}

/// A process, ended when dropped, and its files.
struct Real(Child, #[allow(dead_code)] tempfile::TempDir);

impl Drop for Real {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn a_process_of_the_program_keeps_the_contract() {
    let real = |voters: &[SocketAddr]| -> Box<dyn Any> {
        let files = tempfile::tempdir().unwrap();
        let (config, operator) = (files.path().join("c.json"), files.path().join("o.toml"));
        let at = loomlb_lab::scale::fleet::addresses(38, 2).unwrap();
        let text = json!({"name": NAME, "listen": at[0][0].to_string(), "control": at[0][1].to_string(),
            "discovery": at[1][0].to_string(), "seed": "1", "limits": {"memory_mb": 64, "sockets": 512},
            "known": {"seq": 1, "whole": true, "hosts": []}, "settings": settings(1, 1)});
        std::fs::write(&config, text.to_string()).unwrap();
        let mut text = format!("[tier]\nkey = {KEY:?}\nbound_s = {BOUND_S:?}\nrenew_s = {RENEW_S:?}\n");
        for (n, at) in voters.iter().enumerate() {
            text += &format!("\n[[tier.voter]]\nname = \"v{n}\"\nat = \"{at}\"\n");
        }
        std::fs::write(&operator, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_loomlb-lab"));
        command.args(["scheduler", "serve"]).env("LB_CONFIG", &config).env("LOOMLB_OPERATOR", &operator);
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
        Box::new(Real(child, files))
    };
    let broken = tier_client::violations(&real, &settings(1, 1));
    assert!(broken.is_empty(), "{}", story(&broken));
}

#[test]
fn what_a_hollow_scheduler_does_wrong_is_found() {
    let planted = [
        (Flaw::AsksBeforeInForce, "after an update, the next lease request reports"),
        (Flaw::RepeatsNumbers, "the numbers of lease requests increase"),
        (Flaw::SilentOnState, "after an update, the next lease request reports"),
        (Flaw::WaitsForTheNextRenewal, "a scheduler whose rules changed sends lease requests at once"),
        (Flaw::AsksOne, "all voters receive lease requests"),
        (Flaw::Hurries, "lease requests are sent at the renewal interval"),
        (Flaw::ClaimsAVote, "the first message states"),
        (Flaw::SameNonce, "a broken link is opened again"),
        (Flaw::TakesFalseCodes, "a message with an invalid authentication code"),
        (Flaw::OtherKey, "a link begins with a greeting"),
        (Flaw::ClaimsAState, "a scheduler without a state reports state 0"),
        (Flaw::Proposes, "a scheduler that has a document proposes none"),
    ];
    let settings = settings(1, 1);
    std::thread::scope(|scope| {
        for (flaw, clause) in planted {
            let settings = &settings;
            scope.spawn(move || {
                let broken = tier_client::violations(&|voters| hollow(voters, Some(flaw)), settings);
                assert!(broken.iter().any(|b| b.clause.starts_with(clause)), "{flaw:?}: {}", story(&broken));
            });
        }
    });
}

#[test]
fn a_fleet_leaves_no_directory() {
    let fleet = Fleet::new(vec!["nothing".into()], false).unwrap();
    let path = fleet.path().to_path_buf();
    assert!(path.is_dir());
    drop(fleet);
    assert!(!path.exists());
}
